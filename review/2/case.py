"""A server's answer without a length is reset on the way while the request's body is still being
sent. The caller must not get it as a complete success."""

import concurrent.futures
import http.client
import json
import os
import signal
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))

from platform_standin import HOST, Platform, free_port, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "orders"
REQUESTS = 12                    # two at a time at one instance, the instances in turn
RESET_REQUESTS = {2, 8}          # one of the two is reset, at one of three instances
CONTROL_REQUEST = 100            # a small one, which is reset as well
REQUEST_BODY = 4 * 1024 * 1024   # bytes; the limit in force is 64 MiB, as on the users' pages
SMALL_BODY = 20 * 1024           # bytes; it is sent before the answer begins
ANSWER_BODY = 48 * 1024          # bytes
RESET_AFTER = 20 * 1024          # bytes of the answer that pass before the reset
BUFFER = 64 * 1024               # bytes
READ_FIRST = 16 * 1024           # bytes of the request that the server reads before it answers

record = open(os.path.join(HERE, "record.txt"), "w")
record_lock = threading.Lock()
began = time.time()


def note(text):
    with record_lock:
        record.write("%8.3f %s\n" % (time.time() - began, text))
        record.flush()


class Server:
    """Answers before it has read the whole body, with a body that ends with the connection, then
    reads on and closes the connection."""

    def __init__(self, store):
        self.name = "i-orders-1"
        self.store = store
        self.ran = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def register(self, address):
        def beat():
            while True:
                self.sequence += 1
                self.store.append("keyed.servers", self.name, json.dumps({
                    "service": SERVICE, "address": "%s:%d" % address, "zone": "z1",
                    "version": "v1", "maxConcurrency": 8, "state": "ready", "warmupS_time": 0,
                    "sequence": self.sequence, "born": self.born}).encode())
                time.sleep(0.3)
        threading.Thread(target=beat, daemon=True).start()

    def accept(self):
        while True:
            connection = self.listener.accept()[0]
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            data = b""
            while b"\r\n\r\n" not in data or len(data) < READ_FIRST:
                piece = connection.recv(4096)
                if not piece:
                    return
                data += piece
            head, rest = data.split(b"\r\n\r\n", 1)
            fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
            due = int(fields["Content-Length"]) - len(rest)
            request_id = fields["Attempt-Id"]
            with record_lock:
                self.ran.append(request_id)
            note("server runs %s, has read %d bytes of its body, %d are due"
                 % (request_id, len(rest), due))
            connection.sendall(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                                "Backend-Signature: s-%s\r\nConnection: close\r\n\r\n"
                                % (request_id, request_id)).encode())
            for _ in range(ANSWER_BODY // 1024):
                connection.sendall(b"a" * 1024)
                time.sleep(0.005)
            while due > 0:
                piece = connection.recv(65536)
                if not piece:
                    return
                due -= len(piece)
            note("server has read the whole body of %s and closes" % request_id)
        except OSError as error:
            note("server: %s" % error)
        finally:
            connection.close()


class Link:
    """Passes bytes on. Resets the connections of some requests after RESET_AFTER bytes of the
    answer."""

    def __init__(self, target):
        self.target = target
        self.resets = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near = self.listener.accept()[0]
            far = socket.socket()
            far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
            far.connect(self.target)
            state = {}
            threading.Thread(target=self.forward, args=(near, far, state), daemon=True).start()
            threading.Thread(target=self.back, args=(near, far, state), daemon=True).start()

    def forward(self, near, far, state):
        try:
            while True:
                data = near.recv(16384)
                if not data:
                    break
                if "number" not in state:
                    state["number"] = int(data.split(b" ", 2)[1].split(b"/")[2])
                far.sendall(data)
            far.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def back(self, near, far, state):
        passed = 0
        try:
            while True:
                data = far.recv(1024)
                if not data:
                    near.shutdown(socket.SHUT_WR)
                    break
                near.sendall(data)
                passed += len(data)
                if (TROUBLE and passed >= RESET_AFTER
                        and state["number"] in RESET_REQUESTS | {CONTROL_REQUEST}):
                    time.sleep(0.05)
                    self.resets += 1
                    note("the connection of request %d is reset after %d bytes of the answer"
                         % (state["number"], passed))
                    linger = struct.pack("ii", 1, 0)
                    near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    # The thread that waits in recv() would keep the socket open.
                    near.shutdown(socket.SHUT_RD)
                    far.shutdown(socket.SHUT_RD)
                    break
        except OSError:
            pass
        finally:
            near.close()
            far.close()


def configure(platform):
    platform.store.append("keyed.op", "config", json.dumps({
        "version": 1,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                   "idleTimeoutS": 15},
        "listeners": [{"host": HOST, "rules": [
            route("/o/", SERVICE, "non_idempotent", timeout_s=8.0, attempts=2)]}],
        "clusters": [service(SERVICE)]}).encode())


def send(platform, number, size=REQUEST_BODY):
    instance = platform.instances[number // 2 % len(platform.instances)]
    request_id = "%016x" % (0xabc000 + number)
    connection = http.client.HTTPConnection(instance.ip, instance.http, timeout=10)
    try:
        connection.request("POST", "/o/%d" % number, body=b"q" * size,
                           headers={"Host": HOST, "Attempt-Id": request_id,
                                    "Deadline-Ms": "8000"})
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        note("caller of %s: no complete answer: %r" % (request_id, error))
        return "cut"
    finally:
        connection.close()
    signature = response.headers.get("Backend-Signature")
    note("caller of %s: %d, signature %s, a complete answer of %d bytes (Content-Length %s)"
         % (request_id, response.status, signature, len(body),
            response.headers.get("Content-Length")))
    if 200 <= response.status < 300:
        return "whole" if body == b"a" * ANSWER_BODY else "MIXED"
    return str(response.status)


def main():
    with Platform() as platform:
        server = Server(platform.store)
        link = Link(server.address)
        server.register(link.address)
        configure(platform)
        platform.start_instances(3)
        time.sleep(1)
        # Without bytes that wait to be sent, the same reset is noticed.
        control = send(platform, CONTROL_REQUEST, SMALL_BODY)
        results = []
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            for number in range(0, REQUESTS, 2):
                results += pool.map(lambda n: send(platform, n), (number, number + 1))
        time.sleep(0.5)
        for instance in platform.instances:
            note("--- log of %s\n%s" % (instance.name, instance.log()))
    note("with a small request: %s; results: %s; resets: %d; whole answers have %d bytes"
         % (control, results, link.resets, ANSWER_BODY))
    print("with a small request:", control, "results:", results, "resets:", link.resets)
    if results.count("MIXED") > 0:
        return 1
    if TROUBLE and link.resets == 0 or not TROUBLE and results.count("whole") != REQUESTS:
        return 2
    return 0


if __name__ == "__main__":
    # The time limit of run.sh ends the case by a signal; the processes it started have to end, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = main()
    except Exception as error:
        note("the case could not run: %r" % error)
        print("the case could not run: %r" % error)
        status = 2
    record.close()
    sys.exit(status)
