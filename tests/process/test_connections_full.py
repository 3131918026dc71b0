"""Callers that keep as many connections open as an instance holds."""

import http.client
import resource
import socket
import unittest

from platform_standin import HOST, Platform, route, service

LIMIT = 2000     # CONNECTIONS_MAX of edge.c
NEWCOMERS = 20
DESCRIPTORS = LIMIT + 200  # of this process and the instance


def connect(instance, data=b""):
    connection = socket.create_connection((instance.ip, instance.http), timeout=5)
    connection.sendall(data)
    return connection


class ConnectionsFullTest(unittest.TestCase):

    def setUp(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < DESCRIPTORS:
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
        self.connections = []
        self.addCleanup(self.close_connections)

    def close_connections(self):
        for connection in self.connections:
            connection.close()
        self.connections = []

    def fill(self, instance, data):
        self.connections = [connect(instance, data) for _ in range(LIMIT)]

    def start(self, platform):
        platform.add_servers("reads", 1)
        platform.configure([route("/reads/", "reads")], [service("reads")])
        platform.start_instances(1)
        platform.wait(lambda: platform.request(0, "GET", "/reads/1").status == 200, 5, "served")
        return platform.instances[0]

    def test_idle_connections_do_not_lock_out_callers(self):
        """Guards against an instance that says that it is ready and closes each new connection,
        because idle ones use up its limit."""
        with Platform() as platform:
            instance = self.start(platform)
            self.fill(instance, b"")
            for _ in range(NEWCOMERS):
                self.connections.append(connect(instance, (
                    "GET /reads/2 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: n\r\nDeadline-Ms: 2000\r\n"
                    "\r\n" % HOST).encode()))
                response = http.client.HTTPResponse(self.connections[-1])
                response.begin()
                self.assertEqual(response.status, 200)
            self.assertTrue(instance.is_ready())
            metrics = instance.metrics().splitlines()
            self.assertIn("bgap_frontend_connections_refused_total 0", metrics)
            platform.wait(lambda: "event=connections-full" in instance.log(), 3, "log line")

    def test_instance_without_room_is_not_ready(self):
        """Guards against an instance that says that it is ready while it refuses each new
        connection, as a request arrives on all others; the time limit of a head ends that."""
        with Platform() as platform:
            instance = self.start(platform)
            self.fill(instance, b"GET /reads/3 HTTP/1.1\r\n")
            platform.wait(lambda: not instance.is_ready(), 2, "not ready")
            newcomer = connect(instance)
            self.assertEqual(newcomer.recv(1), b"")
            newcomer.close()
            platform.wait(instance.is_ready, 10, "ready")
            self.assertEqual(platform.request(0, "GET", "/reads/4").status, 200)


if __name__ == "__main__":
    unittest.main()
