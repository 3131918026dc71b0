"""Runs a deployment of stand-ins, backend servers and instances on loopback for tests.

    with Deployment() as deployment:
        response = deployment.request("entry-a", "GET", "/acme/archive/key-1/x")
        deployment.servers["archive-1"].kill()

Every process gets ports of its own, so that tests can run side by side.
BGAP_BIN is the directory of the programs (default: build-san/bin).
"""

import hashlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.environ.get("BGAP_BIN", os.path.join(ROOT, "build-san", "bin"))
TOKEN = "operator-test"
OWNER_TOKEN = "owner-test"
START_S = 20  # limit for a new deployment to serve requests


PORTS = itertools.count(12000 + os.getpid() * 61 % 18000)


def free_port():
    """Returns a free port below the ephemeral port range.

    An outgoing connection could take a port of that range before the program
    that it is meant for listens on it.
    """
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def uuid7(age_ms=0):
    """Returns a UUIDv7 (RFC 9562) with a timestamp of age_ms ago."""
    stamp = int(time.time() * 1000) - age_ms
    random = int.from_bytes(os.urandom(10), "big")
    value = (stamp << 80) | random
    value &= ~(0xF << 76) & ~(0x3 << 62)
    value |= (0x7 << 76) | (0x2 << 62)
    return str(uuid.UUID(int=value))


class Response:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body
        self.outcome = headers.get("Bgap-Outcome", "")

    @property
    def server(self):
        """Name of the stand-in backend server that sent the response."""
        return self.body.split(b" ")[0].strip().decode()

    def json(self):
        return json.loads(self.body)


def http_request(address, method, path, body=None, headers=None, timeout=10):
    """Sends one request on a new connection and reads the response."""
    connection = http.client.HTTPConnection(*address.split(":"), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, response.headers, response.read())
    finally:
        connection.close()


class Program:
    """A child process; the deployment kills it when it closes."""

    def __init__(self, log_file, name, *arguments):
        self.log = open(log_file, "ab")
        self.process = subprocess.Popen(
            [os.path.join(BIN, name), *arguments], stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Proxy:
    """A TCP proxy; while disconnected it closes every connection."""

    def __init__(self, target):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.sockets = set()
        self.is_disconnected = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.is_disconnected:
                client.close()
                continue
            host, port = self.target.split(":")
            try:
                server = socket.create_connection((host, int(port)), timeout=2)
                server.settimeout(None)
            except OSError:
                client.close()
                continue
            for source, sink in ((client, server), (server, client)):
                self.sockets.add(source)
                threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def _copy(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            self.sockets.discard(end)
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        source.close()

    def disconnect(self):
        self.is_disconnected = True
        for end in list(self.sockets):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def reconnect(self):
        self.is_disconnected = False

    def close(self):
        self.disconnect()
        # close() alone does not wake the thread that is blocked in accept().
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class Deployment:
    """Three zones with per_zone entry hosts each, and three services.

    archive: keyed, each key has one holder; reads: any server; register: not
    idempotent, runs at most once per Idempotency-Key.
    """

    ZONES = ("a", "b", "c")

    def __init__(self, witnesses="region", archive=3, reads=3, register=3, checks_grants=True,
                 readiness_wait_ms=100, per_zone=1, shutdown_ms=30000):
        self.witnesses = witnesses
        self.checks_grants = checks_grants
        self.readiness_wait_ms = readiness_wait_ms
        self.shutdown_ms = shutdown_ms
        self.per_zone = per_zone
        self.folder = tempfile.TemporaryDirectory(prefix="bgap-test-")
        self.counts = {"archive": archive, "reads": reads, "register": register}
        self.servers = {}
        self.server_info = {}
        self.instances = {}
        self.instance_info = {}
        self.proxies = []
        self.host_list_address = "127.0.0.1:%d" % free_port()
        self.log_address = "127.0.0.1:%d" % free_port()
        self.version = 0

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.close()
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        self.close()

    # Start and stop.

    def start(self):
        self.log = self._program("log", "standin-log", "--address", self.log_address)
        self.host_list = self._program("hosts", "standin-hosts", "--address",
                                       self.host_list_address)
        for service, count in self.counts.items():
            for number in range(1, count + 1):
                self._define_server(service, number)
        for name in self.server_info:
            self.start_server(name)
        for zone in self.ZONES:
            for number in range(self.per_zone):
                suffix = "" if number == 0 else "-%d" % (number + 1)
                self._define_instance("entry-" + zone + suffix, zone)
        self._wait_listening(self.log_address, self.host_list_address)
        self.put_hosts()
        for name in self.instance_info:
            self.start_instance(name)
        self._wait_listening(*(i["operators"] for i in self.instance_info.values()))
        response = self.apply(self.documents())
        assert response.status == 202, response.body
        self.wait_serving()

    def close(self):
        for program in [*self.servers.values(), *self.instances.values()]:
            program.close()
        for name in ("log", "host_list"):
            if hasattr(self, name):
                getattr(self, name).close()
        for proxy in self.proxies:
            proxy.close()
        self.folder.cleanup()

    def print_logs(self):
        for name in sorted(os.listdir(self.folder.name)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder.name, name), errors="replace") as log:
                    lines = log.read().splitlines()[-25:]
                print("---", name)
                print("\n".join(lines))

    def _program(self, log_name, *command):
        return Program(os.path.join(self.folder.name, log_name + ".log"), *command)

    @staticmethod
    def _wait_listening(*addresses):
        deadline = time.monotonic() + START_S
        for address in addresses:
            host, port = address.split(":")
            while True:
                try:
                    socket.create_connection((host, int(port)), timeout=1).close()
                    break
                except OSError:
                    if time.monotonic() > deadline:
                        raise
                    time.sleep(0.02)

    def proxy(self, target):
        self.proxies.append(Proxy(target))
        return self.proxies[-1]

    # Backend servers.

    def _define_server(self, service, number):
        name = "%s-%d" % (service, number)
        self.server_info[name] = {
            "service": service, "zone": self.ZONES[(number - 1) % len(self.ZONES)],
            "address": "127.0.0.1:%d" % free_port(), "slots": 4, "draining": False}

    def start_server(self, name):
        info = self.server_info[name]
        arguments = ["--name", name, "--service", "acme." + info["service"], "--address",
                     info["address"], "--slots=%d" % info["slots"], "--connections=110",
                     "--work-ms=1"]
        # Servers of services without keys are sent no grants.
        if info["service"] != "archive" or not self.checks_grants:
            arguments.append("--no-grants")
        self.servers[name] = self._program(name, "standin-backend", *arguments)

    def control_server(self, name, **faults):
        return http_request(self.server_info[name]["address"], "POST", "/control",
                            json.dumps(faults))

    def run_counts(self, service):
        """Counts executions per idempotency key over the reachable servers of a service."""
        total = {}
        for name, info in self.server_info.items():
            if info["service"] != service:
                continue
            try:
                run_counts = http_request(info["address"], "GET", "/.bgap/runs").json()
            except OSError:
                continue
            for key, count in run_counts.get("runs", run_counts).items():
                total[key] = total.get(key, 0) + count
        return total

    # Instances.

    def _define_instance(self, name, zone):
        self.instance_info[name] = {
            "zone": zone, "callers": "127.0.0.1:%d" % free_port(),
            "peers": "127.0.0.1:%d" % free_port(), "operators": "127.0.0.1:%d" % free_port(),
            "log": self.proxy(self.log_address), "hosts": self.proxy(self.host_list_address),
            "state": "live"}

    def start_instance(self, name):
        info = self.instance_info[name]
        path = os.path.join(self.folder.name, name + ".yaml")
        with open(path, "w") as settings:
            settings.write(
                "name: %s\nzone: %s\ndeployment: acme\ncallers_address: %s\npeers_address: %s\n"
                "operators_address: %s\nlog_address: %s\nhost_list_address: %s\nlog_level: info\n"
                "operator_token_sha256: %s\nlimits:\n  readiness_wait_ms: %d\n"
                "  shutdown_ms: %d\n" % (
                    name, info["zone"], info["callers"], info["peers"], info["operators"],
                    info["log"].address, info["hosts"].address,
                    hashlib.sha256(TOKEN.encode()).hexdigest(), self.readiness_wait_ms,
                    self.shutdown_ms))
        self.instances[name] = self._program(name, "banyangapd", "--settings", path)

    def put_hosts(self):
        hosts = [{"name": name, "zone": info["zone"], "role": "entry",
                  "address": info["callers"], "peer_address": info["peers"],
                  "state": info["state"]} for name, info in self.instance_info.items()]
        hosts += [{"name": name, "zone": info["zone"], "role": "backend",
                   "address": info["address"], "state": info.get("state", "live")}
                  for name, info in self.server_info.items()]
        response = http_request(self.host_list_address, "PUT", "/hosts",
                                json.dumps({"hosts": hosts}))
        assert response.status == 200, response.body

    def request(self, instance, method, path, body=None, headers=None, timeout=10):
        return http_request(self.instance_info[instance]["callers"], method, path, body, headers,
                            timeout)

    def operator_request(self, instance, method, path, body=None, token=TOKEN):
        return http_request(self.instance_info[instance]["operators"], method, path, body,
                            {"Authorization": "Bearer " + token}, timeout=40)

    # Configuration.

    def documents(self, deadline_ms=5000):
        policy = {"kind": "ownership_policy", "name": "exclusive", "owner": "acme",
                  "witnesses": self.witnesses}
        documents = [
            {"kind": "owner", "name": "acme", "owner": "acme", "entry_hosts_max": 12,
             "token_sha256": hashlib.sha256(OWNER_TOKEN.encode()).hexdigest()}, policy,
            {"kind": "service", "name": "archive", "owner": "acme", "keyed": True, "slices": 64,
             "repeat": "idempotent", "deadline_ms": deadline_ms, "ownership_policy": "exclusive"},
            {"kind": "service", "name": "reads", "owner": "acme", "repeat": "idempotent",
             "class": "urgent", "deadline_ms": deadline_ms},
            {"kind": "service", "name": "register", "owner": "acme", "repeat": "never",
             "deadline_ms": deadline_ms}]
        documents += [{"kind": "zone", "name": zone, "owner": "acme", "region": "cape"}
                      for zone in self.ZONES]
        for service, count in self.counts.items():
            if count == 0:
                continue
            servers = []
            for name, info in self.server_info.items():
                if info["service"] == service:
                    servers.append({
                        "name": name, "zone": info["zone"], "address": info["address"],
                        "slots": info["slots"], "connections": 110,
                        "checks_grants": self.checks_grants, "draining": info["draining"]})
            documents.append({"kind": "backend_servers", "name": service, "owner": "acme",
                              "service": service, "servers": servers})
        # JSON is valid YAML.
        return "\n---\n".join(json.dumps(document) for document in documents)

    def apply(self, documents, based_on=None, instance="entry-a", operator="test"):
        based_on = self.version if based_on is None else based_on
        response = self.operator_request(instance, "POST", "/config", json.dumps({
            "owner": "acme", "based_on": based_on, "documents": documents,
            "operator": operator}))
        if response.status == 202:
            self.version = response.json()["offset"]
        return response

    # Waiting.

    @staticmethod
    def wait(condition, limit_s, what):
        """Polls a condition and returns the seconds it took; fails after limit_s."""
        start = time.monotonic()
        while True:
            try:
                if condition():
                    return time.monotonic() - start
            except (OSError, http.client.HTTPException):
                pass
            assert time.monotonic() - start < limit_s, what + " not within %g s" % limit_s
            time.sleep(0.02)

    def key_served(self, instance, key):
        response = self.request(instance, "GET", "/acme/archive/%s/x" % key, timeout=2,
                                headers={"Bgap-Deadline-Ms": "300"})
        return response.status == 200

    def wait_serving(self, keys=20):
        for instance in self.instance_info:
            if self.counts["archive"] > 0:
                for number in range(keys):
                    self.wait(lambda: self.key_served(instance, "key-%d" % number), START_S,
                              "key-%d at %s" % (number, instance))
            if self.counts["reads"] > 0:
                self.wait(lambda: self.request(instance, "GET", "/acme/reads/x").status == 200,
                          START_S, "reads at " + instance)
            if self.counts["register"] > 0:
                self.wait(lambda: self.request(
                    instance, "POST", "/acme/register/warm", b"",
                    {"Idempotency-Key": uuid7()}).status == 200, START_S, "register at " + instance)

    def holder(self, key, instance="entry-a"):
        response = self.operator_request(instance, "GET",
                                         "/explain?service=acme/archive&key=" + key)
        return response.json()
