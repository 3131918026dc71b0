"""Servers that can take only a few requests per second for a while after their start."""

import time
import unittest

from platform_standin import Platform, route, service

CALLERS = 12
INSTANCES = 4
COLD_S = 8
PER_S = 4
BOUND = 1.5 * PER_S + 8  # requests in a second, from all instances together

# An outage of the store, and the time after which no instance relies on what it has read before.
OUTAGE_S = 10
OLD_VIEW_S = 3.5

# Time from the first answers until instances hand out permits: they have to be listed for a while.
SETTLED_S = 6


def most_in_a_second(arrivals, since, until):
    times = sorted(at for at in arrivals if since <= at < until)
    return max((sum(first <= at < first + 1 for at in times) for first in times), default=0)


class ColdServersTest(unittest.TestCase):

    def lines(self, platform, event, **fields):
        """Lines of an event in the logs of all instances, with these fields."""
        wanted = ["event=" + event + " "] + [f"{name}={value} " for name, value in fields.items()]
        return [line for instance in platform.instances for line in instance.log().splitlines()
                if all(field in line for field in wanted)]

    def start_reads(self, platform):
        """Starts three servers without keys, and instances that may hand out permits."""
        platform.add_servers("reads", 3)
        platform.configure([route("/r/", "reads")],
                           [service("reads", cold_per_s=PER_S, cold_s=COLD_S)])
        platform.start_instances(INSTANCES)
        platform.wait(lambda: platform.request(0, "GET", "/r/1").status == 200, 5, "served")
        time.sleep(SETTLED_S)

    def test_others_take_the_requests(self):
        """Guards against a server that gets more than it tolerates as soon as it has started,
        against requests that are refused meanwhile, and against a limit that does not end."""
        with Platform() as platform:
            self.start_reads(platform)
            cold = next(iter(platform.backends.values()))
            cold.restart(cold_s=COLD_S)
            time.sleep(1.2)
            since = time.time()
            responses = platform.call_all_instances("/r/1", COLD_S - 2, CALLERS)
            until = time.time()
            self.assertEqual({response.status for response in responses}, {200})
            self.assertLessEqual(most_in_a_second(cold.arrivals, since, until), BOUND)
            self.assertGreater(sum(since <= at < until for at in cold.arrivals),
                               BOUND / 2 * (until - since) * 0.8)
            self.assertGreaterEqual(
                len(self.lines(platform, "server-cold", server=cold.name, change="begun")),
                INSTANCES)
            platform.wait(
                lambda: len(self.lines(platform, "server-cold", server=cold.name,
                                       change="ended")) >= INSTANCES, 5, "warm everywhere")
            since = time.time()
            platform.call_all_instances("/r/1", 1, CALLERS)
            self.assertGreater(sum(at >= since for at in cold.arrivals), 2 * BOUND)

    def test_no_instance_can_hear(self):
        """Guards against a server that turns cold without a restart while the store is away, and
        gets more than it tolerates from instances that rely on what they knew, and against
        instances that serve nobody then."""
        with Platform() as platform:
            self.start_reads(platform)
            cold = next(iter(platform.backends.values()))
            platform.store.inject_fault("silent", OUTAGE_S)
            time.sleep(OLD_VIEW_S)
            before = platform.call_all_instances("/r/1", 1, CALLERS)
            since = time.time()
            cold.warm_at = since + COLD_S
            responses = platform.call_all_instances("/r/1", 3, CALLERS)
            until = time.time()
            self.assertEqual({response.status for response in before + responses}, {200})
            self.assertLessEqual(most_in_a_second(cold.arrivals, since, until), BOUND)
            self.assertGreaterEqual(len(self.lines(platform, "server-check", server=cold.name,
                                                   result="cold")), INSTANCES)

    def test_holder_of_keys(self):
        """Guards against requests for keys that a cold server gets beyond what it tolerates, since
        they can go nowhere else; and against ones that are sent on new connections without asking
        whether their permits are still valid."""
        with Platform() as platform:
            platform.add_servers("archive", 3, keyed=True)
            platform.configure([route("/a/", "archive")],
                               [service("archive", keyed=True, cold_per_s=PER_S, cold_s=COLD_S)])
            platform.start_instances(INSTANCES)
            keys = range(0, 65536, 4096)
            platform.wait(lambda: all(platform.holders(key) for key in keys), 10,
                          "a holder for every key")
            time.sleep(SETTLED_S)
            cold = platform.backends[platform.holders(0)[0]]
            cold.restart(cold_s=COLD_S)
            cold.end_connections()
            time.sleep(1.2)
            since = time.time()
            platform.call_all_instances("/a/1", COLD_S - 2, CALLERS, keys)
            until = time.time()
            executed = [at for at, _, _, _ in cold.executed]
            self.assertLessEqual(most_in_a_second(executed, since, until), BOUND)
            self.assertGreater(sum(since <= at < until for at in executed), 0)
            self.assertTrue(self.lines(platform, "cold-attempt", server=cold.name, state="opened"))


if __name__ == "__main__":
    unittest.main()
