"""Calls that are in flight when an instance ends. The instances are built with LeakSanitizer, so that
memory of a call that is not freed makes the exit status 1."""

import signal
import threading
import time
import unittest

from deployment import Deployment
from platform_standin import Platform, route, service

ANSWER_S = 5        # of held calls: longer than the stop of an instance takes
EXIT_S = 8
SHUTDOWN_MS = 500
CALL_S = 0.3        # within this time an instance has sent a call that follows an event


def holder(function, arrivals):
    """Returns a handler that notes the arrival of a call and answers it late."""
    def hold(*arguments):
        arrivals.append(time.time())
        time.sleep(ANSWER_S)
        function(*arguments)
    return hold


class CallsAtExitTest(unittest.TestCase):

    def stop(self, deployment):
        deployment.instances["entry-a"].signal(signal.SIGTERM)
        self.assertEqual(deployment.instances["entry-a"].process.wait(timeout=EXIT_S), 0)

    def test_hellos_and_renewals(self):
        """Guards against hellos and renewals that are not freed because a server has accepted them
        and does not answer while the instance ends."""
        with Deployment(register=0, shutdown_ms=SHUTDOWN_MS) as deployment:
            for server in deployment.servers.values():
                server.pause()
            time.sleep(CALL_S)
            self.stop(deployment)

    def test_probes(self):
        """Guards against probes that are not freed, as above, without renewals beside them."""
        for end_s in (0, 0.2, 0.4, 0.6, 0.8):  # a probe is in flight for 0.4 s in each second
            with Deployment(archive=0, register=0, shutdown_ms=SHUTDOWN_MS) as deployment:
                for server in deployment.servers.values():
                    server.pause()
                time.sleep(CALL_S + end_s)
                self.stop(deployment)

    def test_change_that_the_log_does_not_confirm(self):
        """Guards against an operator's change that is not freed because the log does not answer
        while the instance ends."""
        with Deployment(archive=0, register=0, shutdown_ms=SHUTDOWN_MS) as deployment:
            documents = deployment.documents(deadline_ms=4000)

            def change():
                try:
                    deployment.apply(documents)
                except OSError:
                    pass  # the instance ends before it answers
            deployment.log.pause()
            caller = threading.Thread(target=change)
            caller.start()
            time.sleep(CALL_S)
            self.stop(deployment)
            caller.join()

    def test_read_of_a_removed_service(self):
        """Guards against the follower of a removed service's outcomes that is not freed because its
        last read is in flight when the instance ends."""
        with Deployment(archive=0, shutdown_ms=SHUTDOWN_MS) as deployment:
            deployment.counts["register"] = 0
            documents = "\n---\n".join(document for document in deployment.documents().split("\n---\n")
                                       if '"register"' not in document)
            self.assertEqual(deployment.apply(documents).status, 202)
            deployment.wait(lambda: deployment.request(
                "entry-a", "GET", "/acme/register/1").status == 404, 5, "service removed")
            deployment.log.pause()
            self.stop(deployment)


class PlatformCallsAtExitTest(unittest.TestCase):

    def start(self, platform):
        platform.add_servers("archive", 3, keyed=True)
        platform.configure([route("/archive/", "archive")], [service("archive", keyed=True)])
        platform.start_instances(1, grace_s=1)
        platform.wait(lambda: platform.request(0, "GET", "/archive/1", key=1).status == 200, 10,
                      "key served")

    def stop(self, platform, arrivals):
        platform.wait(lambda: arrivals, 5, "call in flight")
        platform.terminate(0)
        instance = platform.instances[0]
        self.assertEqual(instance.process.wait(timeout=EXIT_S), 0, instance.log()[-3000:])
        self.assertLess(time.time(), arrivals[-1] + ANSWER_S, "answered before the end")

    def test_order(self):
        """Guards against releases and grants that are not freed because a server does not answer
        them while the instance ends."""
        with Platform() as platform:
            self.start(platform)
            arrivals = []
            for backend in platform.backends.values():
                backend.on_release = holder(backend.on_release, arrivals)
                backend.on_grant = holder(backend.on_grant, [])
            platform.backends[platform.holders(1)[0]].drain()
            self.stop(platform, arrivals)

    def test_append(self):
        """Guards against an append of an assignment that is not freed because the store does not
        answer while the instance ends."""
        with Platform() as platform:
            self.start(platform)
            arrivals = []
            platform.store.on_log_append = holder(platform.store.on_log_append, arrivals)
            platform.backends[platform.holders(1)[0]].drain()
            self.stop(platform, arrivals)


if __name__ == "__main__":
    unittest.main()
