"""Servers that do not check grants, crashing requests, bad input, owners' fault reports."""

import concurrent.futures
import socket
import unittest

from deployment import OWNER_TOKEN, Deployment, http_request, uuid7


class LimitsTest(unittest.TestCase):

    def test_server_that_checks_nothing_is_reached_from_every_instance(self):
        """Guards against keys that only the instance holding the lease can serve."""
        with Deployment(reads=0, register=0, checks_grants=False) as deployment:
            for number in range(10):
                served_by = {deployment.request(
                    instance, "GET", "/acme/archive/key-%d/x" % number).server
                    for instance in deployment.instance_info}
                self.assertEqual(len(served_by), 1)
            holder = deployment.holder("key-1")["holder"].split(".")[1]
            deployment.servers[holder].kill()
            deployment.wait(lambda: deployment.key_served("entry-b", "key-1"), 10, "key served")

    def test_crashing_request_is_quarantined_and_neighbours_are_not(self):
        """Guards against one request that crashes one server after another."""
        with Deployment(archive=0, register=0, reads=6) as deployment:
            statuses = []
            for _ in range(6):
                statuses.append(deployment.request(
                    "entry-a", "GET", "/acme/reads/poison?crash=1", timeout=20).status)
                deployment.request("entry-a", "GET", "/acme/reads/innocent")
            self.assertIn(422, statuses)
            crashed = [name for name, server in deployment.servers.items()
                       if server.process.poll() is not None]
            self.assertLessEqual(len(crashed), 3, crashed)
            for _ in range(5):
                response = deployment.request("entry-a", "GET", "/acme/reads/innocent")
                self.assertEqual(response.status, 200, response.body)

    def test_late_and_broken_answers_reach_nobody_else(self):
        """Guards against responses delivered to another request, or truncated ones that look
        complete."""
        with Deployment(archive=0, register=0) as deployment:
            def read(number):
                query = ("late_ms=400", "drop=2&size=100000", "size=20000")[number % 3]
                try:
                    response = deployment.request(
                        "entry-b", "GET", "/acme/reads/%d?%s" % (number, query),
                        headers={"Bgap-Deadline-Ms": "250"})
                except OSError as error:
                    return number, str(error), None
                except Exception as error:  # broken responses raise several types
                    return number, str(error), None
                return number, response.status, response
            refused = []
            with concurrent.futures.ThreadPoolExecutor(12) as pool:
                for number, status, response in pool.map(read, range(60)):
                    if number % 3 != 2:
                        self.assertNotEqual(status, 200, number)
                    elif status == 503:
                        # The late ones let expect that this one misses its deadline, too.
                        self.assertIn(b'"not-run", "reason": "deadline"', response.body)
                        refused.append("/%d" % number)
                    else:
                        self.assertEqual(status, 200, response and response.body)
                        self.assertGreaterEqual(len(response.body), 20000)
            self.assertLess(len(refused), 20)
            runs = deployment.run_counts("reads")
            self.assertEqual([path for path in refused if path in runs], [])

    def test_bad_input(self):
        """Guards against malformed input that stops an instance or is accepted as a request."""
        with Deployment(archive=1, register=1, reads=1) as deployment:
            host, port = deployment.instance_info["entry-a"]["callers"].split(":")
            for payload in (b"\0\1\2\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"GET\r\n\r\n",
                            b"POST /acme/reads/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                            b"GET /%zz/ HTTP/1.1\r\n\r\n", b"A" * 100000):
                with socket.create_connection((host, int(port)), timeout=5) as client:
                    client.sendall(payload)
                    client.shutdown(socket.SHUT_WR)
                    first = client.recv(4096)
                    self.assertNotIn(b"200 OK", first)
            large = deployment.request("entry-a", "POST", "/acme/register/x", b"x" * (2 << 20),
                                       {"Idempotency-Key": uuid7()})
            self.assertEqual((large.status, large.outcome), (413, "not-run"))
            self.assertEqual(deployment.request("entry-a", "GET", "/acme/reads/x").status, 200)

    def test_account_of_an_owner(self):
        """Guards against operators' data served without a valid token, and uncounted faults."""
        with Deployment(archive=0, register=0) as deployment:
            deployment.request("entry-a", "GET", "/acme/reads/x?drop=1")
            operators = deployment.instance_info["entry-a"]["operators"]
            self.assertEqual(http_request(operators, "GET", "/dump").status, 401)
            self.assertEqual(deployment.operator_request("entry-a", "GET", "/dump",
                                                         token=OWNER_TOKEN).status, 401)
            self.assertEqual(deployment.operator_request("entry-a", "GET", "/faults?owner=other",
                                                         token=OWNER_TOKEN).status, 403)
            faults = deployment.operator_request("entry-a", "GET", "/faults?owner=acme",
                                                 token=OWNER_TOKEN).json()["faults"]
            self.assertTrue(any(fault["service"] == "reads" for fault in faults), faults)


if __name__ == "__main__":
    unittest.main()
