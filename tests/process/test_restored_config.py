"""A store that comes back from a copy: configurations that are confirmed after it."""

import time
import unittest

from platform_standin import Platform, route, service


class RestoredConfigTest(unittest.TestCase):

    def test_configuration_after_a_restore_is_in_force_in_time(self):
        """Guards against a configuration that an instance misses because its record has an offset
        that the instance had read before the store was restored from a copy."""
        with Platform() as platform:
            reads = [service("reads")]
            platform.add_servers("reads", 2)
            platform.configure([route("/r/", "reads")], reads)
            platform.start_instances(3)
            time.sleep(1.5)
            rules = [route("/r/", "reads")]
            copied = time.time()
            for name in ("/a/", "/b/"):
                rules.append(route(name, "reads"))
                platform.configure(rules, reads)
            platform.wait(lambda: all(platform.request(number, "GET", "/b/1").status == 200
                                      for number in range(3)), 2, "route before the restore")
            platform.store.restore(age_s=time.time() - copied, down_s=1)
            # The operator writes the lost configuration again, and a further one.
            platform.configure(rules, reads, version=platform.version)
            rules.append(route("/c/", "reads"))
            platform.configure(rules, reads)
            platform.wait(lambda: all(platform.request(number, "GET", "/c/1").status == 200
                                      for number in range(3)), 2, "route after the restore")
            for number in range(3):
                self.assertEqual(platform.request(number, "GET", "/b/1").status, 200)


if __name__ == "__main__":
    unittest.main()
