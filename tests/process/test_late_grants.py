"""Grants that a server reads long after they were sent."""

import os
import sys
import time
import unittest

from platform_standin import Backend, Platform, route, service

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
from link import FaultProxy  # noqa: E402

KEYS = range(0, 65536, 4096)


class LateGrantsTest(unittest.TestCase):

    def test_unread_connection_brings_no_second_holder(self):
        """An overloaded server resets its connections and accepts new ones without reading them;
        the network is cut before the granter's reset of such a connection arrives. Guards against
        a grant that waits on it and is read when the keys have another holder."""
        with Platform() as platform:
            proxies = []

            def make_proxy(address):
                proxies.append(FaultProxy(address))
                return proxies[-1]
            platform.backends["archive-0"] = Backend(platform.store, "archive-0", "archive", "z1",
                                                     True, make_proxy)
            platform.backends["archive-1"] = Backend(platform.store, "archive-1", "archive", "z2",
                                                     True)
            platform.configure([route("/a/", "archive")], [service("archive", keyed=True)])
            platform.start_instances(2)
            platform.wait(lambda: all(platform.holders(key) for key in KEYS), 10,
                          "a holder for every key")
            proxies[0].mode = "silent"
            proxies[0].reset_all()
            platform.wait(lambda: all(platform.holders(key) == ["archive-1"] for key in KEYS), 10,
                          "keys at the other server")
            proxies[0].mode = "pass"
            read_until = time.time() + 0.5
            while time.time() < read_until and not platform.overlapping_leases():
                time.sleep(0.02)
            self.assertEqual(platform.overlapping_leases(), [])
            proxies[0].stop()


if __name__ == "__main__":
    unittest.main()
