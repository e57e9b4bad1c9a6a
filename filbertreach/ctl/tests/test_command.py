"""Tests of the commands as processes, against the key-value stand-in.

Guards against a command whose report or exit code contradicts what was accepted.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.parse
import urllib.request

import pytest

from filbertreach_standins._process import StandInProcess

_TIMEOUT_SECONDS = 60
_LEASE_SECONDS = 3
_KEYS = {"ana": "a" * 32, "rui": "b" * 32}
_TEXT = """\
[environment]
name = shop-trial
[pool counter]
slots = 2
connections = 12
[service fleet]
pool = counter
leaves =
    fleet-a 127.0.0.1:9001 minho/minho-1
    fleet-b 127.0.0.1:9002 ribatejo/ribatejo-1
[map one]
shards =
    fleet-0 fleet
[snapshot 41]
map = one
state = serving
[rank booking]
priority = 0
target_ms = 90
[application counter]
shards = fleet-*
ranks = booking
[client hotel-azul]
contact = +351 555
"""
_CHANGE = """\
[change drain-a]
kind = drain_leaf
subject = fleet-a
starts = 2126-12-05T02:00:00Z
ends = 2126-12-05T03:00:00Z
"""
_OTHER_TEXT = _TEXT.replace("target_ms = 90", "target_ms = 80")


def _restore_default_sigint():
    signal.signal(signal.SIGINT, signal.SIG_DFL)


class _Harness:
    """Key-value stand-in, settings of two operators, and a thread that simulates the agents."""

    def __init__(self, folder, control):
        self.folder = folder
        self.control = control
        self.confirming = True
        self.installing = True
        self.before_last_confirmation = lambda: None
        self.stopped = threading.Event()
        for name, key in _KEYS.items():
            self.write(f"{name}.key", key + "\n", 0o600)
        self.write("operators", "".join(f"{n} {k}\n" for n, k in _KEYS.items()), 0o600)
        for name in _KEYS:
            self.write(f"{name}.ini", self.settings(name))

    def settings(self, name, confirm_seconds=30):
        return (
            f"[ctl]\noperator = {name}\nkey_file = {self.folder}/{name}.key\n"
            f"keys_file = {self.folder}/operators\nlease_seconds = {_LEASE_SECONDS}\n"
            f"confirm_seconds = {confirm_seconds}\npoll_seconds = 0.05\n"
            f"[platform]\nkey_value_url = {self.control.base_url}\ntimeout_seconds = 0.5\n"
        )

    def write(self, name, text, mode=0o644):
        path = self.folder / name
        path.write_text(text)
        path.chmod(mode)
        return str(path)

    def start(self, operator, *arguments):
        settings = str(self.folder / f"{operator}.ini")
        command = [sys.executable, "-m", "filbertreach.ctl", *arguments, "--json"]
        return subprocess.Popen(
            command,
            env={**os.environ, "FILBERTREACH_CTL_SETTINGS": settings},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            # A shell starts background jobs with SIGINT ignored, and children inherit that.
            preexec_fn=_restore_default_sigint,
        )

    def end(self, process):
        output, errors = process.communicate(timeout=_TIMEOUT_SECONDS)
        assert "Traceback" not in errors, errors
        assert not any(key in output + errors for key in _KEYS.values())
        return process.returncode, json.loads(output)

    def run(self, operator, *arguments):
        return self.end(self.start(operator, *arguments))

    def apply(self, operator, text, *arguments):
        path = self.write(f"{operator}-{hash(text)}.ini", text)
        return self.run(operator, "apply", path, "--reason", f"by {operator}", *arguments)

    def call(self, method, path, body=None):
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(self.control.base_url + path, data, method=method)
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        with opener.open(request, timeout=10) as answer:
            return json.load(answer)

    def read(self, key):
        with contextlib.suppress(urllib.error.HTTPError):
            return json.loads(self.call("GET", f"/v1/keys/{_quoted(key)}")["value"])
        return None

    def put(self, key, value):
        self.call("PUT", f"/v1/keys/{_quoted(key)}", {"value": json.dumps(value)})

    def generations(self, environment="shop-trial"):
        prefix = f"filbertreach/environments/{environment}/history/"
        items = self.call("GET", f"/v1/keys?prefix={_quoted(prefix)}")["items"]
        return sorted(int(item["key"].rpartition("/")[2]) for item in items)

    def wait_for(self, condition):
        deadline = time.monotonic() + _TIMEOUT_SECONDS
        while not (found := condition()):
            assert time.monotonic() < deadline, "the condition did not come true"
            time.sleep(0.01)
        return found

    def run_simulated_agents(self):
        records = {
            name: {"host": name, "state": "ready", "prepared": {}, "in_force": {}}
            for name in ("host-1", "host-2")
        }
        while not self.stopped.is_set():
            with contextlib.suppress(OSError):
                for record in records.values():
                    self._update_record(record)
                    if record["host"] == "host-2" and record["prepared"]:
                        self.before_last_confirmation()
                    self.put(f"filbertreach/hosts/{record['host']}", record)
            time.sleep(0.02)

    def _update_record(self, record):
        for environment in ("shop-trial", "shop-production"):
            key = f"filbertreach/environments/{environment}"
            proposed, accepted = self.read(f"{key}/proposed"), self.read(f"{key}/accepted")
            if proposed and self.confirming:
                record["prepared"][environment] = proposed["digest"]
            if accepted and self.installing:
                now = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
                held = record["in_force"].get(environment, {"generation": 0})
                if held["generation"] < accepted["generation"]:
                    generation = accepted["generation"]
                    record["in_force"][environment] = {"generation": generation, "since": now}


def _quoted(key):
    return urllib.parse.quote(key, safe="/")


@pytest.fixture
def harness(tmp_path):
    with StandInProcess(module="key_value") as service:
        service.control.set_faults(writes_per_second=5000, reads_per_second=20000)
        harness = _Harness(tmp_path, service.control)
        agents = threading.Thread(target=harness.run_simulated_agents)
        agents.start()
        try:
            yield harness
        finally:
            harness.stopped.set()
            agents.join()


def test_from_draft_to_production_and_back(harness):
    code, result = harness.run("ana", "promote", "shop-production", "--from", "shop-trial")
    assert (code, result["outcome"]) == (1, "refused")
    code, result = harness.apply("ana", _TEXT + _CHANGE)
    assert (code, result["generation"], result["outcome"]) == (0, 1, "accepted")
    promote = ("promote", "shop-production", "--from", "shop-trial")
    code, result = harness.run("ana", *promote)
    assert (code, result["uncalled"]) == (1, {"drain-a": ["hotel-azul"]})
    draft = ("--file", harness.write("draft.ini", _TEXT + _CHANGE))
    code, result = harness.run("rui", "calls", "shop-production", "drain-a", *draft)
    assert (code, result["to_call"]) == (0, ["hotel-azul"])
    record = ("record-call", "shop-production", "drain-a")
    assert harness.run("rui", *record, "hotel-verde", "--by", "rui", *draft)[0] == 1
    code, result = harness.run("rui", *record, "hotel-azul", "--by", "rui", *draft)
    assert (code, result["to_call"]) == (0, [])
    code, result = harness.run("ana", *promote)
    assert (code, result["generation"], result["hosts"]) == (0, 1, 2)

    assert harness.apply("ana", _OTHER_TEXT)[1]["generation"] == 2
    code, result = harness.run("ana", "diff", "shop-production", "shop-trial")
    assert {"removed", "changed"} == {item["what"] for item in result["differences"]}
    assert harness.run("ana", *promote)[1]["generation"] == 2
    code, result = harness.run("rui", "roll-forward", "shop-production", "--to", "1")
    assert (code, result["generation"]) == (0, 3)
    assert harness.run("rui", "show", "shop-production")[1]["text"].endswith(
        _TEXT.split("\n", 2)[2] + _CHANGE
    )
    code, result = harness.run("rui", "history", "shop-production")
    assert [item["generation"] for item in result["generations"]] == [3, 2, 1]
    code, result = harness.run("rui", "status", "shop-production")
    status = result["environments"]["shop-production"]
    assert (status["accepted"]["generation"], status["behind"]) == (3, [])


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (_TEXT.replace("shop-trial", "shop-production\ntrial = shop-trial"), "did not run in"),
        (_TEXT.replace("shop-trial", "shop-trial\ntrial = other"), "this can't be changed"),
        (_TEXT.replace("pool = counter", "pool = bar"), "problems to correct"),
        (_TEXT + _CHANGE.replace("fleet-a", "fleet-z"), "can't be carried out as written"),
        (_TEXT + "# " + "x" * (999_990 - len(_TEXT)), "the platform holds 1,000,000; shorten"),
    ],
)
def test_refused_text_changes_nothing(harness, text, expected):
    harness.apply("ana", _OTHER_TEXT)
    code, result = harness.apply("ana", text)
    assert (code, result["outcome"]) == (1, "refused")
    assert expected in result["error"]
    assert harness.generations() == [1]


def test_override_lets_a_change_through_and_stays_in_history(harness):
    harness.apply("ana", _TEXT + _CHANGE)
    draft = ("--file", harness.write("draft.ini", _TEXT + _CHANGE))
    for _ in range(2):
        code, _ = harness.run(
            "rui", "override", "shop-production", "drain-a", "--reason", "no answer", *draft
        )
        assert code == 0
    assert harness.run("ana", "promote", "shop-production", "--from", "shop-trial")[0] == 0
    (entry,) = harness.run("ana", "history", "shop-production")[1]["overrides"]
    assert (entry["by"], entry["reason"], entry["uncalled"]) == ("rui", "no answer", ["hotel-azul"])


def test_second_operator_sees_who_was_first_and_what_differs(harness):
    harness.confirming = False
    first = harness.start("ana", "apply", harness.write("a.ini", _TEXT), "--reason", "spring")
    harness.wait_for(lambda: harness.read("filbertreach/environments/shop-trial/proposed"))
    code, result = harness.apply("rui", _OTHER_TEXT)
    assert code == 3
    assert "ana was first" in result["error"]
    assert "  changed rank booking: target_ms 90.0 -> 80.0" in result["details"]
    harness.confirming = True
    assert harness.end(first)[0] == 0
    code, result = harness.apply("rui", _OTHER_TEXT, "--base", "0")
    assert (code, result["accepted"]["operator"]) == (3, "ana")
    assert harness.generations() == [1]


def test_exactly_one_of_two_concurrent_operators_is_accepted(harness):
    for generation in range(5):
        processes = [
            harness.start(name, "apply", path, "--reason", "race", "--base", str(generation))
            for name, path in (
                ("ana", harness.write("a.ini", _TEXT + f"# {generation}")),
                ("rui", harness.write("b.ini", _OTHER_TEXT + f"# {generation}")),
            )
        ]
        results = [harness.end(process) for process in processes]
        assert sorted(code for code, _ in results) == [0, 3], results
        assert harness.generations() == list(range(1, generation + 2))


_ACCEPTED = "filbertreach/environments/shop-trial/accepted"


def _lose_responses_from_swap(harness):
    """Drops the response to every write, starting just before the compare-and-swap."""

    def lose():
        harness.control.set_faults(lose_answers=True)
        harness.before_last_confirmation = lambda: None

    harness.before_last_confirmation = lose


def test_lost_response_to_the_swap_is_resolved(harness):
    _lose_responses_from_swap(harness)
    process = harness.start("ana", "apply", harness.write("a.ini", _TEXT), "--reason", "x")
    harness.wait_for(lambda: harness.read(_ACCEPTED))
    harness.control.set_faults(lose_answers=None)
    code, result = harness.end(process)
    assert (code, result["generation"], result["repeated"]) == (0, 1, False)
    assert harness.generations() == [1]


@pytest.mark.parametrize("lost", range(1, 6))
def test_lost_responses_never_apply_a_document_twice(harness, lost):
    harness.control.set_faults(lose_answers={"next": lost})
    codes = [harness.apply("ana", _TEXT)[0] for _ in range(2)]
    assert codes[-1] == 0
    assert harness.generations() == [1]


def test_outage_during_the_swap_is_unknown_and_repeating_does_not_apply_twice(harness):
    _lose_responses_from_swap(harness)
    process = harness.start("ana", "apply", harness.write("a.ini", _TEXT), "--reason", "x")
    harness.wait_for(lambda: harness.read(_ACCEPTED))
    harness.control.set_faults(outage=True, lose_answers=None)
    code, result = harness.end(process)
    assert (code, result["outcome"]) == (5, "unknown")
    harness.control.set_faults(outage=None)
    code, result = harness.run("ana", "apply", str(harness.folder / "a.ini"), "--reason", "x")
    assert (code, result["generation"], result["repeated"]) == (0, 1, True)


def test_repeating_a_command_that_was_replaced_since_is_a_conflict(harness):
    harness.apply("ana", _TEXT)
    harness.apply("rui", _OTHER_TEXT)
    code, result = harness.apply("ana", _TEXT)
    assert (code, result["took_effect_as"], result["accepted"]["operator"]) == (3, 1, "rui")
    assert harness.apply("ana", _TEXT, "--base", "2")[1]["generation"] == 3


@pytest.mark.parametrize("outage", [True, "hang", "reset"])
def test_outage_is_reported_and_nothing_is_accepted(harness, outage):
    harness.control.set_faults(outage=outage)
    for command in (
        ("status", "shop-trial"),
        ("apply", harness.write("a.ini", _TEXT), "--reason", "x"),
    ):
        code, result = harness.run("ana", *command)
        assert code == 4
        assert "does not answer" in result["error"]
        assert command[0] == "status" or "by this run" in result["error"]
    harness.control.set_faults(outage=None)
    assert harness.generations() == []


def test_hosts_that_do_not_confirm_are_named(harness):
    harness.confirming = False
    harness.write("ana.ini", harness.settings("ana", confirm_seconds=1))
    code, result = harness.apply("ana", _TEXT)
    assert (code, result["not_confirmed"]) == (1, ["host-1", "host-2"])
    assert harness.read("filbertreach/environments/shop-trial/proposed") is None


def test_live_host_without_agent_blocks_acceptance_until_it_is_excluded(harness):
    place = {"region": "minho", "data_centre": "minho-1", "state": "live"}
    hosts = [
        {"host": name, "address": "127.0.0.1", "kind": kind, **place}
        for name, kind in (("host-1", "entry"), ("host-9", "entry"), ("leaf-1", "backend"))
    ]
    with StandInProcess(module="host_list") as host_list:
        host_list.control.request("PUT", "/admin/hosts", {"hosts": hosts})
        settings = harness.settings("ana", confirm_seconds=1)
        harness.write("ana.ini", f"{settings}host_list_url = {host_list.control.base_url}\n")
        code, result = harness.apply("ana", _TEXT)
        assert (code, result["not_confirmed"]) == (1, ["host-9"])
        assert "--without HOST" in result["error"]
        assert harness.apply("ana", _TEXT, "--without", "host-9")[0] == 0
        status = harness.run("ana", "status", "shop-trial")[1]["environments"]["shop-trial"]
        assert (status["behind"], status["not_heard_from"]) == (["host-9"], ["host-9"])


def test_hosts_without_the_accepted_generation_are_named(harness):
    harness.installing = False
    code, result = harness.apply("ana", _TEXT, "--wait", "0.3")
    assert (code, result["outcome"], result["behind"]) == (6, "accepted", ["host-1", "host-2"])
    code, result = harness.run("ana", "promote", "shop-production", "--from", "shop-trial")
    assert (code, result["behind"]) == (1, ["host-1", "host-2"])


def test_abandoned_proposal_ends_with_its_lease(harness):
    harness.confirming = False
    process = harness.start("ana", "apply", harness.write("a.ini", _TEXT), "--reason", "x")
    key = "filbertreach/environments/shop-trial/proposed"
    harness.wait_for(lambda: harness.read(key))
    process.kill()
    process.communicate()
    harness.wait_for(lambda: harness.read(key) is None)
    harness.confirming = True
    assert harness.apply("rui", _OTHER_TEXT)[0] == 0


def test_command_that_is_paused_beyond_its_lease_accepts_nothing(harness):
    harness.confirming = False
    process = harness.start("ana", "apply", harness.write("a.ini", _TEXT), "--reason", "x")
    key = "filbertreach/environments/shop-trial/proposed"
    harness.wait_for(lambda: harness.read(key))
    process.send_signal(signal.SIGSTOP)
    harness.confirming = True
    harness.wait_for(lambda: harness.read(key) is None)
    process.send_signal(signal.SIGCONT)
    code, result = harness.end(process)
    assert (code, result["outcome"]) == (1, "refused")
    assert harness.read("filbertreach/environments/shop-trial/accepted") is None


def test_interrupted_command_withdraws_its_proposal(harness):
    harness.confirming = False
    process = harness.start("ana", "apply", harness.write("a.ini", _TEXT), "--reason", "x")
    key = "filbertreach/environments/shop-trial/proposed"
    harness.wait_for(lambda: harness.read(key))
    process.send_signal(signal.SIGINT)
    _, errors = process.communicate(timeout=_TIMEOUT_SECONDS)
    assert process.returncode == 5
    assert "interrupted: 'filbertreach-ctl status' shows" in errors
    assert harness.read(key) is None
    assert harness.read("filbertreach/environments/shop-trial/accepted") is None


def test_command_interrupted_before_the_response_to_its_proposal_withdraws_it(harness):
    # Guards against a proposal that remains until its lease expires: on a busy machine, the
    # interrupt arrived after the write took effect and before its response.
    harness.confirming = False
    harness.wait_for(lambda: harness.control.counters()["keys"] == 2)
    harness.control.set_faults(answer_delay_ms=400.0)
    process = harness.start("ana", "apply", harness.write("a.ini", _TEXT), "--reason", "x")
    key = "filbertreach/environments/shop-trial/proposed"
    harness.wait_for(lambda: harness.control.counters()["keys"] == 3)
    process.send_signal(signal.SIGINT)
    harness.control.set_faults(answer_delay_ms=None)
    process.communicate(timeout=_TIMEOUT_SECONDS)
    assert process.returncode == 5
    assert harness.read(key) is None


@pytest.mark.parametrize(
    ("name", "text", "mode", "expected"),
    [
        ("ana.key", _KEYS["ana"], 0o640, "allows access by others; run: chmod 600"),
        (
            "operators",
            "ana " + _KEYS["ana"],
            0o604,
            "allows access by others; run: chmod 600",
        ),
        ("ana.key", "c" * 32, 0o600, "is not in"),
        ("operators", "rui " + _KEYS["rui"], 0o600, "is not in"),
        ("ana.key", "short", 0o600, "at least 32 characters"),
    ],
)
def test_operator_without_a_valid_key_is_refused(harness, name, text, mode, expected):
    (harness.folder / name).unlink()
    harness.write(name, text, mode)
    code, result = harness.apply("ana", _TEXT)
    assert code == 1
    assert expected in result["error"]
    assert harness.generations() == []


def test_text_that_nobody_signed_is_not_promoted(harness):
    harness.apply("ana", _TEXT)
    key = "filbertreach/environments/shop-trial/accepted"
    harness.put(key, {**harness.read(key), "reason": "forged"})
    code, result = harness.run("ana", "promote", "shop-production", "--from", "shop-trial")
    assert code == 1
    assert "is not signed by ana" in result["error"]


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["validate", "/nowhere.ini"], "can't be read"),
        (["status", "--settings", "/nowhere.ini"], "can't be read"),
        (["diff", "shop@x", "shop"], "whole number"),
    ],
)
def test_usage_errors(harness, arguments, expected):
    code, result = harness.run("ana", *arguments)
    assert code == 2
    assert expected in result["error"]


def test_help_and_validation_need_neither_settings_nor_platform(tmp_path):
    environment = {k: v for k, v in os.environ.items() if k != "FILBERTREACH_CTL_SETTINGS"}
    (tmp_path / "draft.ini").write_text(_TEXT)

    def run(*arguments):
        command = [sys.executable, "-m", "filbertreach.ctl", *arguments]
        return subprocess.run(command, env=environment, capture_output=True, text=True, check=False)

    assert "exit codes:" in run("--help").stdout
    for verb in ("apply", "promote", "roll-forward", "override", "record-call", "calls"):
        assert run(verb, "--help").returncode == 0
        assert run(verb).returncode == 2
    assert run("--version").stdout.startswith("filbertreach-ctl ")
    found = run("validate", str(tmp_path / "draft.ini"))
    assert (found.returncode, found.stderr) == (0, "")
    assert "1 services, 2 leaves" in found.stdout
