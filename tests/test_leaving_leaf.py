"""Guards leaving backend servers: no new work 3 s after the first source reports it."""

import datetime
import itertools
import threading
import time

import pytest

from filbertreach.timing import SystemClock
from filbertreach_standins.faults import Balancer, LeafDrain, LoadGenerator, RunRecord, violations
from filbertreach_standins.faults.run import collect_executions
from filbertreach_standins.fleet import Fleet, FleetOptions

_SERVICES = 10
_LAG_SECONDS = 60.0
_numbers = itertools.count()


@pytest.fixture(scope="module")
def fleet():
    options = FleetOptions(hosts=2, services=_SERVICES, leaves_per_service=3, connections=24)
    with Fleet(options=options) as running:
        yield running


def _health(fleet, leaf):
    # The response headers show "ready" as long as the leaf is not asked to announce.
    fleet.leaves_by_id[leaf].set_faults(draining="announce")


def _response_header(fleet, leaf):
    # The health endpoint never answers, so only responses tell.
    fleet.leaves_by_id[leaf].set_faults(draining="announce", health_answers="never")


def _response_header_health_500(fleet, leaf):
    fleet.leaves_by_id[leaf].set_faults(draining="announce", health_answers="500")


def _host_list(fleet, leaf, **faults):
    fleet.leaves_by_id[leaf].set_faults(**faults)
    place = {"region": "minho", "data_centre": "minho-1"}
    listed = fleet.host_list.request("GET", "/v1/hosts")["hosts"]
    address = fleet.leaves_by_id[leaf].address
    leaving = {"host": leaf, "address": address, "kind": "backend", "state": "leaving", **place}
    fleet.host_list.request("PUT", "/admin/hosts", {"hosts": [*listed, leaving]})


def _host_list_while_health_lags(fleet, leaf):
    _host_list(fleet, leaf, report_lag_seconds=_LAG_SECONDS, draining="announce")


def _host_list_while_health_says_starting(fleet, leaf):
    _host_list(fleet, leaf, health_says="starting")


def _document(fleet, leaf, **faults):
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


def _document_while_host_list_lags(fleet, leaf):
    fleet.host_list.set_faults(lag_seconds=_LAG_SECONDS)
    _document(fleet, leaf, report_lag_seconds=_LAG_SECONDS)


_CASES = [
    (_health, "health", 6.0),
    (_response_header, "response", 13.0),
    (_response_header_health_500, "response", 13.0),
    (_host_list, "host_list", 6.0),
    (_host_list_while_health_lags, "host_list", 6.0),
    (_host_list_while_health_says_starting, "host_list", 6.0),
    (_document, "document", 6.0),
    (_document_while_host_list_lags, "document", 6.0),
]


def test_a_new_owner_knows_which_leaves_said_that_they_are_leaving(fleet):
    """A new owner sent a call to a leaf that had told only its predecessor."""
    for control in fleet.leaves_by_id.values():
        control.reset()
    record, clock = RunRecord(), SystemClock()
    leaf = f"fleet-{_SERVICES - 1}-b"
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
        _response_header(fleet, leaf)
        reported_at = clock.now()
        time.sleep(4.0)
        # Each process in turn, so that the owner is among them and is owner again afterwards.
        for dispatcher in fleet.dispatchers:
            dispatcher.kill()
            time.sleep(4.0)
            dispatcher.start()
            dispatcher.wait_ready()
            time.sleep(4.0)
        until = clock.now()
    collect_executions(fleet, record)
    record.leaf_drains = [LeafDrain(leaf, "response", reported_at, until)]
    assert any(run.leaf == leaf for run in record.executions)
    assert [text for text in violations(record) if leaf in text] == []


@pytest.mark.parametrize(
    "names",
    [
        # The cases of a group run at once, each on a service of its own.
        (
            "_health",
            "_response_header",
            "_response_header_health_500",
            "_host_list",
            "_host_list_while_health_says_starting",
            "_host_list_while_health_lags",
        ),
        ("_document", "_document_while_host_list_lags"),
    ],
)
def test_a_leaving_leaf_gets_no_new_work(fleet, names):
    cases = [case for case in _CASES if case[0].__name__ in names]
    for control in fleet.leaves_by_id.values():
        control.reset()
    fleet.host_list.reset()
    fleet.set_host_list([f"host-{number}" for number in range(fleet.options.hosts)])
    record, clock = RunRecord(), SystemClock()
    # Each case has a service of its own, so that none is affected by the case before it.
    leaves = [f"fleet-{next(_numbers)}-a" for _ in cases]
    load = LoadGenerator(
        balancer=Balancer(entries=fleet.entries),
        record=record,
        body=fleet.query_body("", deadline_ms=1500),
        shards=[leaf.rsplit("-", 1)[0] for leaf in leaves],
        seed=time.monotonic_ns(),
        callers=6,
    )
    leaving = []
    with load.running():
        time.sleep(1.0)
        for leaf, (start, source, _) in zip(leaves, cases, strict=True):
            start(fleet, leaf)
            leaving.append((leaf, source, clock.now()))
        threading.Event().wait(max(seconds for *_, seconds in cases))
        until = clock.now()
    collect_executions(fleet, record)
    record.leaf_drains = [LeafDrain(leaf, source, at, until) for leaf, source, at in leaving]
    counts = {leaf: 0 for leaf, *_ in leaving}
    for run in record.executions:
        if run.leaf in counts:
            counts[run.leaf] += 1
    # The leaf had work before, so that a lack of work afterwards means something.
    assert all(counts.values()), counts
    assert violations(record) == []
