"""Stand-in for a backend server that a case can crash, stop or make answer wrongly.

It registers in the stand-in of the store (tests/process/store_standin.py), serves each connection
in a thread of its own and notes every arrival and run. A subclass overrides answer().
"""

import http.client
import json
import os
import signal
import socket
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
os.environ.setdefault("BGAP_BIN", os.path.join(ROOT, "target", "bin"))

import platform_standin  # noqa: E402
from deployment import free_port  # noqa: E402

platform_standin.HEARTBEAT_S = 0.87  # heartbeatS of the small site mose-gateway
HEARTBEAT_S = platform_standin.HEARTBEAT_S


RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 112  # of a script


def run_case(main):
    """Runs a case and exits with its result; also ends it when it takes too long."""
    def on_alarm(number, frame):
        raise TimeoutError("the case takes too long")
    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_alarm)
    signal.alarm(LIMIT_S)
    try:
        result = main()
    except Exception:  # whatever it was, the rule was not judged
        traceback.print_exc()
        result = NOT_RUN
    sys.stderr.flush()
    os._exit(result)  # threads of stand-ins may still run


class Record:
    """Lines of record.txt, with the time since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.begun = time.time()

    def line(self, text, *values):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.time() - self.begun, text % values))
            self.file.flush()


class Request:
    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers  # by name in lower case
        self.body = body
        self.id = headers.get("attempt-id", "")


def read_request(stream):
    """Returns the next request of a connection, or None at its end."""
    line = stream.readline()
    if not line:
        return None
    method, path, _ = line.decode().split()
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b""):
            break
        name, value = line.decode().split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


def response(status, headers=(), body=b""):
    head = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Server:
    SLOTS = 4

    def __init__(self, store, record, name, service, zone, port=None):
        self.store, self.record, self.name, self.service, self.zone = (
            store, record, name, service, zone)
        self.port = port or free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.lock = threading.Lock()
        self.connections = set()
        self.state = "ready"
        self.is_leaving = False
        self.is_registered = True
        self.alive = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def send_heartbeats(self):
        while self.alive and self.is_registered:
            self.register()
            time.sleep(HEARTBEAT_S)

    def register(self):
        with self.lock:
            if not self.alive or not self.is_registered:
                return
            self.sequence += 1
            self.store.append("keyed.servers", self.name, json.dumps({
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "maxConcurrency": self.SLOTS, "state": self.state,
                "warmupS_time": 0, "sequence": self.sequence, "born": self.born}).encode())

    def deregister(self):
        with self.lock:
            self.is_registered = False
            self.store.append("keyed.servers", self.name, b"")

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while self.alive:
                request = read_request(stream)
                if request is None:
                    break
                expected = request.headers.get("expected-instance")
                if expected is not None and expected != self.name:
                    connection.sendall(response(421, [("Attempt-Id", request.id),
                                                      ("Not-Executed", "1"),
                                                      ("Instance-Id", self.name)]))
                elif not self.answer(connection, request):
                    break
        except (OSError, ValueError):
            pass
        with self.lock:
            self.connections.discard(connection)
        connection.close()

    def headers(self, request):
        headers = [("Attempt-Id", request.id), ("Backend-Signature", "s-" + self.name),
                   ("Backend-Load", "%d,0,%d" % (self.running, self.SLOTS))]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    def answer(self, connection, request):
        """Runs a request and answers it. Returns whether the connection stays open."""
        connection.sendall(response(200, self.headers(request), b"ok " + self.name.encode()))
        return True

    def crash(self):
        """Ends like a killed process: its connections end and its port is closed. expire() does
        what the store does after three heartbeat intervals of silence."""
        with self.lock:
            if not self.alive:
                return
            self.alive = False
            connections = list(self.connections)
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def expire(self):
        self.store.append("keyed.servers", self.name, b"")


class KeyServer(Server):
    """A server of a sharded service: it runs a request only while it holds the request's key."""

    def __init__(self, *args):
        self.leases = []  # [first, last, until, fence]
        self.fences = []  # (first, last, fence) of all grants and releases
        super().__init__(*args)

    def holds(self, key):
        now = time.time()
        return any(first <= key <= last and now < until for first, last, until, _ in self.leases)

    def fence_is_old(self, call):
        return any(fence > call["fence"] and first <= call["to"] and last >= call["from"]
                   for first, last, fence in self.fences)

    def note_fence(self, call):
        self.fences = [row for row in self.fences
                       if row[:2] != (call["from"], call["to"])]
        self.fences.append((call["from"], call["to"], call["fence"]))

    def cut(self, call):
        """Takes the keys of a call out of the leases."""
        rest = []
        for first, last, until, fence in self.leases:
            if last < call["from"] or first > call["to"]:
                rest.append([first, last, until, fence])
                continue
            if first < call["from"]:
                rest.append([first, call["from"] - 1, until, fence])
            if last > call["to"]:
                rest.append([call["to"] + 1, last, until, fence])
        self.leases = [row for row in rest if row[2] > time.time()]

    def on_grant(self, call):
        with self.lock:
            if self.fence_is_old(call):
                return 409, []
            self.note_fence(call)
            self.cut(call)
            self.leases.append([call["from"], call["to"], time.time() + call["holdS"],
                                call["fence"]])
        return 200, []

    def on_release(self, call):
        with self.lock:
            self.note_fence(call)
            self.cut(call)
        return 200, [("Handover", "h-%s-%d-%d" % (self.name, call["from"], call["fence"]))]

    def run(self, request):
        """Works on a request."""

    def answer(self, connection, request):
        if request.path in ("/grant", "/release"):
            call = json.loads(request.body)
            status, headers = (self.on_grant if request.path == "/grant"
                               else self.on_release)(call)
            headers = [("Attempt-Id", request.id), ("Instance-Id", self.name), *headers]
            connection.sendall(response(status, headers))
            return True
        if not self.holds(int(request.headers["shard-key"])):
            connection.sendall(response(421, [("Attempt-Id", request.id), ("Not-Executed", "1"),
                                              ("Instance-Id", self.name)]))
            return True
        with self.lock:
            self.running += 1
        try:
            self.run(request)
        finally:
            with self.lock:
                self.running -= 1
        return super().answer(connection, request)


def call(instance, request_id, path, method="GET", key=None, body=None, deadline_s=2):
    """Sends a request of a client to an instance over a new connection. Returns the status."""
    connection = http.client.HTTPConnection(instance.ip, instance.http, timeout=deadline_s + 1)
    fields = {"Host": platform_standin.HOST, "Attempt-Id": request_id,
              "Deadline-Ms": "%d" % (deadline_s * 1000)}
    if key is not None:
        fields["Shard-Key"] = str(key)
    try:
        connection.request(method, path, body=body, headers=fields)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    finally:
        connection.close()
