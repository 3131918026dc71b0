"""Proper requests whose heads have many short fields."""

import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import server as standin  # noqa: E402
from platform_standin import Platform, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIELDS = 140 if TROUBLE else 40
MAX_HEADER_BYTES = 16384  # of the limits in force, see Platform.configure()
REQUESTS = 300
WITH_FIELDS_EVERY = 3     # one of so many requests has the fields
OWN_4XX = {"400", "401", "403", "404", "413", "431"}


def main():
    record = standin.Record(FOLDER)
    results = collections.Counter()
    fields = [("X-Field-%d" % n, "value-%d" % n) for n in range(FIELDS)]
    size = sum(len(name) + len(value) + 4 for name, value in fields)
    record.line("%d fields have %d bytes; maxHeaderBytes is %d", FIELDS, size, MAX_HEADER_BYTES)
    with Platform() as platform:
        servers = [standin.Server(platform.store, record, "i-%d" % n, "orders", "z%d" % (n % 2 + 1))
                   for n in range(4)]
        platform.configure([route("/o/", "orders", kind="non_idempotent")], [service("orders")])
        platform.start_instances(2)
        time.sleep(2)
        for number in range(REQUESTS):
            has_fields = number % WITH_FIELDS_EVERY == 0
            status = standin.call(platform.instances[number % 2], "c-%d" % number,
                                  "/o/%d" % number, "POST", body=b"order %d" % number,
                                  headers=fields if has_fields else ())
            results[str(status)] += 1
            record.line("request c-%d with %d fields more: %s", number,
                        FIELDS if has_fields else 0, status)
        for server in servers:
            server.crash()
    denied = sum(count for status, count in results.items() if status in OWN_4XX)
    most = 5 + REQUESTS / 500
    record.line("answers: %s; %d proper requests were denied, at most %.1f may be", dict(results),
                denied, most)
    if results["200"] < 0.5 * REQUESTS:
        return standin.NOT_RUN
    return standin.RULE_BROKEN if denied > most else standin.RULE_HELD


if __name__ == "__main__":
    standin.run_case(main)
