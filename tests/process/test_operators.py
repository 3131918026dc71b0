"""Runs banyangapctl against a running deployment."""

import json
import os
import subprocess
import unittest

from deployment import BIN, OWNER_TOKEN, TOKEN, Deployment, uuid7


class OperatorsTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment()
        cls.deployment.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.deployment.__exit__(None, None, None)

    def ctl(self, *arguments, instance="entry-a", token=TOKEN):
        address = self.deployment.instance_info[instance]["operators"]
        return subprocess.run(
            [os.path.join(BIN, "banyangapctl"), "--address", address, "--token", token,
             "--output", "json", *arguments], capture_output=True, text=True, timeout=60,
            check=False)

    def write(self, name, text):
        path = os.path.join(self.deployment.folder.name, name)
        with open(path, "w") as file:
            file.write(text)
        return path

    def test_change_is_published_and_followed(self):
        """Guards against a change reported before it is in force on all instances."""
        path = self.write("good.yaml", self.deployment.documents(deadline_ms=3210))
        result = self.ctl("apply", "--based-on", str(self.deployment.version), path)
        self.assertEqual(result.returncode, 0, result.stderr)
        got = json.loads(self.ctl("get", "--owner", "acme", instance="entry-c").stdout)
        self.assertIn("3210", got["documents"])
        again = self.ctl("apply", "--based-on", str(self.deployment.version), path)
        self.assertEqual(again.returncode, 3, again.stderr)
        self.deployment.version = got["version"]

    def test_changed_and_removed_services(self):
        """Guards against an accepted change of a service that never takes effect."""
        with Deployment(archive=0) as deployment:
            documents = deployment.documents()
            changed = documents.replace('"repeat": "never"', '"repeat": "idempotent"')
            self.assertEqual(deployment.apply(changed).status, 202)
            for instance in deployment.instance_info:
                deployment.wait(lambda: deployment.request(
                    instance, "POST", "/acme/register/x", b"").status == 200, 12,
                    "writes without a key")
            kept = "\n---\n".join(document for document in documents.split("\n---\n")
                                  if '"reads"' not in document)
            self.assertEqual(deployment.apply(kept).status, 202)
            for instance in deployment.instance_info:
                deployment.wait(lambda: deployment.request(
                    instance, "GET", "/acme/reads/x").status == 404, 12, "removal of the service")
                deployment.wait(lambda: deployment.request(
                    instance, "POST", "/acme/register/x", b"").outcome == "not-run", 12,
                    "refusal of writes without a key")
                deployment.wait(lambda: deployment.request(
                    instance, "POST", "/acme/register/x", b"",
                    {"Idempotency-Key": uuid7()}).status == 200, 12, "writes with a key")

    def test_findings_are_reported_together(self):
        """Guards against a refusal that reports only the first finding, or a partial change."""
        text = self.deployment.documents().replace('"repeat": "never"', '"repeat": "sometimes"')
        text = text.replace('"slots": 4', '"slotz": 4')
        path = self.write("bad.yaml", text)
        result = self.ctl("check", path)
        self.assertEqual(result.returncode, 1)
        report = result.stdout + result.stderr
        self.assertIn("sometimes", report)
        self.assertIn("slotz", report)
        before = self.deployment.version
        applied = self.ctl("apply", "--based-on", str(before), path)
        self.assertEqual(applied.returncode, 1)
        self.assertEqual(json.loads(self.ctl("get", "--owner", "acme").stdout)["version"], before)

    def test_explain_dump_and_faults(self):
        """Guards against missing data in the output of explain, dump and faults."""
        explained = json.loads(self.ctl("explain", "acme/archive/key-1").stdout)
        self.assertEqual(explained["state"], "held")
        self.assertEqual(explained["holder"], self.deployment.holder("key-1", "entry-c")["holder"])
        dump = json.loads(self.ctl("dump").stdout)
        self.assertIn("region_cape", dump["cells"])
        self.assertEqual(len([m for m in dump["members"] if m["role"] == "entry"]), 3)
        faults = self.ctl("faults", "--owner", "acme", token=OWNER_TOKEN)
        self.assertEqual(faults.returncode, 0, faults.stderr)

    def test_unreachable_instance(self):
        result = subprocess.run(
            [os.path.join(BIN, "banyangapctl"), "--address", "127.0.0.1:9", "--token", TOKEN,
             "dump"], capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual(result.returncode, 4)


if __name__ == "__main__":
    unittest.main()
