"""Servers that state a rate limit for all instances together."""

import concurrent.futures
import time
import unittest

from platform_standin import DEADLINE_S, OBJECTIVE_S, Platform, route, service

WINDOW_S = 4
CALLERS = 12
INSTANCES = 4

LAPSE_S = 2.5
LAPSE_CALLERS = 40


def most_in_a_window(arrivals, since):
    """Largest number of arrivals within WINDOW_S, of those after since."""
    times = sorted(at for at in arrivals if at >= since)
    return max((sum(first <= at < first + WINDOW_S for at in times) for first in times),
               default=0)


class RateLimitTest(unittest.TestCase):

    def check_responses(self, platform, responses):
        """Each response is true: what was refused did not run, and the outcome is unknown only if
        a server got the request too late to answer it within its objective."""
        ran_at = {request_id: at for backend in platform.backends.values()
                  for at, request_id, _, _ in backend.executed}
        for response in responses:
            if response.status == 503:
                self.assertNotIn(response.request_id, ran_at)
            elif response.status == 504:
                self.assertIn(response.request_id, ran_at)
                self.assertGreater(ran_at[response.request_id] - response.sent_at,
                                   DEADLINE_S - OBJECTIVE_S)
            else:
                self.assertEqual(response.status, 200)

    def check_limit(self, backend, since):
        """The sum over all instances stays within one and a half times the limit and 5 requests,
        and most of the limit is used, as there are more requests than it allows."""
        allowed = 1.5 * backend.rate_limit * WINDOW_S + 5
        self.assertLessEqual(most_in_a_window(backend.arrivals, since), allowed, backend.name)
        served = sum(at >= since for at in backend.arrivals)
        self.assertGreater(served, 0.7 * backend.rate_limit * (time.time() - since - 0.5),
                           backend.name)

    def start(self, platform):
        platform.add_servers("reads", 2)
        platform.configure([route("/r/", "reads")], [service("reads")])
        platform.start_instances(INSTANCES)
        platform.wait(lambda: platform.request(0, "GET", "/r/1").status == 200, 5, "served")
        return list(platform.backends.values())

    def test_instances_share_the_limit_of_a_server(self):
        """Guards against a limit that is ignored, or kept by each instance by itself, so that all
        of them together exceed it; and against one that outlives its end."""
        with Platform() as platform:
            limited = self.start(platform)
            for backend, limit in zip(limited, (5, 8)):
                backend.rate_limit = limit
            for number in range(INSTANCES):
                platform.request(number, "GET", "/r/1")
            time.sleep(0.5)
            since = time.time()
            self.check_responses(platform, platform.call_all_instances("/r/1", 7, CALLERS))
            for backend in limited:
                self.check_limit(backend, since)
            for backend in limited:
                backend.rate_limit = None
            platform.wait(lambda: all(platform.request(number, "GET", "/r/1").status == 200
                                      for number in range(INSTANCES)), 3, "served")
            since = time.time()
            self.assertIn(200, [response.status for response
                                in platform.call_all_instances("/r/1", 1, CALLERS)])
            self.assertGreater(sum(at >= since for backend in limited
                                   for at in backend.arrivals), 100)

    def test_limit_is_kept_over_a_lapse(self):
        """Guards against a server that has no limit when its registration has lapsed and it
        registers again, until its next answer: requests that wait are sent to it at once."""
        with Platform() as platform:
            limited = self.start(platform)
            for backend in limited:
                backend.rate_limit = 2
                backend.work_s = 0.3
            stated = time.time()
            platform.call_all_instances("/r/1", 1, INSTANCES)
            self.assertTrue(all(max(backend.arrivals) > stated for backend in limited))
            time.sleep(0.5)
            since = time.time()
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                calls = pool.submit(platform.call_all_instances, "/r/1", 3 + LAPSE_S + WINDOW_S,
                                    LAPSE_CALLERS)
                time.sleep(3)
                limited[0].lapse(LAPSE_S)
                returned = time.time()
                self.check_responses(platform, calls.result())
            allowed = 1.5 * 2 * WINDOW_S + 5
            for backend in limited:
                self.assertLessEqual(most_in_a_window(backend.arrivals, since), allowed,
                                     backend.name)
            served = sum(at >= returned for at in limited[0].arrivals)
            self.assertGreater(served, 0.7 * 2 * (time.time() - returned - 1.6))

    def test_limit_of_a_holder_of_keys(self):
        """Guards against requests for keys that reach their holder beyond its limit, because they
        can go nowhere else."""
        with Platform() as platform:
            platform.add_servers("archive", 2, keyed=True)
            platform.configure([route("/a/", "archive")], [service("archive", keyed=True)])
            platform.start_instances(INSTANCES)
            keys = range(0, 65536, 4096)
            platform.wait(lambda: all(platform.holders(key) for key in keys), 10,
                          "a holder for every key")
            limited = platform.backends[platform.holders(0)[0]]
            limited.rate_limit = 4
            for number in range(INSTANCES):
                platform.request(number, "GET", "/a/1", key=0)
            time.sleep(0.5)
            since = time.time()
            self.check_responses(platform, platform.call_all_instances("/a/1", 7, CALLERS, keys))
            allowed = 1.5 * limited.rate_limit * WINDOW_S + 5
            self.assertLessEqual(most_in_a_window(limited.arrivals, since), allowed)


if __name__ == "__main__":
    unittest.main()
