"""Stand-ins for the platform's store and servers, and instances in platform mode.

    with Platform() as platform:
        platform.add_servers("reads", 2)
        platform.configure([route("/r/", "reads")], [service("reads")])
        platform.start_instances(3)
        response = platform.request(0, "GET", "/r/1")

The store and the servers implement the part of the platform's published
protocol that banyangapd uses. Each server records the requests it executed and
the leases it held, so that tests can check the guarantees on the server side.
"""

import base64
import concurrent.futures
import http.client
import http.server
import itertools
import json
import os
import signal
import socketserver
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

from deployment import BIN, free_port

HOST = "service.example"
HEARTBEAT_S = 0.3
DEADLINE_S = 2    # of requests
OBJECTIVE_S = 0.5  # of routes: an answer within this time is in time
HOST_NUMBERS = itertools.count(16 + os.getpid() % 200)


def route(prefix, target, kind="idempotent", timeout_s=2.0, attempts=3):
    action = {"timeoutS": timeout_s, "maxAttempts": attempts}
    if isinstance(target, str):
        action["service"] = target
    else:
        action["trafficSplit"] = [
            {"service": name, "weight": weight} for name, weight in target]
    return {"name": "route" + prefix, "kind": kind, "targetLatencyS": OBJECTIVE_S, "priority": 1,
            "match": {"pathPrefix": prefix}, "action": action}


def service(name, keyed=False):
    cluster = {"name": name, "healthPath": "/health", "maxConnections": 100,
               "protocol": "h1", "tls": False}
    if keyed:
        cluster.update(sharded=True, warmS=1.0, grants="rpc")
    return cluster


class QuietHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    more_headers = ()

    def log_message(self, format, *args):
        pass

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in [*headers, *self.more_headers]:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def reply_json(self, status, value):
        self.reply(status, json.dumps(value).encode(), [("Content-Type", "application/json")])

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        pass


class Store:
    """Topics of records with offsets; newest() returns the latest record of each key."""

    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.times = {}  # when each record of a topic was appended
        self.era = 1     # rises with each restore
        self.members = {}
        self.partitions = 24
        self.assignment = {}
        self.generation = 0
        self.fault = None  # None, "silent", "busy" or "lost" (executed, but the response is lost)
        self.fault_until = 0
        self.read_delay_s = 0
        self.wakes_readers = True  # else a read that waits returns no earlier than its wait ends
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                store.handle(self)

            def do_POST(self):
                store.handle(self)

        self.http = Server(("127.0.0.1", free_port()), Handler)
        self.address = "127.0.0.1:%d" % self.http.server_port
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def stop(self):
        self.http.shutdown()
        self.http.server_close()

    def inject_fault(self, fault, duration_s):
        self.fault_until = time.time() + duration_s
        self.fault = fault

    def restore(self, age_s, down_s):
        """Is away for down_s, then as it was age_s before now. Returns when it is back."""
        copied_at = time.time() - age_s
        self.inject_fault("silent", down_s)
        with self.changed:
            self.changed.notify_all()
        time.sleep(down_s)
        with self.changed:
            for topic, times in self.times.items():
                kept = sum(at < copied_at for at in times)
                del self.topics[topic][kept:]
                del times[kept:]
            self.era += 1
            self.fault = None

    def append(self, topic, key, value, expected_offset=None):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            if expected_offset is not None and expected_offset != len(records):
                return None
            records.append((key, value))
            self.times.setdefault(topic, []).append(time.time())
            self.changed.notify_all()
            return len(records) - 1

    def newest(self, topic):
        items = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            items[key] = (offset, value)
        return {key: item for key, item in items.items() if item[1]}

    def handle(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = handler.body() if handler.command == "POST" else b""
        if self.fault is not None and time.time() < self.fault_until:
            if self.fault == "busy":
                handler.reply(503, headers=[("Store-Era", str(self.era))])
                return
            if self.fault == "lost":
                self.serve(handler, url, query, body, respond=False)
                return
            time.sleep(max(0, self.fault_until - time.time()))
            handler.close_connection = True
            return
        self.serve(handler, url, query, body)

    def serve(self, handler, url, query, body, respond=True):
        handler.more_headers = [("Store-Era", str(self.era))]
        if not respond:
            handler.reply = lambda *args, **named: None
            handler.close_connection = True
        getattr(self, "on_" + url.path[1:].replace("-", "_"))(handler, query, body)

    def on_log_append(self, handler, query, body):
        size = struct.unpack(">I", body[:4])[0]
        record = body[4:4 + size]
        key = record[1:1 + record[0]].decode()
        expected_offset = int(query["at"]) if "at" in query else None
        offset = self.append(query["topic"], key, record[1 + record[0]:],
                             expected_offset)
        end = len(self.topics.get(query["topic"], []))
        if offset is None:
            handler.reply_json(412, {"endOffset": end})
        else:
            handler.reply_json(200, {"offset": offset, "endOffset": end})

    def on_log_read(self, handler, query, body):
        start = int(query["from"])
        deadline = time.time() + int(query.get("waitMs", 0)) / 1000
        time.sleep(self.read_delay_s)
        with self.changed:
            if start > len(self.topics.get(query["topic"], [])):
                handler.reply_json(410, {"firstOffset": 0})
                return
            if not self.wakes_readers and len(self.topics.get(query["topic"], [])) <= start:
                self.changed.wait_for(lambda: self.fault is not None,
                                      max(0, deadline - time.time()))
            while (len(self.topics.get(query["topic"], [])) <= start
                   and time.time() < deadline and self.fault is None):
                self.changed.wait(max(0.001, min(0.2, deadline - time.time())))
            records = self.topics.get(query["topic"], [])
            response = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                response += struct.pack(">I", len(content)) + content
        handler.reply(200, response)

    def on_log_newest(self, handler, query, body):
        time.sleep(self.read_delay_s)
        with self.changed:
            items = [{"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                     for key, (offset, value) in self.newest(query["topic"]).items()]
            end = len(self.topics.get(query["topic"], []))
        handler.reply_json(200, {"items": items, "hasMore": False, "endOffset": end})

    def assign_partitions(self):
        """Balances the partitions of each topic over the members that subscribe to it. A partition
        moves only if its topic is unbalanced, whatever the members own of other topics."""
        now = time.time()
        assignment = {}
        live = {name: topics for name, (expires_at, topics) in self.members.items()
                if expires_at > now}
        for topic in sorted({topic for topics in live.values() for topic in topics}):
            subscribed = sorted(name for name, topics in live.items() if topic in topics)
            owned = {name: [] for name in subscribed}
            for number in range(self.partitions):
                owner = self.assignment.get((topic, number))
                owned[owner if owner in owned else min(owned, key=lambda m: len(owned[m]))].append(
                    number)
            while True:
                most = max(subscribed, key=lambda name: len(owned[name]))
                least = min(subscribed, key=lambda name: len(owned[name]))
                if len(owned[most]) - len(owned[least]) < 2:
                    break
                owned[least].append(owned[most].pop())
            for name, numbers in owned.items():
                assignment.update({(topic, number): name for number in numbers})
        if assignment != self.assignment:
            self.assignment = assignment
            self.generation += 1

    def assigned_partitions(self, name=None):
        self.assign_partitions()
        return [[topic, number, owner, 0]
                for (topic, number), owner in sorted(self.assignment.items())
                if name is None or owner == name]

    def on_log_join(self, handler, query, body):
        call = json.loads(body)
        with self.changed:
            self.members[call["memberId"]] = (time.time() + call["ttlS_time"], call["topics"])
            assigned = [[row[0], row[1], 0]
                        for row in self.assigned_partitions(call["memberId"])]
        handler.reply_json(200, {"generation": self.generation, "parts": assigned})

    def on_log_leave(self, handler, query, body):
        with self.changed:
            self.members.pop(json.loads(body)["memberId"], None)
        handler.reply_json(200, {})

    def on_log_owners(self, handler, query, body):
        with self.changed:
            handler.reply_json(200, {"parts": self.assigned_partitions()})


class Backend:
    """A server that registers itself, executes requests and holds leases of granted keys."""

    def __init__(self, store, name, service_name, zone, keyed, make_proxy=None):
        """make_proxy: returns a proxy for an address; the server registers the proxy's address."""
        self.store = store
        self.name = name
        self.service = service_name
        self.zone = zone
        self.keyed = keyed
        self.lock = threading.Lock()
        self.work_s = 0.01
        self.padding = b""  # at the end of its answers
        self.field_count = 0  # of the heads of its answers, which then have no length
        self.rate_limit = None  # requests per second that it states in its answers
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
        self.registration_lock = threading.Lock()
        self.sequence = 0
        self.incarnation = int(time.time() * 1000)
        backend = self

        class Handler(QuietHandler):
            def do_GET(self):
                backend.handle(self)

            def do_POST(self):
                backend.handle(self)

        self.http = Server(("127.0.0.1", free_port()), Handler)
        self.address = "127.0.0.1:%d" % self.http.server_port
        self.proxy = make_proxy(self.address) if make_proxy else None
        if self.proxy:
            self.address = self.proxy.address
        threading.Thread(target=self.http.serve_forever, daemon=True).start()
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
            "version": "v1", "maxConcurrency": 4, "state": self.state, "warmupS_time": 0,
            "sequence": self.sequence, "born": self.incarnation}).encode())

    def restart(self):
        """Starts again under the same id, without leases and statements of before."""
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

    def kill(self):
        """Stops without notice; the registration expires after three heartbeat intervals."""
        self.alive = False
        with self.lock:
            now = time.time()
            for lease in self.leases:
                lease[3] = min(lease[3], now)
        self.http.shutdown()
        self.http.server_close()
        threading.Timer(3 * HEARTBEAT_S,
                        lambda: self.store.append("keyed.servers", self.name, b"")).start()

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
        if expected is not None and expected != self.name:
            handler.reply(421, headers=[("Instance-Id", self.name)])
        elif handler.path == "/grant":
            self.on_grant(handler, json.loads(body))
        elif handler.path == "/release":
            self.on_release(handler, json.loads(body))
        else:
            self.on_request(handler, body)

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


SETTINGS = """grants: "rpc"
self:
  node: "{name}"
  ip: "{ip}"
  zone: "{zone}"
  limits:
    memoryMb: 260
network:
  listen:
    http: "{ip}:{http}"
    readiness: "{ip}:{ready}"
  portRange:
    - {peer}
    - {peer}
platform:
  heartbeatS: {heartbeat}
  platform:
    address: "{store}"
terms:
  bounds:
    drainS: 2
    graceS: {grace}
    maxHoldS: 10
    retryBudgetRatio: 0.2
    retrySlack: 56
    budgetWindowS: 10
"""


class Instance:
    def __init__(self, folder, name, zone, store, grace_s=6):
        self.name = name
        self.ip = "127.0.%d.%d" % (1 + os.getpid() % 250, next(HOST_NUMBERS) % 250 + 1)
        self.http = free_port()
        self.ready = free_port()
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.settings, "w") as file:
            file.write(SETTINGS.format(name=name, ip=self.ip, zone=zone, http=self.http,
                                       ready=self.ready, peer=free_port(), store=store.address,
                                       heartbeat=HEARTBEAT_S, grace=grace_s))
        self.process = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(BIN, "banyangapd"), "--platform", "--settings", self.settings],
                stdout=log, stderr=log)

    def log(self):
        with open(self.log_path) as file:
            return file.read()

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ip, self.ready, timeout=2)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def metrics(self):
        connection = http.client.HTTPConnection(self.ip, 9464, timeout=2)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        return text


class Response:
    def __init__(self, status, headers, body, request_id, sent_at):
        self.status = status
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.sent_at = sent_at


class Platform:
    def __init__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.backends = {}
        self.instances = []
        self.version = 0
        self.ids = itertools.count(1)

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            list(pool.map(lambda backend: backend.stop(), self.backends.values()))
        self.store.stop()
        self.folder.cleanup()

    def add_servers(self, name, count, keyed=False):
        for number in range(count):
            server = "%s-%d" % (name, len(self.backends))
            zone = "z%d" % (number % 2 + 1)
            self.backends[server] = Backend(self.store, server, name, zone, keyed)

    def configure(self, rules, clusters, version=None):
        self.version = self.version + 1 if version is None else version
        self.store.append("keyed.op", "config", json.dumps({
            "version": self.version,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000,
                       "headerTimeoutS": 3, "idleTimeoutS": 15},
            "listeners": [{"host": HOST, "rules": rules}], "clusters": clusters}).encode())

    def start_instances(self, count, **options):
        for number in range(count):
            instance = Instance(self.folder.name, "edge-%d" % len(self.instances),
                                "z%d" % (number % 2 + 1), self.store, **options)
            self.instances.append(instance)
            instance.start()
        try:
            self.wait(lambda: all(instance.is_ready() for instance in self.instances), 15, "ready")
        except AssertionError as error:
            raise AssertionError("%s\n%s" % (error, "\n".join(
                "%s: exit status %s\n%s" % (instance.name, instance.process.poll(),
                                            instance.log()[-2000:])
                for instance in self.instances))) from error

    def wait(self, condition, duration_s, what):
        deadline = time.time() + duration_s
        while not condition():
            if time.time() > deadline:
                raise AssertionError("not within %g s: %s" % (duration_s, what))
            time.sleep(0.02)

    def request(self, number, method, path, key=None, body=None, timeout=5, host=HOST,
                deadline_s=DEADLINE_S):
        instance = self.instances[number]
        connection = http.client.HTTPConnection(instance.ip, instance.http, timeout=timeout)
        request_id = "r-%d" % next(self.ids)
        headers = {"Host": host, "Attempt-Id": request_id,
                   "Deadline-Ms": "%d" % (deadline_s * 1000)}
        if key is not None:
            headers["Shard-Key"] = str(key)
        sent_at = time.time()
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            return Response(response.status, response.headers, response.read(), request_id,
                            sent_at)
        finally:
            connection.close()

    def holders(self, key):
        return [name for name, backend in self.backends.items()
                if backend.alive and backend.holds_key(key)]

    def overlapping_leases(self):
        """Leases of two servers that overlap in time and keys, as (server, server, first key)."""
        leases = [(name, *lease) for name, backend in self.backends.items()
                  for lease in backend.leases]
        return [(a[0], b[0], max(a[1], b[1])) for a, b in itertools.combinations(leases, 2)
                if a[0] != b[0] and max(a[1], b[1]) <= min(a[2], b[2])
                and max(a[3], b[3]) < min(a[4], b[4])]

    def terminate(self, number):
        self.instances[number].process.send_signal(signal.SIGTERM)
