#!/usr/bin/env python3
"""Measures the cost of complete instances, with the stand-ins on loopback.

    ./setup.sh && python3 bench/instance_cost.py

Prints per idle instance the processor time, memory and traffic between
instances for several deployment sizes, and the processor time per request at
several rates.
"""

import os
import re
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
os.environ.setdefault("BGAP_BIN", os.path.join(ROOT, "build", "bin"))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
from deployment import Deployment  # noqa: E402

IDLE_S = 10
LOAD_S = 8
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_kb(pid):
    with open("/proc/%d/status" % pid) as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))


def metric(deployment, instance, name):
    text = deployment.operator_request(instance, "GET", "/metrics").body.decode()
    return sum(int(value) for value in re.findall(r"^%s(?:\{.*\})? (\d+)" % name, text, re.M))


def idle(per_zone, archive):
    with Deployment(archive=archive, reads=3, register=3, per_zone=per_zone) as deployment:
        time.sleep(3)
        names = list(deployment.instance_info)
        pids = {name: deployment.instances[name].process.pid for name in names}

        def totals():
            return {name: (cpu_s(pids[name]),
                           metric(deployment, name, "bgap_peer_sent_bytes_total"),
                           metric(deployment, name, "bgap_peer_sent_total")) for name in names}
        before, start = totals(), time.monotonic()
        time.sleep(IDLE_S)
        after, elapsed_s = totals(), time.monotonic() - start
        delta = [[(after[name][i] - before[name][i]) / elapsed_s for name in names]
                 for i in range(3)]
        print("%9d %8d %9.2f %9.0f %9.1f %9d" % (
            len(names), archive + 6, 100 * max(delta[0]), max(delta[1]), max(delta[2]),
            max(rss_kb(pid) for pid in pids.values())), flush=True)


def bench(target, rate, *paths):
    command = [os.path.join(ROOT, "build", "bench", "bench_load"), "--target=" + target,
               "--rate=%d" % rate, "--seconds=%d" % LOAD_S, "--connections=32", *paths]
    output = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
    return output.stdout or output.stderr


def keyed(deployment, rate):
    name = "entry-a"
    pid = deployment.instances[name].process.pid
    before = cpu_s(pid)
    output = bench(deployment.instance_info[name]["callers"], rate, "--keyed-reads=100",
                   "--read-path=/acme/archive/key-{key}/x", "--keys=1000")
    cpu_used_s = cpu_s(pid) - before
    print("--- %d requests/s: %.0f us of processor time per request" % (
        rate, 1e6 * cpu_used_s / (rate * LOAD_S)))
    print(output, flush=True)


def compare(deployment, rate):
    server = deployment.server_info["reads-1"]["address"]
    instance = deployment.instance_info["entry-a"]["callers"]
    for title, target, path in (("one server directly", server, "/x"),
                                ("through an instance", instance, "/acme/reads/x")):
        print("--- %s, %d requests/s" % (title, rate))
        print(bench(target, rate, "--keyed-reads=0", "--plain-path=" + path), flush=True)


def main():
    print("idle instances, witnesses from all zones, one cell")
    print("instances  servers  cpu %(max) bytes/s(max) msgs/s  rss kB(max)")
    for per_zone, archive in ((1, 3), (1, 12), (2, 12), (4, 12)):
        idle(per_zone, archive)
    print("keyed reads through one instance")
    with Deployment(archive=12, reads=1, register=0) as deployment:
        for rate in (250, 500, 1000, 2000):
            keyed(deployment, rate)
        print("reads without a key, one server of 4 slots and 1 ms")
        compare(deployment, 500)


if __name__ == "__main__":
    main()
