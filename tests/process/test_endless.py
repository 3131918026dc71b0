"""Bytes without end, in a head or in a body, from servers and from the store, until they are cut."""

import collections
import itertools
import os
import socket
import threading
import time
import unittest

import deployment
import platform_standin
from platform_standin import HOST, Backend, Platform, Store, route, service

MEMORY_MB = 160         # of the smallest machine on the users' pages
DEADLINE_S = 2          # of requests
CUT_S = DEADLINE_S + 1  # within which a connection with bytes without end is closed
NEVER_S = 4 * CUT_S     # after which a server stops by itself, so that the test ends
CALLERS = 100           # requests at the same time
KEYS = range(0, 65536, 4096)
SLOW_RECEIVE = 4096     # receive buffer of a caller, in bytes
BLOCK = 65536           # bytes

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nBackend-Signature: s\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# (begin, unit that is repeated): what a server sends; %s is the id of the request.
FLOODS = {
    "no answer": (b"", b"garbage "),
    "line of a head": (b"HTTP/1.1 200 OK\r\nX: ", b"y"),
    "fields of a head": (OK, b"X: y\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"),
    "answers of other requests": (b"", b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                                  b"Content-Length: 3\r\n\r\nold"),
    "body of another answer": (b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", b"x"),
    "body without length": (OK + b"\r\n", b"x"),
    "body with a length": (OK + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk": (CHUNKED + b"fffffffff\r\n", b"x"),
    "size of a chunk": (CHUNKED, b"0"),
    "extension of a chunk": (CHUNKED + b"1;", b"x"),
    "extensions of chunks": (CHUNKED, b"1;" + b"x" * 4000 + b"\r\nx\r\n"),
    "trailer": (CHUNKED + b"0\r\n", b"T: t\r\n"),
    "body of an error": (b"HTTP/1.1 500 No\r\nAttempt-Id: %s\r\n\r\n", b"x"),
    "body of a refusal": (b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n\r\n", b"x"),
}
# What the store sends; it has no ids.
STORE_FLOODS = {name: tuple(part.replace(b"Attempt-Id: %s\r\n", b"") for part in flood)
                for name, flood in FLOODS.items()
                if name in ("no answer", "line of a head", "fields of a head", "interim answers",
                            "body without length", "body with a length", "chunks",
                            "size of a chunk", "extension of a chunk", "trailer")}


class Flood:
    """Sends bytes without end, and notes by their kind when the connection was cut."""

    def __init__(self, floods):
        self.floods = floods
        self.is_on = False
        self.lock = threading.Lock()
        self.cut_after_s = collections.defaultdict(list)

    def send(self, kind, connection, request_id=b""):
        begin, unit = self.floods[kind]
        if b"%s" in begin:
            begin %= request_id
        block = unit * (BLOCK // len(unit) + 1)
        connection.settimeout(NEVER_S)
        since = time.time()
        try:
            connection.sendall(begin)
            while time.time() < since + NEVER_S:
                connection.sendall(block)
        except OSError:
            pass
        with self.lock:
            self.cut_after_s[kind].append(time.time() - since)


class FloodingBackend(Backend):
    """A server that floods the answers to requests or, if it has keys, to orders."""

    def __init__(self, flood, kind, *args):
        self.flood = flood
        self.kind = kind
        super().__init__(*args)

    def handle(self, handler):
        is_order = handler.path in ("/grant", "/release")
        if not self.flood.is_on or is_order != self.keyed:
            super().handle(handler)
            return
        handler.body()
        handler.close_connection = True
        self.flood.send(self.kind, handler.connection,
                        handler.headers.get("Attempt-Id", "").encode())


class FloodingStore(Store):
    """A store that floods the responses to all calls, each kind in turn."""

    def __init__(self, flood):
        self.flood = flood
        self.kinds = itertools.cycle(flood.floods)
        super().__init__()

    def handle(self, handler):
        if not self.flood.is_on:
            super().handle(handler)
            return
        handler.close_connection = True
        with self.flood.lock:
            kind = next(self.kinds)
        self.flood.send(kind, handler.connection)


class EndlessTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        # Builds with sanitizers keep freed memory.
        if "BGAP_BIN" not in os.environ:
            platform_standin.BIN = os.path.join(deployment.ROOT, "build", "bin")

    def peak_mb(self, platform):
        with open("/proc/%d/status" % platform.instances[0].process.pid) as file:
            peak = next(line for line in file if line.startswith("VmHWM:"))
        return int(peak.split()[1]) / 1024

    def start(self, platform, flood, kinds=(), keyed=False):
        for number, kind in enumerate(kinds):
            name = "flooded-%d" % number
            platform.backends[name] = FloodingBackend(flood, kind, platform.store, name,
                                                      "flooded", "z1", keyed)
        platform.add_servers("reads", 2)
        platform.configure([route("/reads/", "reads"), route("/flooded/", "flooded")],
                           [service("reads"), service("flooded", keyed=keyed)])
        platform.start_instances(1)
        platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200, 15, "served")

    def call(self, platform, number, reads):
        """A caller that reads its answer as fast as it can, or does not read."""
        instance = platform.instances[0]
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE)
        connection.settimeout(NEVER_S)
        connection.connect((instance.ip, instance.http))
        connection.sendall(b"GET /flooded/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: f-%d\r\n"
                           b"Deadline-Ms: %d\r\n\r\n" % (number, HOST.encode(), number,
                                                         DEADLINE_S * 1000))
        until = time.time() + CUT_S
        try:
            while reads and connection.recv(BLOCK):
                pass
        except OSError:
            pass
        time.sleep(max(0, until - time.time()))
        connection.close()

    def flood(self, platform, flood, reads):
        """Calls the flooded servers many times at once; other callers are served meanwhile."""
        flood.is_on = True
        callers = [threading.Thread(target=self.call, args=(platform, number, reads))
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        self.check_others(platform, lambda: any(caller.is_alive() for caller in callers))
        flood.is_on = False

    def check_others(self, platform, goes_on):
        statuses = collections.Counter()
        while goes_on():
            statuses[platform.request(0, "GET", "/reads/1").status] += 1
            time.sleep(0.05)
        self.assertEqual(set(statuses), {200}, statuses)

    def check_cut(self, platform, flood):
        """Each kind was sent and cut in time, and the instance needed little memory."""
        self.assertEqual(set(flood.cut_after_s), set(flood.floods))
        late = {kind: times for kind, times in flood.cut_after_s.items() if max(times) > CUT_S}
        self.assertEqual(late, {})
        self.assertIsNone(platform.instances[0].process.poll())
        self.assertLess(self.peak_mb(platform), MEMORY_MB)

    def test_answers_without_end(self):
        """Guards against an instance that keeps the bytes of a faulty server until its memory is
        exhausted, and that ends with the requests of all others."""
        for reads in (True, False):
            with Platform() as platform:
                flood = Flood(FLOODS)
                self.start(platform, flood, 2 * list(FLOODS))
                self.flood(platform, flood, reads)
                self.check_cut(platform, flood)

    def test_answers_to_orders_without_end(self):
        """Guards against the same of answers to grants, whose bodies nobody reads."""
        with Platform() as platform:
            flood = Flood(FLOODS)
            self.start(platform, flood, list(FLOODS), keyed=True)
            platform.wait(lambda: platform.request(0, "GET", "/flooded/1", key=1).status == 200,
                          15, "keys granted")
            flood.is_on = True
            until = time.time() + 2 * CUT_S
            self.check_others(platform, lambda: time.time() < until)
            flood.is_on = False
            self.check_cut(platform, flood)
            platform.wait(lambda: all(
                platform.request(0, "GET", "/flooded/1", key=key).status == 200 for key in KEYS),
                15, "keys granted again")

    def test_responses_of_the_store_without_end(self):
        """Guards against the same of the store's responses, the unread lines of chunks among
        them; the instance serves meanwhile, and follows the store afterwards."""
        with Platform() as platform:
            flood = Flood(STORE_FLOODS)
            platform.store.stop()
            platform.store = FloodingStore(flood)
            self.start(platform, flood)
            flood.is_on = True
            until = time.time() + 3 * CUT_S
            self.check_others(platform, lambda: time.time() < until)
            flood.is_on = False
            platform.add_servers("reads", 1)
            added = list(platform.backends.values())[-1]
            platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200
                          and added.executed, 10, "a server that registers later is used")
            self.check_cut(platform, flood)


if __name__ == "__main__":
    unittest.main()
