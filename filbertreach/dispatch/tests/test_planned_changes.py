"""Guards against a planned change that slows a client that was not called beforehand."""

import datetime
import random

import pytest

from filbertreach.changes import OVERRIDE
from filbertreach.dispatch._planned_changes import PlannedChanges, drained_leaf_ids
from filbertreach.dispatch._slowdown_meter import MAX_CLIENTS, MIN_BASELINE_SAMPLES, SlowdownMeter
from filbertreach.document import digest_change, parse_document
from filbertreach.schema import CallBoardCopy, CallCopy

_NOW = datetime.datetime(2026, 12, 5, 2, 30, tzinfo=datetime.UTC)
_TEXT = """\
[environment]
name = shop
[policy]
slowdown_bound = {bound}
[pool counter]
slots = 2
connections = 12
connect_cost_ms = 6
[service fleet]
pool = counter
leaves =
    fleet-a 127.0.0.1:9001 minho/minho-1
    fleet-b 127.0.0.2:9002 minho/minho-1
    fleet-c 127.0.0.3:9002 minho/minho-1
[map one]
shards =
    fleet fleet
[snapshot 41]
map = one
state = serving
[rank booking]
priority = 0
target_ms = 90
[application counter]
shards = *
ranks = booking
[change drain]
kind = drain_leaf
subject = fleet-a
starts = 2026-12-05T02:00:00Z
ends = 2026-12-05T03:00:00Z
"""


def _environment(*clients, bound=1.001, generation=1):
    text = _TEXT.format(bound=bound) + "".join(
        f"[client {name}]\ncontact = 1\n" for name in clients
    )
    return parse_document(text=text, source="shop", generation=generation).unwrap()


def _calls(environment, *clients, digest=None):
    digest = digest or digest_change(environment.changes_by_name["drain"])
    return CallBoardCopy(
        revision=1,
        records=[
            CallCopy(environment="shop", change="drain", client=c, by="x", at="y", digest=digest)
            for c in clients
        ],
    )


def _leaves(planned, environment, now=_NOW):
    return sorted(drained_leaf_ids(environment, planned.active(environment, now)))


@pytest.mark.parametrize(
    ("calls", "leaves", "reason"),
    [
        (None, [], "call records are not known"),
        ([], [], "not called: azul, lar"),
        (["azul"], [], "not called: lar"),
        (["azul", "lar"], ["fleet-a"], ""),
        ([OVERRIDE], ["fleet-a"], ""),
    ],
)
def test_a_change_starts_only_after_the_calls(calls, leaves, reason):
    environment = _environment("azul", "lar")
    planned = PlannedChanges()
    planned.update_call_records(None if calls is None else _calls(environment, *calls))
    assert _leaves(planned, environment) == leaves
    assert reason in "".join(held["reason"] for held in planned.held())
    assert bool(planned.held()) == bool(reason)


def test_a_change_is_held_again_when_a_client_joins_and_ends_at_its_end():
    environment = _environment("azul")
    planned = PlannedChanges()
    planned.update_call_records(_calls(environment, "azul"))
    assert _leaves(planned, environment) == ["fleet-a"]
    larger = _environment("azul", "lar", generation=2)
    assert _leaves(planned, larger) == []
    assert planned.held()[0]["reason"] == "not called: lar"
    planned.update_call_records(_calls(environment, "azul", "lar"))
    assert _leaves(planned, larger) == ["fleet-a"]
    assert _leaves(planned, larger, _NOW + datetime.timedelta(hours=1)) == []
    assert planned.held() == []


@pytest.mark.parametrize(("called", "leaves"), [([], []), (["azul"], ["fleet-a"])])
def test_a_measured_slowdown_holds_until_the_client_is_called(called, leaves):
    environment = _environment("azul", bound=10.0)
    planned = PlannedChanges()
    planned.update_call_records(_calls(environment))
    assert _leaves(planned, environment) == ["fleet-a"]
    change = environment.changes_by_name["drain"]
    planned.record_slowed_clients(environment, change, ["azul", "not-in-the-document"])
    assert _leaves(planned, environment) == []
    assert planned.held()[0]["reason"].endswith("not called: azul")
    planned.update_call_records(_calls(environment, *called))
    assert _leaves(planned, environment) == leaves


@pytest.mark.parametrize(
    ("factor", "normal", "slowed"),
    [(1.0, 500, []), (1.2, 500, []), (1.6, 500, ["azul"]), (1.6, MIN_BASELINE_SAMPLES - 1, [])],
)
def test_a_slowdown_beyond_the_bound_is_noticed_and_a_smaller_one_is_not(factor, normal, slowed):
    generator = random.Random(1)
    meter = SlowdownMeter()
    for _ in range(normal):
        meter.record("azul", generator.uniform(0.01, 0.02))
    meter.start_counting(1.25)
    for _ in range(1000):
        meter.record("azul", factor * generator.uniform(0.01, 0.02))
    assert meter.slowed_clients() == slowed
    meter.stop_counting()
    assert meter.slowed_clients() == []


def test_the_measured_clients_are_bounded():
    meter = SlowdownMeter()
    for phase in (lambda: None, lambda: meter.start_counting(1.25)):
        phase()
        for number in range(3 * MAX_CLIENTS):
            meter.record(f"client-{number}", 0.01)
    assert len(meter._baseline_by_client) == len(meter._counter_by_client) == MAX_CLIENTS
