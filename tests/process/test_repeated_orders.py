"""Servers that send an answer to an order once more, late, on a connection that is in use again."""

import time
import unittest

from platform_standin import Platform, route, service

KEYS = range(0, 65536, 1024)
WATCH_S = 6  # longer than a lease


class RepeatedOrdersTest(unittest.TestCase):

    def start(self, platform, servers):
        platform.add_servers("archive", servers, keyed=True)
        platform.configure([route("/archive/", "archive")], [service("archive", keyed=True)])
        platform.start_instances(2)
        platform.wait(lambda: all(platform.request(0, "GET", "/archive/1", key=key).status == 200
                                  for key in KEYS), 15, "keys served")
        return list(platform.backends.values())

    def watch(self, platform):
        until = time.time() + WATCH_S
        statuses = []
        while time.time() < until:
            statuses += [platform.request(0, "GET", "/archive/1", key=key).status for key in KEYS]
        self.assertEqual(platform.overlapping_leases(), [])
        return statuses

    def check(self, echoes_ids, statuses):
        with Platform() as platform:
            faulty = self.start(platform, 4)[0]
            for backend in platform.backends.values():
                backend.echoes_order_ids = echoes_ids
            ranges = set(faulty.tokens)
            faulty.repeats_orders = statuses
            # The granter opens a new connection, and checks it.
            faulty.closes_orders = 1
            self.watch(platform)
            self.assertEqual(faulty.closes_orders, 0)
            self.assertEqual(set(faulty.tokens), ranges, "keys moved")

    def test_repeated_answers_move_no_keys(self):
        """Guards against an earlier answer that is taken for that of the next order: a refusal of
        the check of a connection would end the leases of a server that lives, and an acceptance
        would count as a renewal or a release that the server has not got."""
        self.check(True, (200, 421))

    def test_repeated_check_without_ids_moves_no_keys(self):
        """Guards against the same of a server that does not return the ids of orders: its refusal
        of a call for another server does not show that another server has its address."""
        self.check(False, (421,))

    def test_repeated_release_without_ids_moves_no_keys_early(self):
        """Guards against an earlier answer to a release that is taken for that to the next one,
        while work on its keys goes on."""
        with Platform() as platform:
            faulty, = self.start(platform, 1)
            faulty.echoes_order_ids = False
            faulty.release_s = 0.5
            faulty.repeats_orders = (200,)
            for _ in range(3):
                platform.add_servers("archive", 1, keyed=True)
                self.watch(platform)
            self.assertLess(sum(faulty.holds_key(key) for key in KEYS), len(KEYS) / 2)


if __name__ == "__main__":
    unittest.main()
