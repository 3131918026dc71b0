"""Requests through a complete deployment of separate processes."""

import concurrent.futures
import unittest

from deployment import Deployment, http_request, uuid7


class PathTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment()
        cls.deployment.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.deployment.__exit__(None, None, None)

    def test_keyed_read_reaches_the_same_holder_from_every_instance(self):
        """Guards against instances that disagree on the holder of a key."""
        for key in ("k1", "k2", "a%2Fb", "%00%FF"):
            holders = set()
            for instance in self.deployment.instance_info:
                response = self.deployment.request(instance, "GET", "/acme/archive/%s/x" % key)
                self.assertEqual(response.status, 200, response.body)
                self.assertEqual(response.outcome, "answered")
                holders.add(response.server)
            self.assertEqual(len(holders), 1, key)

    def test_entries_are_spread_before_there_is_load(self):
        """Guards against a new service whose keys are all assigned to one server."""
        holders = [self.deployment.holder("key-%d" % number)["holder"] for number in range(60)]
        for server in ("acme.archive-1", "acme.archive-2", "acme.archive-3"):
            self.assertGreaterEqual(holders.count(server), 8, holders)

    def test_direct_request_with_a_stale_token_is_refused(self):
        """Guards against a server that runs keyed requests without a valid grant."""
        holder = self.deployment.holder("k1")
        response = http_request(holder["server"]["address"], "GET", "/k1/x", None,
                                {"Bgap-Token": str(holder["token"] - 1)})
        self.assertEqual(response.status, 409)
        self.assertEqual(response.headers["Bgap-Refused"], "fenced")

    def test_read_without_key(self):
        for instance in self.deployment.instance_info:
            response = self.deployment.request(instance, "GET", "/acme/reads/levels")
            self.assertEqual((response.status, response.outcome), (200, "answered"))

    def test_repeated_write_runs_once(self):
        """Guards against a second run when callers repeat a write at other instances, also
        concurrently."""
        key = uuid7()
        instances = list(self.deployment.instance_info) * 4
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            responses = list(pool.map(lambda instance: self.deployment.request(
                instance, "POST", "/acme/register/ditch-7", b"closed",
                {"Idempotency-Key": key}), instances))
        for response in responses:
            self.assertEqual((response.status, response.outcome), (200, "answered"), response.body)
        self.assertEqual(len({response.body for response in responses}), 1)
        self.assertEqual(self.deployment.run_counts("register")[key], 1)

    def test_write_without_key_or_with_an_old_one_does_not_run(self):
        """Guards against running a write whose repeats could not be recognized."""
        before = sum(self.deployment.run_counts("register").values())
        for headers in ({}, {"Idempotency-Key": "order-1"},
                        {"Idempotency-Key": uuid7(age_ms=2 * 3600 * 1000)}):
            response = self.deployment.request("entry-b", "POST", "/acme/register/x", b"", headers)
            self.assertEqual(response.outcome, "not-run", response.body)
            self.assertIn(response.status, (400, 409))
        self.assertEqual(sum(self.deployment.run_counts("register").values()), before)

    def test_same_key_for_another_request_is_refused(self):
        """Guards against the response of another request with the same Idempotency-Key."""
        key = uuid7()
        first = self.deployment.request("entry-a", "POST", "/acme/register/one", b"1",
                                        {"Idempotency-Key": key})
        other = self.deployment.request("entry-b", "POST", "/acme/register/one", b"2",
                                        {"Idempotency-Key": key})
        self.assertEqual(first.status, 200)
        self.assertEqual((other.status, other.outcome), (422, "not-run"))

    def test_unknown_service(self):
        response = self.deployment.request("entry-a", "GET", "/acme/nothing/x")
        self.assertEqual((response.status, response.outcome), (404, "not-run"))

    def test_long_answer_is_whole(self):
        """Guards against a large response that is truncated or mixed with another."""
        size = 3 * 1024 * 1024
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            responses = list(pool.map(lambda number: self.deployment.request(
                "entry-c", "GET", "/acme/archive/k%d/x?size=%d" % (number, size), timeout=60),
                range(6)))
        for response in responses:
            self.assertEqual(response.status, 200)
            self.assertGreaterEqual(len(response.body), size)


if __name__ == "__main__":
    unittest.main()
