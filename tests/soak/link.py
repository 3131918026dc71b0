"""A loopback proxy in front of a server that delays, silences, cuts or resets connections."""

import random
import socket
import struct
import threading
import time

CHUNK = 65536


class Link:
    """Passes connections on to an address.

    mode is "pass", "delay" (each chunk waits delay_s), "silent" (nothing passes either way), "deaf"
    (answers do not pass) or "reset" (connections are reset)."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay_s = 0
        self.open = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            if self.mode == "reset":
                self.reset(near)
                continue
            host, port = self.target.split(":")
            try:
                far = socket.create_connection((host, int(port)), timeout=2)
            except OSError:
                self.reset(near)
                continue
            far.settimeout(None)
            with self.lock:
                self.open |= {near, far}
            threading.Thread(target=self.pump, args=(near, far, False), daemon=True).start()
            threading.Thread(target=self.pump, args=(far, near, True), daemon=True).start()

    def pump(self, source, sink, is_answer):
        try:
            while True:
                data = source.recv(CHUNK)
                if not data:
                    break
                while self.mode == "silent" or (self.mode == "deaf" and is_answer):
                    time.sleep(0.01)
                if self.mode == "delay":
                    time.sleep(random.uniform(0, self.delay_s))
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        with self.lock:
            self.open -= {source, sink}

    @staticmethod
    def reset(connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()

    def reset_all(self):
        with self.lock:
            ends = list(self.open)
        for end in ends:
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def stop(self):
        self.listener.close()
        self.mode = "pass"
        self.reset_all()
