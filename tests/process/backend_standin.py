"""Stand-in for a backend server of the platform.

    backend = Backend(store, "reads-0", "reads", "z1", keyed=False)
    backend.work_s = 0.2
    ...
    backend.executed    # requests that it ran
"""

import json
import socket
import threading
import time

from deployment import free_port
from store_standin import QuietHandler, Server

HEARTBEAT_S = 0.3
STOP_POLL_S = 0.05  # interval in which a server notices that it is to stop


class Backend:
    """A server that registers itself, executes requests and holds leases of granted keys."""

    def __init__(self, store, name, service_name, zone, keyed, make_proxy=None, port=None):
        """make_proxy: returns a proxy for an address; the server registers the proxy's address."""
        self.store = store
        self.name = name
        self.service = service_name
        self.zone = zone
        self.keyed = keyed
        self.lock = threading.Lock()
        self.connections = set()
        self.crash_path = None  # a request with this path crashes it
        self.work_s = 0.01
        self.padding = b""  # at the end of its answers
        self.field_count = 0  # of the heads of its answers, which then have no length
        self.rate_limit = None  # requests per second that it states in its answers
        self.warm_at = 0        # until then it states that it is cold
        self.checks = []        # times of health checks
        self.is_leaving = False  # it states that in its answers, whatever it has registered
        self.pause_s = None      # it refuses requests and wants none of the instance for so long
        self.refusals_left = 0   # requests that it refuses
        self.repeats_refusals = False  # sends a refusal again, after the next request's arrival
        self.repeats_orders = None  # sends its answers with these statuses to orders once more
        self.release_s = 0          # time until the work on released keys has ended
        self.closes_orders = 0      # answers to so many orders end their connection
        self.echoes_order_ids = True
        self.order_answers = {}  # last answer to an order on each connection
        self.refused = []   # (time, request id)
        self.refused_on = {}  # last refusal on each connection
        self.arrivals = []  # times of requests, executed or not
        self.executed = []  # (time, request id, key, body)
        self.leases = []    # [first key, last key, granted at, expires at, fencing token]
        self.tokens = {}    # newest fencing token of each (first key, last key)
        self.state = "ready"
        self.alive = True
        self.is_registered = True
        self.is_expiring = False
        self.registration_lock = threading.Lock()
        self.sequence = 0
        self.incarnation = int(time.time() * 1000)
        backend = self

        class Handler(QuietHandler):
            def setup(self):
                super().setup()
                with backend.lock:
                    backend.connections.add(self.connection)

            def finish(self):
                with backend.lock:
                    backend.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                backend.handle(self)

            def do_POST(self):
                backend.handle(self)

        self.http = Server(("127.0.0.1", port or free_port()), Handler)
        self.address = "127.0.0.1:%d" % self.http.server_port
        self.proxy = make_proxy(self.address) if make_proxy else None
        if self.proxy:
            self.address = self.proxy.address
        threading.Thread(target=self.http.serve_forever, args=(STOP_POLL_S,),
                         daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def send_heartbeats(self):
        while self.alive:
            with self.registration_lock:
                if not self.is_registered:
                    return
                self.sequence += 1
                self.register()
            time.sleep(HEARTBEAT_S)

    def register(self):
        self.store.append("keyed.servers", self.name, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "maxConcurrency": 4, "state": self.state,
            "warmupS_time": max(0, self.warm_at - time.time()),
            "sequence": self.sequence, "born": self.incarnation}).encode())

    def restart(self, cold_s=0):
        """Starts again under the same id, without leases and statements of before, and is cold
        for a while."""
        self.warm_at = time.time() + cold_s
        with self.registration_lock, self.lock:
            self.leases, self.tokens = [], {}
            self.is_leaving = False
            self.incarnation = int(time.time() * 1000)
            self.sequence = 0
            self.register()

    def drain(self):
        self.state = "draining"
        self.register()

    def deregister(self):
        """Deletes the registration; the server keeps serving requests."""
        with self.registration_lock:
            self.is_registered = False
            self.store.append("keyed.servers", self.name, b"")

    def lapse(self, duration_s):
        """Has no registration for this time, longer than a heartbeat interval, as a server that is
        cut off from the store; then the same process registers again."""
        self.deregister()
        time.sleep(duration_s)
        self.is_registered = True
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def kill(self):
        """Stops without notice; the registration expires after three heartbeat intervals."""
        self.alive = False
        with self.lock:
            now = time.time()
            for lease in self.leases:
                lease[3] = min(lease[3], now)
        self.http.shutdown()
        self.http.server_close()
        self.expire()

    def expire(self):
        """Has the store remove the registration after three heartbeat intervals."""
        self.is_expiring = True
        threading.Timer(3 * HEARTBEAT_S,
                        lambda: self.store.append("keyed.servers", self.name, b"")).start()

    def end_connections(self):
        """Ends the connections to it, as the end of its process does."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # has ended already

    def crash(self):
        """Ends like a killed process: its connections end and its port is closed. Its
        registration stays."""
        with self.registration_lock:
            self.is_registered = False
        self.alive = False
        with self.lock:
            connections = [self.http.socket, *self.connections]
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # has ended already
        self.http.shutdown()
        self.http.server_close()

    def stop(self):
        if self.alive:
            self.alive = False
            self.http.shutdown()
            self.http.server_close()

    def holds_key(self, key):
        now = time.time()
        return any(first <= key <= last and expires_at > now
                   for first, last, _, expires_at, _ in self.leases)

    def handle(self, handler):
        if not self.alive:
            handler.close_connection = True
            return
        body = handler.body()
        handler.more_headers = self.stated_headers(handler)
        if handler.path in ("/grant", "/release"):
            self.repeat_order(handler)
        expected = handler.headers.get("Expected-Instance")
        if handler.path == "/health":
            self.on_health_check(handler)
        elif expected is not None and expected != self.name:
            handler.reply(421, headers=[("Instance-Id", self.name)])
        elif handler.path == "/grant":
            self.on_grant(handler, json.loads(body))
        elif handler.path == "/release":
            self.on_release(handler, json.loads(body))
        else:
            self.on_request(handler, body)

    def on_health_check(self, handler):
        now = time.time()
        self.checks.append(now)
        headers = [("Instance-Id", self.name)]
        if now < self.warm_at:
            headers.append(("Warmup-Ms", "%d" % ((self.warm_at - now) * 1000)))
        handler.reply(200, headers=headers)

    def stated_headers(self, handler):
        headers = []
        is_order = handler.path in ("/grant", "/release")
        if "Attempt-Id" in handler.headers and (self.echoes_order_ids or not is_order):
            headers.append(("Attempt-Id", handler.headers["Attempt-Id"]))
        if self.rate_limit is not None:
            headers.append(("Server-Limit", "%g" % self.rate_limit))
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    def must_refuse(self):
        if self.pause_s is not None:
            return True
        if self.refusals_left == 0:
            return False
        self.refusals_left -= 1
        return True

    def refuse(self, handler, request_id):
        self.refused.append((time.time(), request_id))
        headers = [("Not-Executed", "1")]
        if self.pause_s is not None:
            headers.append(("Retry-After", "%g" % self.pause_s))
        self.refused_on[handler.client_address] = headers + [("Attempt-Id", request_id)]
        handler.reply(503, headers=headers)

    def repeat_refusal(self, handler):
        """Sends the last refusal on this connection once more."""
        headers = self.refused_on.get(handler.client_address)
        if headers is None or not self.repeats_refusals:
            return
        stated, handler.more_headers = handler.more_headers, ()
        handler.reply(503, headers=headers)
        handler.more_headers = stated

    def repeat_order(self, handler):
        """Sends the last answer to an order on this connection once more, and keeps the next."""
        last = self.order_answers.get(handler.client_address)
        if last is not None and last[0] in (self.repeats_orders or ()):
            stated, handler.more_headers = handler.more_headers, last[2]
            handler.reply(last[0], headers=last[1])
            handler.more_headers = stated
        reply = handler.reply

        def keep_and_reply(status, body=b"", headers=()):
            self.order_answers[handler.client_address] = (status, headers, handler.more_headers)
            handler.reply = reply
            if self.closes_orders > 0 and status == 200:
                self.closes_orders -= 1
                headers = [*headers, ("Connection", "close")]
                handler.close_connection = True
            reply(status, body, headers)
        handler.reply = keep_and_reply

    def has_newer_token(self, call):
        return any(token > call["fence"] and first <= call["to"] and last >= call["from"]
                   for (first, last), token in self.tokens.items())

    def end_leases(self, call, now):
        rest = []
        for first, last, start, expires_at, token in self.leases:
            if last < call["from"] or first > call["to"] or expires_at <= now:
                rest.append([first, last, start, expires_at, token])
                continue
            rest.append([max(first, call["from"]), min(last, call["to"]), start, now, token])
            if first < call["from"]:
                rest.append([first, call["from"] - 1, start, expires_at, token])
            if last > call["to"]:
                rest.append([call["to"] + 1, last, start, expires_at, token])
        self.leases = rest

    def on_grant(self, handler, call):
        with self.lock:
            if self.has_newer_token(call):
                handler.reply(409)
                return
            now = time.time()
            self.tokens[(call["from"], call["to"])] = call["fence"]
            self.end_leases(call, now)
            self.leases.append([call["from"], call["to"], now, now + call["holdS"], call["fence"]])
        handler.reply(200)

    def on_release(self, handler, call):
        time.sleep(self.release_s)
        with self.lock:
            self.tokens[(call["from"], call["to"])] = call["fence"]
            self.end_leases(call, time.time())
        handler.reply(200, headers=[("Handover", "h-%s-%d-%d" % (
            self.name, call["from"], call["fence"]))])

    def on_request(self, handler, body):
        key = handler.headers.get("Shard-Key")
        request_id = handler.headers["Attempt-Id"]
        if handler.path == self.crash_path:
            self.crash()
            return
        with self.lock:
            self.arrivals.append(time.time())
            if self.keyed and not self.holds_key(int(key)):
                handler.reply(421, headers=[("Not-Executed", "1"),
                                            ("Instance-Id", self.name)])
                return
            if self.must_refuse():
                self.refuse(handler, request_id)
                return
            self.repeat_refusal(handler)
            self.executed.append((time.time(), request_id, key, body))
        time.sleep(self.work_s)
        content = b"%s:%s%s" % (self.name.encode(), body, self.padding)
        headers = [("Backend-Signature", "s-" + self.name), ("Backend-Load", "1,0,4")]
        if self.field_count > 0:
            self.reply_with_fields(handler, content, [*headers, *handler.more_headers])
        else:
            handler.reply(200, content, headers)

    def reply_with_fields(self, handler, content, headers):
        headers += [("X-%d" % number, "y") for number in range(self.field_count - len(headers))]
        handler.close_connection = True
        handler.wfile.write(b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (
            b"".join(b"%s: %s\r\n" % (name.encode(), value.encode())
                     for name, value in headers), content))
