"""Planned stops in the middle of arriving requests."""

import collections
import concurrent.futures
import contextlib
import socket
import subprocess
import threading
import time
import unittest

from platform_standin import HOST, Platform, route, service

CALLERS = 10  # of each kind
BODY = b"x" * 3000
LATE_S = 0.02  # the rest of a request that was under way at the signal
ANSWER_S = 5   # below the grace period of the settings
GRACES_S = (1, 2, 3, 4, 6, 10)
LATE_STEPS = 20  # of a grace period
LOSS_SLACK_S = 0.2  # a request may cross the close of its connection for so long
CALLERS_COME_S = 3  # time after the signal until which callers are sent to the instance


def connect(instance, timeout_s=ANSWER_S):
    connection = socket.create_connection((instance.ip, instance.http), timeout=timeout_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def answers(connection, count=1):
    """Statuses of the complete answers on the connection."""
    data, statuses = b"", []
    try:
        while len(statuses) < count:
            head, separator, rest = data.partition(b"\r\n\r\n")
            length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length")), 0)
            if separator and len(rest) >= length:
                statuses.append(int(head.split()[1]))
                data = rest[length:]
                continue
            piece = connection.recv(65536)
            if not piece:
                break
            data += piece
    except OSError:
        pass
    connection.close()
    return statuses


class LateCaller:
    """Sends the last bytes of its request some time after the signal, or never, over a connection
    that it opens then, or that was opened before and has sent a part of it."""

    def __init__(self, instance, request_id, path, opens_late, delay_s):
        self.instance = instance
        self.request_id = request_id
        self.path = path
        self.delay_s = delay_s
        self.sent_s = self.ended_s = self.status = None
        request = (b"POST /%s/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                   b"Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n" % (
                       path.encode(), HOST.encode(), request_id.encode(), len(BODY))) + BODY
        self.parts = (b"", request) if opens_late else (request[:-10], request[-10:])
        self.connection = None if opens_late else connect(instance, 30)
        if not opens_late:
            self.connection.sendall(self.parts[0])

    def __str__(self):
        return "%s: sent %s, status %s, ended %s" % (self.request_id, self.sent_s, self.status,
                                                     self.ended_s)

    def begin(self, since):
        self.since = since
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        if self.delay_s is not None:
            time.sleep(max(0, self.since + self.delay_s - time.time()))
            self.sent_s = time.time() - self.since
        try:
            if self.connection is None:
                self.connection = connect(self.instance, 30)
            if self.delay_s is not None:
                self.connection.sendall(self.parts[1])
        except OSError:
            pass
        if self.connection is not None:
            statuses = answers(self.connection)
            self.status = statuses[0] if statuses else None
        self.ended_s = time.time() - self.since


class StopTest(unittest.TestCase):

    def request(self, number, body=b""):
        return (b"POST /reads/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: s-%d\r\n"
                b"Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n" % (
                    number, HOST.encode(), number, len(body))) + body

    def test_requests_that_arrive_with_the_signal_are_answered(self):
        """Guards against requests that are cut off without an answer by a planned stop: accepted
        in the same moment as the signal, pipelined, half read, with a body on its way, or on a
        connection that was opened before and is used only now."""
        with Platform() as platform:
            platform.add_servers("reads", 4)
            platform.configure([route("/reads/", "reads", timeout_s=4.0)], [service("reads")])
            platform.start_instances(1)
            platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200, 5, "served")
            for backend in platform.backends.values():
                backend.work_s = 0.2
            instance = platform.instances[0]
            whole, pipelined, half, idle = (
                [connect(instance) for _ in range(CALLERS)] for _ in range(4))
            for number, connection in enumerate(half):
                connection.sendall(self.request(300 + number, BODY)[:-1500])
            for number, connection in enumerate(pipelined):
                connection.sendall(self.request(100 + number) + self.request(200 + number))
            for number, connection in enumerate(whole):
                connection.sendall(self.request(number))
            platform.terminate(0)
            time.sleep(LATE_S)
            for connection in half:
                connection.sendall(BODY[-1500:])
            for number, connection in enumerate(idle):
                connection.sendall(self.request(400 + number))
            for name, connections, count in (("whole", whole, 1), ("pipelined", pipelined, 2),
                                             ("half", half, 1), ("idle", idle, 1)):
                for connection in connections:
                    statuses = answers(connection, count)
                    self.assertGreaterEqual(len(statuses), 1, name)
                    self.assertLessEqual(set(statuses), {200, 503}, name)
            self.assertEqual(instance.process.wait(timeout=8), 0)

    def start_for_late_callers(self, platform, grace_s):
        """A quick service, and one that needs half of the grace period."""
        for name, work_s in (("quick", 0.02), ("slow", grace_s / 2)):
            platform.add_servers(name, 12)
            for backend in platform.backends.values():
                if backend.service == name:
                    backend.work_s = work_s
        platform.configure(
            [route("/%s/" % name, name, kind="non_idempotent", timeout_s=2 * grace_s)
             for name in ("quick", "slow")], [service("quick"), service("slow")])
        platform.start_instances(1, grace_s=grace_s)

    def check_stop(self, platform, grace_s):
        """Callers whose requests become complete all through the grace period."""
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            for path in ("/quick/1", "/slow/1"):
                statuses = list(pool.map(lambda _: platform.request(
                    0, "GET", path, timeout=2 * grace_s, deadline_s=2 * grace_s).status,
                    range(CALLERS)))
                self.assertIn(200, statuses)
        self.stop(platform, grace_s)

    def stop(self, platform, grace_s):
        instance = platform.instances[0]
        process = instance.process
        callers = [LateCaller(instance, "%s-%d-%d" % (path, opens_late, step), path, opens_late,
                              step * grace_s / LATE_STEPS)
                   for path in ("quick", "slow") for opens_late in (False, True)
                   for step in range(1, LATE_STEPS)]
        callers.append(LateCaller(instance, "never", "quick", False, None))
        time.sleep(0.1)
        since = time.time()
        platform.terminate(0)
        for caller in callers:
            caller.begin(since)
        try:
            status = process.wait(timeout=max(0, since + grace_s - time.time()))
        except subprocess.TimeoutExpired:
            process.kill()
            status = "killed"
        for caller in callers:
            caller.thread.join()
        runs = collections.Counter(run[1] for backend in platform.backends.values()
                                   for run in backend.executed)
        self.assertEqual(status, 0, grace_s)
        for caller in callers:
            self.check_late(caller, runs[caller.request_id], grace_s)
        quick = [caller for caller in callers if caller.path == "quick"]
        self.assertIn(200, {caller.status for caller in quick}, grace_s)

    def check_late(self, caller, runs, grace_s):
        what = "grace %g s, %s" % (grace_s, caller)
        self.assertLessEqual(runs, 1, what)
        if caller.sent_s is None:
            # Its request never became complete.
            self.assertEqual((caller.status, runs), (503, 0), what)
        elif caller.status is None:
            self.assertEqual(runs, 0, what)
            self.assertLess(caller.ended_s - caller.sent_s, LOSS_SLACK_S, what)
        elif caller.status == 503:
            self.assertEqual(runs, 0, what)
        elif caller.status != 200:
            # Broken off: only at the end, and only what came while callers are still sent here.
            self.assertEqual(caller.status, 502, what)
            self.assertLess(caller.sent_s, CALLERS_COME_S, what)
            self.assertGreater(caller.ended_s, grace_s * 5 / 6, what)
        if caller.path == "slow" and caller.sent_s is not None \
                and caller.sent_s > grace_s / 2:
            self.assertEqual(runs, 0, what)

    def test_late_requests_in_short_and_long_grace_periods(self):
        """Guards against requests that come late in the grace period, are passed on, and are cut
        without an answer when it ends, and against an instance that has to be killed."""
        with contextlib.ExitStack() as stack:
            platforms = [stack.enter_context(Platform()) for _ in GRACES_S]
            # One after the other: a process that is being started would hold the ports of others.
            for platform, grace_s in zip(platforms, GRACES_S):
                self.start_for_late_callers(platform, grace_s)
            pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor(len(GRACES_S)))
            results = [pool.submit(self.check_stop, platform, grace_s)
                       for platform, grace_s in zip(platforms, GRACES_S)]
            for result, grace_s in zip(results, GRACES_S):
                with self.subTest(grace_s=grace_s):
                    result.result()


if __name__ == "__main__":
    unittest.main()
