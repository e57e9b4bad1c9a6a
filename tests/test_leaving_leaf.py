"""Guards against new work for a leaving backend server 3 s after the first source reports it."""

import datetime
import itertools
import threading
import time

import pytest

from filbertreach.timing import SystemClock
from filbertreach_standins.faults import Balancer, LeafDrain, LoadGenerator, RunRecord, violations
from filbertreach_standins.faults.run import collect_executions
from filbertreach_standins.fleet import Fleet, FleetOptions

_SERVICE_COUNT = 10
_REPORT_LAG_SECONDS = 60.0
_service_numbers = itertools.count()


@pytest.fixture(scope="module")
def fleet():
    options = FleetOptions(hosts=2, services=_SERVICE_COUNT, leaves_per_service=3, connections=24)
    with Fleet(options=options) as running:
        yield running


def _report_by_health(fleet, leaf):
    # With "announce" the leaf still serves calls, so that calls after the bound are recorded.
    fleet.leaves_by_id[leaf].set_faults(draining="announce")


def _report_by_response_header(fleet, leaf):
    # The health endpoint never answers, so only response headers report the state.
    fleet.leaves_by_id[leaf].set_faults(draining="announce", health_answers="never")


def _report_by_response_header_while_health_fails(fleet, leaf):
    fleet.leaves_by_id[leaf].set_faults(draining="announce", health_answers="500")


def _report_by_host_list(fleet, leaf, **faults):
    fleet.leaves_by_id[leaf].set_faults(**faults)
    location = {"region": "minho", "data_centre": "minho-1"}
    listed = fleet.host_list.request("GET", "/v1/hosts")["hosts"]
    address = fleet.leaves_by_id[leaf].address
    leaving = {"host": leaf, "address": address, "kind": "backend", "state": "leaving", **location}
    fleet.host_list.request("PUT", "/admin/hosts", {"hosts": [*listed, leaving]})


def _report_by_host_list_while_health_lags(fleet, leaf):
    _report_by_host_list(fleet, leaf, report_lag_seconds=_REPORT_LAG_SECONDS, draining="announce")


def _report_by_host_list_while_health_reports_starting(fleet, leaf):
    _report_by_host_list(fleet, leaf, health_says="starting")


def _report_by_document(fleet, leaf, **faults):
    fleet.leaves_by_id[leaf].set_faults(**faults)
    now = datetime.datetime.now(datetime.UTC).replace(microsecond=0)
    text = fleet.document + (
        f"[change drain-{leaf}]\nkind = drain_leaf\nsubject = {leaf}\n"
        f"starts = {now - datetime.timedelta(seconds=5):%Y-%m-%dT%H:%M:%SZ}\n"
        f"ends = {now + datetime.timedelta(hours=1):%Y-%m-%dT%H:%M:%SZ}\n"
    )
    path = fleet.folder / "drain.ini"
    path.write_text(text, encoding="utf-8")
    fleet.ctl("apply", str(path), "--reason", "drain")
    fleet.document = text


def _report_by_document_while_host_list_lags(fleet, leaf):
    fleet.host_list.set_faults(lag_seconds=_REPORT_LAG_SECONDS)
    _report_by_document(fleet, leaf, report_lag_seconds=_REPORT_LAG_SECONDS)


_CASES = [
    (_report_by_health, "health", 6.0),
    (_report_by_response_header, "response", 13.0),
    (_report_by_response_header_while_health_fails, "response", 13.0),
    (_report_by_host_list, "host_list", 6.0),
    (_report_by_host_list_while_health_lags, "host_list", 6.0),
    (_report_by_host_list_while_health_reports_starting, "host_list", 6.0),
    (_report_by_document, "document", 6.0),
    (_report_by_document_while_host_list_lags, "document", 6.0),
]


def _first_report_at(record: RunRecord, leaf: str, source: str, leaving_at: float) -> float:
    """Returns when the first source reported that a leaf is leaving.

    If only responses report it, nobody can know before the leaf has been called once more. The
    start of that call is taken, which is before its response.
    """
    if source != "response":
        return leaving_at
    calls = [run.started_at for run in record.executions if run.leaf == leaf]
    return min((at for at in calls if at >= leaving_at), default=leaving_at)


def test_a_new_owner_knows_the_leaving_leaves(fleet):
    """Guards against a new owner that calls a leaf which only its predecessor knows is leaving."""
    for control in fleet.leaves_by_id.values():
        control.reset()
    record, clock = RunRecord(), SystemClock()
    leaf = f"fleet-{_SERVICE_COUNT - 1}-b"
    load = LoadGenerator(
        balancer=Balancer(entries=fleet.entries),
        record=record,
        body=fleet.query_body("", deadline_ms=1500),
        shards=[leaf.rsplit("-", 1)[0]],
        seed=time.monotonic_ns(),
        callers=3,
    )
    with load.running():
        time.sleep(1.0)
        _report_by_response_header(fleet, leaf)
        leaving_at = clock.now()
        time.sleep(4.0)
        # Kills each process in turn, so that the owner is among them and becomes owner again.
        for dispatcher in fleet.dispatchers:
            dispatcher.kill()
            time.sleep(4.0)
            dispatcher.start()
            dispatcher.wait_ready()
            time.sleep(4.0)
        until = clock.now()
    collect_executions(fleet, record)
    reported_at = _first_report_at(record, leaf, "response", leaving_at)
    record.leaf_drains = [LeafDrain(leaf, "response", reported_at, until)]
    assert any(run.leaf == leaf for run in record.executions)
    assert [text for text in violations(record) if leaf in text] == []


@pytest.mark.parametrize(
    "names",
    [
        # The cases of a group run concurrently, each on a service of its own.
        (
            "_report_by_health",
            "_report_by_response_header",
            "_report_by_response_header_while_health_fails",
            "_report_by_host_list",
            "_report_by_host_list_while_health_reports_starting",
            "_report_by_host_list_while_health_lags",
        ),
        ("_report_by_document", "_report_by_document_while_host_list_lags"),
    ],
)
def test_a_leaving_leaf_gets_no_new_work(fleet, names):
    cases = [case for case in _CASES if case[0].__name__ in names]
    for control in fleet.leaves_by_id.values():
        control.reset()
    fleet.host_list.reset()
    fleet.set_host_list([f"host-{number}" for number in range(fleet.options.hosts)])
    record, clock = RunRecord(), SystemClock()
    # Each case has a service of its own, so that no case affects another.
    leaves = [f"fleet-{next(_service_numbers)}-a" for _ in cases]
    load = LoadGenerator(
        balancer=Balancer(entries=fleet.entries),
        record=record,
        body=fleet.query_body("", deadline_ms=1500),
        shards=[leaf.rsplit("-", 1)[0] for leaf in leaves],
        seed=time.monotonic_ns(),
        callers=6,
    )
    reports = []
    with load.running():
        time.sleep(1.0)
        for leaf, (report_leaving, source, _) in zip(leaves, cases, strict=True):
            report_leaving(fleet, leaf)
            reports.append((leaf, source, clock.now()))
        threading.Event().wait(max(seconds for *_, seconds in cases))
        until = clock.now()
    collect_executions(fleet, record)
    record.leaf_drains = [
        LeafDrain(leaf, source, _first_report_at(record, leaf, source, at), until)
        for leaf, source, at in reports
    ]
    count_by_leaf = {leaf: 0 for leaf, *_ in reports}
    for run in record.executions:
        if run.leaf in count_by_leaf:
            count_by_leaf[run.leaf] += 1
    # Without work before the report, a lack of work afterwards would prove nothing.
    assert all(count_by_leaf.values()), count_by_leaf
    assert violations(record) == []
