"""Two of fifteen servers of a sharded service crash at the same moment and are back a second later.

All requests have the same path; each has a key of its own. After that the system refuses all of
them, also when all its processes were killed and have started again.
"""

import collections
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import server as standin  # noqa: E402
from platform_standin import Platform, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 4
SERVERS = 15
RATE = 160           # requests a second
CRASHED = 2          # a share of 0.14 of the servers, the dose of srv_crash
BACK_AFTER_S = 1
CRASH_AT_S = 10
FAULT_AT_S = 15      # final fault: all processes of the system are killed
DOWN_S = 1
RECOVERY_S = 15      # recoveryS
PLAY_S = 60
WORK_S = 0.4         # of a request


class KeyServer(standin.KeyServer):
    SLOTS = 6

    def run(self, request):
        time.sleep(WORK_S)


class Clients:
    def __init__(self, platform, record):
        self.platform, self.record = platform, record
        self.lock = threading.Lock()
        self.results = []  # (sent at, status)

    def send(self, number, begun):
        sent_at = time.time() - begun
        try:
            answer = self.platform.request(number % INSTANCES, "GET", "/k/page",
                                           key=random.randrange(65536))
            status = answer.status
            if status == 200 and "Backend-Signature" not in answer.headers:
                status = "unsigned"
        except OSError as error:
            status = type(error).__name__
        with self.lock:
            self.results.append((sent_at, str(status)))

    def play(self, begun, until):
        number = 0
        while time.time() < until:
            number += 1
            threading.Thread(target=self.send, args=(number, begun), daemon=True).start()
            time.sleep(1 / RATE)

    def between(self, start, end):
        with self.lock:
            return collections.Counter(s for at, s in self.results if start <= at < end)


def main():
    record = standin.Record(FOLDER)
    with Platform() as platform:
        servers = [KeyServer(platform.store, record, "i-%d" % n, "pages", "z%d" % (n % 2 + 1))
                   for n in range(SERVERS)]
        platform.configure([route("/k/", "pages")], [service("pages", keyed=True)])
        platform.start_instances(INSTANCES)
        time.sleep(4)
        clients = Clients(platform, record)
        begun = time.time()
        player = threading.Thread(target=clients.play, args=(begun, begun + PLAY_S))
        player.start()

        def at(second, action):
            timer = threading.Timer(begun + second - time.time(), action)
            timer.daemon = True
            timer.start()

        def crash(server):
            server.crash()
            record.line("server %s crashes", server.name)

        def restart(old):
            servers.append(KeyServer(platform.store, record, old.name, old.service, old.zone,
                                     old.port))
            record.line("server %s is back", old.name)

        def kill_all():
            for instance in platform.instances:
                instance.process.kill()
            for instance in platform.instances:
                instance.process.wait()
            record.line("all instances are killed")

        def start_all():
            for instance in platform.instances:
                instance.start()
            record.line("all instances start")

        if TROUBLE:
            for old in servers[:CRASHED]:
                at(CRASH_AT_S, lambda s=old: crash(s))
                at(CRASH_AT_S + BACK_AFTER_S, lambda s=old: restart(s))
        at(FAULT_AT_S, kill_all)
        at(FAULT_AT_S + DOWN_S, start_all)
        player.join()
        time.sleep(2.5)
        for server in servers:
            server.crash()
    for start in range(0, PLAY_S, 5):
        record.line("answers to requests sent from %d s to %d s: %s", start, start + 5,
                    dict(clients.between(start, start + 5)))
    before = clients.between(0, FAULT_AT_S)
    after = clients.between(FAULT_AT_S + DOWN_S + RECOVERY_S, PLAY_S)
    served_before = before["200"] / max(1, sum(before.values()))
    served_after = after["200"] / max(1, sum(after.values()))
    record.line("served before the final fault: %.3f; sent later than %g s after the machines are "
                "back: %d, served %.3f, at least 0.25 must be", served_before, RECOVERY_S,
                sum(after.values()), served_after)
    if served_before < 0.25 or sum(after.values()) < 100:
        return standin.NOT_RUN
    return standin.RULE_BROKEN if served_after < 0.25 else standin.RULE_HELD


if __name__ == "__main__":
    standin.run_case(main)
