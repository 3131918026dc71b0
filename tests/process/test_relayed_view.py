"""Age of the granter's view of the store that it relays to the other instances."""

import re
import time
import unittest

from platform_standin import Platform, route, service

READ_S = 1.2        # the store answers a read of assignments, of which there is one each 1.5 s
RESTART_S = 0.25    # interval of restarts, each of which makes the granter write an assignment
DURATION_S = 9.0
ABANDONED = 4       # reads that the granter abandons at least
LISTED_S = 3.0      # after which no instance reads assignments because it has just started
KEYS = range(0, 65536, 4096)
TOPIC = "keyed.banyangap"


def metric(instance, name, label):
    return int(re.search(r"^%s\{%s\} (\d+)$" % (name, label), instance.metrics(),
                         re.MULTILINE).group(1))


def reads(instance):
    return metric(instance, "bgap_topic_reads_total", 'topic="%s"' % TOPIC)


def abandoned(instance):
    return metric(instance, "bgap_topic_reads_abandoned_total", 'topic="%s"' % TOPIC)


class RelayedViewTest(unittest.TestCase):

    def delay_reads(self, store):
        on_log_read = store.on_log_read

        def read_late(handler, query, body):
            if query["topic"] == TOPIC:
                time.sleep(READ_S)
            on_log_read(handler, query, body)
        store.on_log_read = read_late

    def test_frequent_appends_make_no_subscriber_read_the_store(self):
        """The granter abandons a read that its own record overtakes. Guards against a view that is
        relayed as old because several reads in a row ended like that: all other instances then
        read the assignments themselves."""
        with Platform() as platform:
            platform.add_servers("archive", 8, keyed=True)
            platform.configure([route("/a/", "archive")], [service("archive", keyed=True)])
            platform.start_instances(4)
            platform.wait(lambda: all(platform.holders(key) for key in KEYS), 10,
                          "a holder for every key")
            time.sleep(LISTED_S)
            granter = next(instance for instance in platform.instances if metric(
                instance, "bgap_granter_active", 'service="archive"'))
            others = [instance for instance in platform.instances if instance != granter]
            before = {instance.name: reads(instance) for instance in others}
            abandoned_before = abandoned(granter)
            self.delay_reads(platform.store)
            until = time.time() + DURATION_S
            while time.time() < until:
                for backend in platform.backends.values():
                    backend.restart()
                    time.sleep(RESTART_S)
            self.assertGreaterEqual(abandoned(granter) - abandoned_before, ABANDONED)
            self.assertEqual({instance.name: reads(instance) - before[instance.name]
                              for instance in others}, dict.fromkeys(before, 0))


if __name__ == "__main__":
    unittest.main()
