"""Loss, pause and drain of backend servers."""

import unittest

from deployment import Deployment, http_request

SERVED_AGAIN_S = 2.0  # target: a key is served again within 2 s after a loss
DRAINED_S = 5.0  # target: "a few seconds" until a draining server gets no new requests


class ServerLossTest(unittest.TestCase):

    def check_moves(self, deployment, key, old_holder):
        elapsed_s = deployment.wait(lambda: deployment.key_served("entry-b", key), 10, "key served")
        new_holder = deployment.holder(key, "entry-b")["holder"]
        self.assertNotEqual(new_holder, old_holder)
        print("served again after %.2f s" % elapsed_s)
        self.assertLess(elapsed_s, SERVED_AGAIN_S)

    def test_killed_server(self):
        """Guards against keys that stay assigned to a killed server."""
        with Deployment(reads=0, register=0) as deployment:
            old = deployment.holder("key-1")
            deployment.servers[old["holder"].split(".")[1]].kill()
            self.check_moves(deployment, "key-1", old["holder"])

    def test_frozen_server_does_not_act_on_its_old_lease(self):
        """Guards against two holders of a key when a paused server resumes."""
        with Deployment(reads=0, register=0) as deployment:
            old = deployment.holder("key-1")
            server = deployment.servers[old["holder"].split(".")[1]]
            server.pause()
            self.check_moves(deployment, "key-1", old["holder"])
            server.resume()
            response = http_request(old["server"]["address"], "GET", "/key-1/x", None,
                                    {"Bgap-Token": str(old["token"])})
            self.assertEqual(response.status, 409)
            self.assertEqual(response.headers["Bgap-Refused"], "fenced")
            self.assertTrue(deployment.key_served("entry-a", "key-1"))

    def test_restarted_server_holds_nothing(self):
        """Guards against a restarted server that accepts the grants of its previous incarnation."""
        with Deployment(reads=0, register=0) as deployment:
            old = deployment.holder("key-1")
            name = old["holder"].split(".")[1]
            deployment.servers[name].kill()
            deployment.start_server(name)
            deployment.wait(lambda: http_request(
                old["server"]["address"], "GET", "/key-1/x", None,
                {"Bgap-Token": str(old["token"])}).status == 409, 10, "restarted server")
            deployment.wait(lambda: deployment.key_served("entry-c", "key-1"), 10, "key served")
            self.assertGreater(deployment.holder("key-1", "entry-c")["token"], old["token"])

    def test_drained_server_gets_nothing_new(self):
        """Guards against new requests to a server that the operators drain."""
        with Deployment(archive=0, register=0) as deployment:
            deployment.server_info["reads-1"]["draining"] = True
            self.assertEqual(deployment.apply(deployment.documents()).status, 202)

            def served_by():
                return {deployment.request(instance, "GET", "/acme/reads/x").server
                        for instance in deployment.instance_info for _ in range(8)}
            deployment.wait(lambda: "reads-1" not in served_by(), DRAINED_S, "drain")
            for _ in range(5):
                self.assertNotIn("reads-1", served_by())

    def test_idempotent_reads_survive_a_killed_server(self):
        """Guards against reads that fail although other servers can serve them."""
        with Deployment(archive=0, register=0) as deployment:
            deployment.servers["reads-2"].kill()
            for number in range(60):
                response = deployment.request("entry-b", "GET", "/acme/reads/%d" % number)
                self.assertEqual(response.status, 200, response.body)


if __name__ == "__main__":
    unittest.main()
