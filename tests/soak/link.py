"""A loopback TCP proxy that injects delays, stalls and resets into connections to a server."""

import random
import socket
import struct
import threading
import time

CHUNK = 65536


class FaultProxy:
    """Forwards connections to an address.

    mode is "pass", "delay" (each chunk is delayed by up to delay_s), "silent" (no data passes
    either way), "one-way" (data from the server does not pass) or "reset" (new connections
    are reset)."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay_s = 0
        self.sockets = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.mode == "reset":
                self.reset(client)
                continue
            host, port = self.target.split(":")
            try:
                upstream = socket.create_connection((host, int(port)), timeout=2)
            except OSError:
                self.reset(client)
                continue
            upstream.settimeout(None)
            with self.lock:
                self.sockets |= {client, upstream}
            threading.Thread(target=self.forward, args=(client, upstream, False),
                             daemon=True).start()
            threading.Thread(target=self.forward, args=(upstream, client, True),
                             daemon=True).start()

    def forward(self, source, sink, is_response):
        try:
            while True:
                data = source.recv(CHUNK)
                if not data:
                    break
                while self.mode == "silent" or (self.mode == "one-way" and is_response):
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
            self.sockets -= {source, sink}

    @staticmethod
    def reset(connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()

    def reset_all(self):
        with self.lock:
            ends = list(self.sockets)
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
