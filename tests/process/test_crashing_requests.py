"""Requests that crash the servers that run them, and requests that only look as if they did."""

import threading
import time
import unittest

from backend_standin import Backend
from platform_standin import Platform, route, service

KEYS = range(0, 65536, 2048)
BACK_AFTER_S = 0.3  # of a crashed server, under the id that it had
READ_S = 2.5      # until all instances have read that it has started anew
WARM_UP_S = 2     # in which the instances earn retries
RECOVERY_S = 15   # from the start of the instances until requests are served again


class CrashingRequestsTest(unittest.TestCase):

    def start(self, platform, servers, instances, keyed=False):
        platform.add_servers("reads", servers, keyed=keyed)
        platform.configure([route("/r/", "reads")], [service("reads", keyed=keyed)])
        platform.start_instances(instances)
        keys = KEYS if keyed else (None,)
        platform.wait(lambda: all(platform.request(number, "GET", "/r/1", key=key).status == 200
                                  for number in range(instances) for key in keys),
                      15, "served by all instances")

    def start_again(self, platform, old):
        backend = Backend(platform.store, old.name, old.service, old.zone, old.keyed,
                          port=old.http.server_port)
        backend.crash_path = old.crash_path
        backend.work_s = old.work_s
        platform.backends[old.name] = backend

    def crashed(self, platform):
        return [backend for backend in platform.backends.values() if not backend.alive]

    def start_crashed(self, platform):
        for backend in self.crashed(platform):
            self.start_again(platform, backend)

    def set_crash_path(self, platform, path):
        for backend in platform.backends.values():
            backend.crash_path = path

    def test_servers_that_crash_together(self):
        """Guards against a quarantine of all requests of a service, which have one path, after
        two servers that had some of them crashed at the same moment."""
        with Platform() as platform:
            self.start(platform, 8, 4, keyed=True)
            for backend in platform.backends.values():
                backend.work_s = 0.2
            victims = list(platform.backends.values())[:2]

            def crash():
                for backend in victims:
                    backend.crash()
                time.sleep(BACK_AFTER_S)
                self.start_crashed(platform)
            timer = threading.Timer(1, crash)
            timer.start()
            responses = platform.call_all_instances("/r/page", 1 + BACK_AFTER_S + READ_S, 24, KEYS)
            timer.join()
            quarantined = [response for response in responses
                           if response.body == b"quarantined"]
            self.assertEqual(len(quarantined), 0, "of %d responses" % len(responses))
            for key in KEYS:
                self.assertEqual(platform.request(0, "GET", "/r/page", key=key).status, 200)

    def test_crashing_request_in_quiet_hours(self):
        """Guards against a request that crashes servers for ever, if no other request finds out
        that they have ended and they do not come back under their ids."""
        with Platform() as platform:
            self.start(platform, 12, 2)
            platform.call_all_instances("/r/1", WARM_UP_S, 4)
            self.set_crash_path(platform, "/r/crash")
            for number in range(8):
                platform.request(number % 2, "GET", "/r/crash")
                for backend in self.crashed(platform):
                    if not backend.is_expiring:
                        backend.expire()
                time.sleep(1)
            self.assertGreater(len(self.crashed(platform)), 1)
            self.assertLessEqual(len(self.crashed(platform)), 6)

    def test_crashing_request_is_held_back_until_it_is_harmless(self):
        """Guards against a request that crashes one server after another, and against a
        quarantine that refuses it also after new processes of the system have started."""
        with Platform() as platform:
            self.start(platform, 6, 2)
            platform.call_all_instances("/r/1", WARM_UP_S, 4)
            self.set_crash_path(platform, "/r/crash")
            platform.request(0, "GET", "/r/crash")
            platform.wait(lambda: len(self.crashed(platform)) == 2, 2, "two crashed servers")
            time.sleep(BACK_AFTER_S)
            self.start_crashed(platform)
            time.sleep(READ_S)
            for number in range(6):
                self.assertEqual(platform.request(number % 2, "GET", "/r/crash").status, 503)
                self.assertEqual(platform.request(number % 2, "GET", "/r/1").status, 200)
            self.assertEqual(self.crashed(platform), [])

            self.set_crash_path(platform, None)
            for instance in platform.instances:
                instance.process.kill()
                instance.process.wait()
                instance.start()
            begun = time.time()
            platform.wait(lambda: all(instance.is_ready() for instance in platform.instances),
                          RECOVERY_S, "ready")
            platform.wait(lambda: all(platform.request(number, "GET", "/r/crash").status == 200
                                      for number in range(2)),
                          begun + RECOVERY_S - time.time(), "the request is served")


if __name__ == "__main__":
    unittest.main()
