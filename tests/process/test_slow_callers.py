"""Callers that read their answers slowly."""

import http.client
import os
import time
import unittest

from platform_standin import DEADLINE_S, HOST, Platform, route, service

LONG = 8 * 1024 * 1024  # bytes; more than all buffers on the way hold
PAUSE_S = 0.3           # in which a caller reads nothing


class SlowCallersTest(unittest.TestCase):

    def test_long_answer_to_a_slow_caller_is_whole(self):
        """Guards against an answer that is paused because its caller does not read, and that is
        not continued when the caller does."""
        with Platform() as platform:
            platform.add_servers("reads", 1)
            platform.configure([route("/reads/", "reads")], [service("reads")])
            platform.start_instances(1)
            platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200, 5, "served")
            backend, = platform.backends.values()
            backend.padding = os.urandom(LONG)
            instance = platform.instances[0]
            connection = http.client.HTTPConnection(instance.ip, instance.http, timeout=5)
            connection.request("GET", "/reads/2", headers={
                "Host": HOST, "Attempt-Id": "slow-1", "Deadline-Ms": str(DEADLINE_S * 1000)})
            response = connection.getresponse()
            time.sleep(PAUSE_S)
            body = response.read()
            connection.close()
            self.assertEqual(response.status, 200)
            self.assertTrue(body.endswith(backend.padding), len(body))


if __name__ == "__main__":
    unittest.main()
