"""Callers that close their connection while the end of their request is being processed."""

import signal
import socket
import threading
import time
import unittest

from platform_standin import DEADLINE_S, HOST, Backend, Platform, route, service

WAITING = 40      # requests that wait in the instance
HELD = 40         # requests at the server, more than it accepts of the instance
ROUNDS = 4
SPREAD_S = 0.016  # in which the callers leave; requests that wait are checked every 10 ms
PAUSE_S = 5       # longer than the objective, so that what waits is refused
UNREAD = 60       # requests that arrive while the instance gets no processor time
REFUSAL = (b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nRetry-After: %d\r\n"
           b"Content-Length: 4\r\n\r\n")


class HoldingBackend(Backend):
    """A server that answers no request until it is told to send the head of one refusal."""

    def __init__(self, *args):
        self.arrived = []
        self.head_sent = threading.Event()
        self.is_holding = False
        self.ends = threading.Event()
        super().__init__(*args)

    def on_request(self, handler, body):
        if not self.is_holding:
            super().on_request(handler, body)
            return
        handler.close_connection = True
        with self.lock:
            self.arrived.append(handler)
        self.ends.wait(DEADLINE_S)

    def send_head(self):
        handler = self.arrived[0]
        handler.wfile.write(REFUSAL % (handler.headers["Attempt-Id"].encode(), PAUSE_S))
        handler.wfile.flush()


class CallersLeaveTest(unittest.TestCase):

    def call(self, platform, name):
        instance = platform.instances[0]
        connection = socket.create_connection((instance.ip, instance.http), timeout=5)
        connection.sendall(self.request(name))
        return connection

    @staticmethod
    def request(name):
        return (b"GET /reads/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n"
                % (HOST.encode(), name.encode(), DEADLINE_S * 1000))

    def check_alive(self, instance):
        self.assertIsNone(instance.process.poll(), "\n".join(
            line for line in instance.log().splitlines() if "event=fatal-signal" in line))

    def play(self, platform, number):
        backend = HoldingBackend(platform.store, "reads-%d" % number, "reads", "z1", False)
        platform.backends[backend.name] = backend
        platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200, 15, "served")
        backend.is_holding = True
        callers = [self.call(platform, "%d-%d" % (number, caller))
                   for caller in range(HELD + WAITING)]
        platform.wait(lambda: len(backend.arrived) >= 4, 2, "requests arrived")
        time.sleep(0.2)
        arrived = {handler.headers["Attempt-Id"] for handler in backend.arrived}
        waiting = [connection for index, connection in enumerate(callers)
                   if "%d-%d" % (number, index) not in arrived]
        self.assertGreater(len(waiting), 10)
        backend.send_head()
        for connection in waiting:
            connection.close()
            time.sleep(SPREAD_S / len(waiting))
        time.sleep(0.1)
        self.check_alive(platform.instances[0])
        backend.ends.set()
        backend.deregister()
        for connection in callers:
            connection.close()
        time.sleep(1.5)

    def test_callers_leave_while_their_requests_are_refused(self):
        """Guards against an exchange that is freed twice: once because the router has refused its
        request, which the head of another request's answer has brought about, and once because
        its caller has closed the connection before the refusal was sent."""
        with Platform() as platform:
            platform.configure([route("/reads/", "reads")], [service("reads")])
            platform.start_instances(1)
            for number in range(ROUNDS):
                self.play(platform, number)
            self.check_alive(platform.instances[0])

    def leave_unread(self, platform, connections, number):
        """Has callers send requests and leave while the instance is stopped. Returns the ids."""
        instance = platform.instances[0]
        ids = ["unread-%d-%d" % (number, caller) for caller in range(UNREAD)]
        instance.process.send_signal(signal.SIGSTOP)
        for name, connection in zip(ids, connections):
            connection.sendall(self.request(name))
            connection.close()
        instance.process.send_signal(signal.SIGCONT)
        return ids

    def test_requests_of_callers_that_left_before_they_were_read(self):
        """Guards against sending on a request whose caller has left while the instance was short
        of processor time. The instance waits with poll(), which reports the end of a caller's
        connection before or after the writable connection to a server; which of both
        epoll_wait() reports first is not defined."""
        with Platform() as platform:
            platform.add_servers("reads", 4)
            platform.configure([route("/reads/", "reads")], [service("reads")])
            platform.start_instances(1, environment={"EVENT_NOEPOLL": "1"})
            platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200, 15, "served")
            left = set()
            for number in range(ROUNDS):
                kept = [self.call(platform, "kept-%d-%d" % (number, caller))
                        for caller in range(UNREAD)]
                for connection in kept:
                    self.assertIn(b"HTTP/1.1 200", connection.recv(4096))
                left.update(self.leave_unread(platform, kept, number))
                time.sleep(0.3)
                self.assertEqual(platform.request(0, "GET", "/reads/1").status, 200)
            executed = {request_id for backend in platform.backends.values()
                        for _, request_id, _, _ in backend.executed}
            self.assertEqual(sorted(left & executed), [])
            self.assertIn("bgap_frontend_left_total %d" % len(left),
                          platform.instances[0].metrics())


if __name__ == "__main__":
    unittest.main()
