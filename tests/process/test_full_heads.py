"""Requests and answers with as many header fields as a head may have."""

import http.client
import time
import unittest

from platform_standin import DEADLINE_S, HOST, Platform, route, service

FIELDS_MAX = 128  # BGAP_HEADERS_RECEIVED_MAX

http.client._MAXHEADERS = 2 * FIELDS_MAX  # of the callers and servers here


class FullHeadsTest(unittest.TestCase):

    def start(self, platform):
        platform.add_servers("reads", 1)
        platform.configure([route("/reads/", "reads")], [service("reads")])
        platform.start_instances(1)
        platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200, 5, "served")
        backend, = platform.backends.values()
        return backend

    def test_answer_with_the_most_fields_is_passed_on(self):
        """Guards against a caller that gets no answer, because there is no room for the field with
        the length of the body; one field more is no proper answer, and is refused at once."""
        with Platform() as platform:
            backend = self.start(platform)
            for count, status in ((FIELDS_MAX - 1, 200), (FIELDS_MAX, 200), (FIELDS_MAX + 1, 502)):
                backend.field_count = count
                sent_at = time.time()
                response = platform.request(0, "GET", "/reads/1")
                self.assertEqual(response.status, status, count)
                self.assertLess(time.time() - sent_at, DEADLINE_S / 2, count)
                if status == 200:
                    self.assertEqual(response.body, backend.name.encode() + b":", count)

    def test_request_with_the_most_fields_is_passed_on(self):
        """Guards against servers that count as unreachable, because there is no room for the fields
        that the instance adds to a request."""
        with Platform() as platform:
            self.start(platform)
            instance = platform.instances[0]
            for count, status in ((FIELDS_MAX, 200), (FIELDS_MAX + 1, 431), (FIELDS_MAX, 200)):
                connection = http.client.HTTPConnection(instance.ip, instance.http, timeout=5)
                connection.putrequest("GET", "/reads/1", skip_host=True, skip_accept_encoding=True)
                headers = [("Host", HOST), ("Attempt-Id", "f-%d" % count), ("Deadline-Ms", "2000")]
                headers += [("X-%d" % number, "y") for number in range(count - len(headers))]
                for name, value in headers:
                    connection.putheader(name, value)
                connection.endheaders()
                self.assertEqual(connection.getresponse().status, status, count)
                connection.close()


if __name__ == "__main__":
    unittest.main()
