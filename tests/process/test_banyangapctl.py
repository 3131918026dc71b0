#!/usr/bin/env python3
"""Runs banyangapctl against a stand-in that speaks docs/operator-protocol.md."""

import http.server
import json
import os
import pathlib
import subprocess
import threading
import unittest
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "build-san" / "bin" / "banyangapctl"
EXAMPLE = "examples/styrelsen"
REFUSED, USAGE, STALE, UNREACHABLE = 1, 2, 3, 4


class Instance(http.server.BaseHTTPRequestHandler):
    """Sends the responses that the test put into `responses`, in order per path."""

    responses = {}
    requests = []

    def reply(self, body=None):
        path = urllib.parse.urlsplit(self.path)
        Instance.requests.append(
            (self.command, self.path, self.headers["Authorization"], body))
        queue = Instance.responses[self.command + " " + path.path]
        status, response = queue.pop(0) if len(queue) > 1 else queue[0]
        data = json.dumps(response).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        self.reply()

    def do_POST(self):
        size = int(self.headers["Content-Length"])
        self.reply(json.loads(self.rfile.read(size)))

    def log_message(self, *_):
        pass


class Test(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Instance)
        threading.Thread(target=cls.server.serve_forever, daemon=True).start()

    @classmethod
    def tearDownClass(cls):
        cls.server.shutdown()
        cls.server.server_close()

    def setUp(self):
        Instance.requests = []

    def run_ctl(self, status, *args, responses=None, address=None):
        Instance.responses = responses or {}
        env = dict(os.environ, BANYANGAP_TOKEN="secret", USER="jens",
                   BANYANGAP_ADDRESS=address or
                   "127.0.0.1:%d" % self.server.server_port)
        done = subprocess.run([PROGRAM, *args], cwd=ROOT, env=env, timeout=60,
                              capture_output=True, text=True)
        self.assertEqual(done.returncode, status, done.stderr + done.stdout)
        return done.stdout, done.stderr

    def test_check_needs_no_instance(self):
        """Guards against a check that accepts a file with findings."""
        out, _ = self.run_ctl(0, "check", EXAMPLE, "examples/zafu")
        self.assertIn("no findings", out)
        golden = "packages/resource/tests/golden/"
        _, err = self.run_ctl(REFUSED, "check", golden + "syntax.yaml")
        self.assertIn("syntax.yaml:7:6: not valid YAML", err)
        out, _ = self.run_ctl(REFUSED, "check", "--output", "json",
                              golden + "fields.yaml")
        report = (ROOT / golden / "fields.txt").read_text()
        self.assertEqual(len(json.loads(out)["findings"]),
                         report.count("    remedy: "))

    def test_usage_errors(self):
        """Guards against usage errors with the exit status of a refusal."""
        self.run_ctl(USAGE)
        self.run_ctl(USAGE, "aply", EXAMPLE)
        self.run_ctl(USAGE, "apply", EXAMPLE)
        self.run_ctl(USAGE, "apply", "--based-on", "x", EXAMPLE)
        self.run_ctl(USAGE, "check", "missing.yaml")
        self.run_ctl(USAGE, "explain", "styrelsen/mosearkiv")
        self.run_ctl(USAGE, "get", "styrelsen", address="localhost:1")
        out, _ = self.run_ctl(0, "--help")
        self.assertIn("banyangapctl apply --based-on 17", out)

    def test_unreachable_instance(self):
        """Guards against an undelivered change that is reported as refused."""
        _, err = self.run_ctl(UNREACHABLE, "apply", "--based-on", "0", EXAMPLE,
                              address="127.0.0.1:1")
        self.assertIn("safe", err)
        self.run_ctl(UNREACHABLE, "get", "styrelsen",
                     responses={"GET /config": [(503, {"error": "log down"})]})

    def test_apply_waits_for_the_verdict(self):
        """Guards against a change reported before it is in force."""
        event = {"offset": 18, "state": "accepted", "operator": "jens",
                 "findings": [], "in_force": 1, "instances": 3}
        other = dict(event, offset=19, state="stale", changed="")
        responses = {
            "POST /config": [(202, {"offset": 18})],
            "GET /config/watch": [
                (200, {"end": 18, "events": []}),
                (200, {"end": 20, "events": [event, other]}),
                (200, {"end": 20, "events": [dict(event, in_force=3), other]}),
            ]}
        out, _ = self.run_ctl(0, "apply", "--based-on", "17", EXAMPLE,
                              responses=responses)
        self.assertEqual(out, "published at offset 18\n"
                         "18 accepted by jens, in force on 1 of 3\n"
                         "18 accepted by jens, in force on 3 of 3\n")
        method, _, token, body = Instance.requests[0]
        self.assertEqual((method, token), ("POST", "Bearer secret"))
        self.assertEqual((body["owner"], body["based_on"], body["operator"]),
                         ("styrelsen", 17, "jens"))
        self.assertEqual(body["documents"].count("kind: service\n"), 3)

    def test_apply_loses_or_is_refused(self):
        """Guards against a stale change whose operator is not told what changed,
        and against findings at positions outside the operator's files."""
        stale = {"newest": 21, "changed": "version 21 by karen:\n~ x: 1 -> 2\n"}
        _, err = self.run_ctl(STALE, "apply", "--based-on", "17", EXAMPLE,
                              responses={"POST /config": [(409, stale)]})
        self.assertIn("version 21 by karen:\n~ x: 1 -> 2\n", err)
        # Line 4 of the second file, which follows "---" and the first one.
        lines = len((ROOT / EXAMPLE / "groeftregister.yaml").read_text()
                    .splitlines())
        finding = {"file": "documents", "line": 1 + lines + 1 + 4, "column": 7,
                   "path": "service/x", "message": "m", "remedy": "r"}
        refused = {"POST /config": [(422, {"findings": [finding]})]}
        _, err = self.run_ctl(REFUSED, "apply", "--based-on", "17", EXAMPLE,
                              responses=refused)
        self.assertIn(EXAMPLE + "/mosearkiv.yaml:4:7: service/x: m", err)
        state = {"POST /config": [(202, {"offset": 18})],
                 "GET /config/watch": [(200, {"end": 19, "events": [
                     {"offset": 18, "state": "stale", "operator": "jens",
                      "changed": stale["changed"]}]})]}
        out, _ = self.run_ctl(STALE, "apply", "--based-on", "17", EXAMPLE,
                              responses=state)
        self.assertIn("18 stale by jens\naccepted instead:\nversion 21", out)

    def test_dry_run_and_diff_publish_nothing(self):
        """Guards against a dry run that publishes a change."""
        text = "\n---\n".join(p.read_text() for p in
                              sorted((ROOT / EXAMPLE).glob("*.yaml")))
        old = text.replace("deadline_ms: 2000", "deadline_ms: 1500")
        responses = {"GET /config": [(200, {"version": 17, "documents": old})]}
        change = "~ service/vandstand.deadline_ms: 1500 -> 2000\n"
        out, _ = self.run_ctl(0, "diff", EXAMPLE, responses=responses)
        self.assertEqual(out, change)
        out, _ = self.run_ctl(0, "apply", "--dry-run", "--based-on", "17",
                              EXAMPLE, responses=responses)
        self.assertEqual(out, change)
        self.run_ctl(STALE, "apply", "--dry-run", "--based-on", "16", EXAMPLE,
                     responses=responses)
        self.assertEqual({r[0] for r in Instance.requests}, {"GET"})
        out, _ = self.run_ctl(0, "get", "styrelsen", responses=responses)
        self.assertEqual(out, old)

    def test_watch_resumes(self):
        """Guards against events lost or shown twice after a resume."""
        event = {"offset": 30, "state": "refused", "operator": "karen",
                 "findings": [{"file": "documents", "line": 2, "column": 1,
                               "path": "p", "message": "m", "remedy": "r"}]}
        responses = {"GET /config/watch": [
            (410, {"first": 25}), (200, {"end": 31, "events": [event]}),
            (503, {"error": "stopping"})]}
        out, err = self.run_ctl(UNREACHABLE, "watch", "--from", "7",
                                "styrelsen", responses=responses)
        self.assertEqual(out.splitlines()[:2],
                         ["30 refused by karen", "documents:2:1: p: m"])
        self.assertIn("resume with --from 31", err)
        offsets = [urllib.parse.parse_qs(urllib.parse.urlsplit(r[1]).query)
                   ["from"][0] for r in Instance.requests]
        self.assertEqual(offsets, ["7", "25", "31"])

    def test_state_commands(self):
        """Guards against keys that are truncated or not URL-encoded."""
        out, _ = self.run_ctl(
            0, "explain", "styrelsen/mosearkiv/a b/c&d", responses={
                "GET /explain": [(200, {"holder": "m-1",
                                        "server": {"zone": "z"}})]})
        self.assertEqual(out, "holder: m-1\nserver.zone: z\n")
        query = urllib.parse.urlsplit(Instance.requests[0][1]).query
        self.assertEqual(urllib.parse.parse_qs(query), {
            "service": ["styrelsen/mosearkiv"], "key": ["a b/c&d"]})
        faults = {"faults": [{"service": "s", "server": "m-1", "kind": "lost",
                              "count": 2, "message": "no response"}]}
        out, _ = self.run_ctl(0, "faults", "styrelsen", responses={
            "GET /faults": [(200, faults)]})
        self.assertEqual(out, "s m-1 lost: no response (2 times)\n")
        out, _ = self.run_ctl(0, "version", "--output", "json", responses={
            "GET /status": [(200, {"instance": "e", "version": "1"})]})
        self.assertEqual(json.loads(out)["instance"]["instance"], "e")
        self.run_ctl(REFUSED, "dump", responses={
            "GET /dump": [(401, {"error": "wrong token"})]})


if __name__ == "__main__":
    unittest.main()
