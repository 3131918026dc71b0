"""Outages and lost responses of the log, and instances that cannot reach it."""

import json
import time
import unittest

from deployment import Deployment, http_request, uuid7


def control_log(deployment, **faults):
    response = http_request(deployment.log_address, "POST", "/control", json.dumps(faults))
    assert response.status == 200, response.body


class LogOutageTest(unittest.TestCase):

    def test_outage_keeps_reads_and_refuses_writes_truthfully(self):
        """Guards against an outage that stops reads of assigned keys, or writes that run without an
        idempotency record."""
        with Deployment() as deployment:
            control_log(deployment, outage=True)
            keys = [uuid7() for _ in range(3)]
            for key in keys:
                response = deployment.request("entry-a", "POST", "/acme/register/o", b"",
                                              {"Idempotency-Key": key, "Bgap-Deadline-Ms": "700"})
                self.assertEqual(response.outcome, "not-run", response.body)
            deadline = time.monotonic() + 4
            while time.monotonic() < deadline:
                self.assertTrue(deployment.key_served("entry-b", "key-1"))
                self.assertEqual(deployment.request("entry-c", "GET", "/acme/reads/x").status, 200)
            run_counts = deployment.run_counts("register")
            for key in keys:
                self.assertNotIn(key, run_counts)
            control_log(deployment, outage=False)
            deployment.wait(lambda: deployment.request(
                "entry-a", "POST", "/acme/register/o", b"",
                {"Idempotency-Key": uuid7()}).status == 200, 10, "writes after the outage")

    def test_lost_answers_run_nothing_twice(self):
        """Guards against a second run when the log stored a record but its response was lost."""
        with Deployment(archive=0, reads=0) as deployment:
            control_log(deployment, lose_answers=3)
            key = uuid7()
            deployment.wait(lambda: deployment.request(
                "entry-a", "POST", "/acme/register/o", b"", {"Idempotency-Key": key},
                timeout=20).status == 200, 30, "answered")
            again = deployment.request("entry-b", "POST", "/acme/register/o", b"",
                                       {"Idempotency-Key": key})
            self.assertEqual(again.status, 200)
            self.assertEqual(deployment.run_counts("register")[key], 1)

    def test_instance_cut_from_the_log_gets_configuration_from_peers(self):
        """Guards against a change that does not reach an instance without log and host list."""
        with Deployment(archive=0, register=0) as deployment:
            deployment.instance_info["entry-c"]["log"].disconnect()
            deployment.instance_info["entry-c"]["hosts"].disconnect()
            self.assertEqual(deployment.apply(deployment.documents(deadline_ms=4321)).status, 202)
            elapsed_s = deployment.wait(lambda: deployment.operator_request(
                "entry-c", "GET", "/status").json()["config_version"] >= deployment.version,
                12, "configuration in force")
            print("in force after %.2f s" % elapsed_s)

    def test_configuration_does_not_go_back_after_a_restart_in_an_outage(self):
        """Guards against an instance that starts without the newest accepted configuration."""
        with Deployment(archive=0, register=0) as deployment:
            control_log(deployment, outage=True)
            deployment.instances["entry-b"].kill()
            deployment.start_instance("entry-b")
            deployment.wait(lambda: deployment.operator_request(
                "entry-b", "GET", "/status").json()["config_version"] == deployment.version,
                12, "configuration from a peer")
            deployment.wait(lambda: deployment.request(
                "entry-b", "GET", "/acme/reads/x").status == 200, 10, "reads")

    def test_of_two_racing_operators_one_is_told(self):
        """Guards against accepting two changes that are based on the same version."""
        with Deployment(archive=0, register=0) as deployment:
            based_on = deployment.version
            first = deployment.apply(deployment.documents(deadline_ms=1111), based_on)
            second = deployment.apply(deployment.documents(deadline_ms=2222), based_on,
                                      "entry-b")
            self.assertEqual(first.status, 202)
            offset = first.json()["offset"]
            if second.status == 409:
                self.assertIn("1111", second.json()["changed"])
                return
            self.assertEqual(second.status, 202)

            def states():
                events = deployment.operator_request(
                    "entry-c", "GET", "/config/watch?owner=acme&from=%d&wait_ms=0" % offset)
                return sorted(event["state"] for event in events.json()["events"])
            deployment.wait(lambda: states() == ["accepted", "stale"], 12, "both decided")


if __name__ == "__main__":
    unittest.main()
