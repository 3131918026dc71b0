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

import concurrent.futures
import http.client
import itertools
import json
import os
import signal
import subprocess
import tempfile
import time

from backend_standin import HEARTBEAT_S, Backend
from deployment import BIN, free_port
from store_standin import Store

HOST = "service.example"
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


def service(name, keyed=False, cold_per_s=None, cold_s=10):
    cluster = {"name": name, "healthPath": "/health", "maxConnections": 100,
               "protocol": "h1", "tls": False}
    if keyed:
        cluster.update(sharded=True, warmS=1.0, grants="rpc")
    if cold_per_s:
        cluster.update(warmupS=cold_s, warmupPerS=cold_per_s)
    return cluster


SETTINGS = """grants: "rpc"
self:
  node: "{name}"
  ip: "{ip}"
  zone: "{zone}"
  limits:
    memoryMb: {memory}
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
    def __init__(self, folder, name, zone, store, grace_s=6, memory_mb=260, environment=None):
        self.name = name
        self.ip = "127.0.%d.%d" % (1 + os.getpid() % 250, next(HOST_NUMBERS) % 250 + 1)
        self.http = free_port()
        self.ready = free_port()
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.settings, "w") as file:
            file.write(SETTINGS.format(name=name, ip=self.ip, zone=zone, http=self.http,
                                       ready=self.ready, peer=free_port(), store=store.address,
                                       heartbeat=HEARTBEAT_S, grace=grace_s, memory=memory_mb))
        self.process = None
        self.environment = {**os.environ, **(environment or {})}

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(BIN, "banyangapd"), "--platform", "--settings", self.settings],
                stdout=log, stderr=log, env=self.environment)

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

    def call_all_instances(self, path, duration_s, callers, keys=(None,)):
        """Sends requests to all instances as fast as they are answered. Returns the responses."""
        until = time.time() + duration_s

        def call(number):
            responses = []
            while time.time() < until:
                key = keys[len(responses) % len(keys)]
                responses.append(self.request(number % len(self.instances), "GET", path, key=key))
            return responses
        with concurrent.futures.ThreadPoolExecutor(callers) as pool:
            return [response for responses in pool.map(call, range(callers))
                    for response in responses]

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
