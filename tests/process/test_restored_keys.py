"""A store that comes back from a copy: the holders of keys."""

import time
import unittest

from platform_standin import Platform, route, service

KEYS = range(0, 65536, 2048)


class RestoredKeysTest(unittest.TestCase):

    def serve_keys(self, platform, duration_s):
        """Requests all keys by turns. Returns when the last one failed, since the start."""
        began = time.time()
        failed = 0
        while time.time() - began < duration_s:
            for number, key in enumerate(KEYS):
                if platform.request(number % 3, "GET", "/a/1", key=key).status != 200:
                    failed = time.time() - began
        return failed

    def test_keys_have_one_holder_after_a_restore(self):
        """Guards against a granter that takes the record of the copy for the assignment in force:
        keys that moved after the copy was made then have two holders."""
        with Platform() as platform:
            platform.add_servers("archive", 2, keyed=True)
            platform.configure([route("/a/", "archive")], [service("archive", keyed=True)])
            platform.start_instances(3)
            platform.wait(lambda: all(platform.holders(key) for key in KEYS), 10,
                          "a holder for every key")
            self.serve_keys(platform, 2)
            # Keys move to servers that join; the store then forgets that they have.
            joined = time.time()
            platform.add_servers("archive", 2, keyed=True)
            platform.wait(lambda: len({platform.holders(key)[0] for key in KEYS
                                       if platform.holders(key)}) == 4, 10, "four holders")
            platform.store.restore(age_s=time.time() - joined + 0.5, down_s=1.5)
            last_failure = self.serve_keys(platform, 6)
            self.assertEqual(platform.overlapping_leases(), [])
            self.assertLess(last_failure, 2)


if __name__ == "__main__":
    unittest.main()
