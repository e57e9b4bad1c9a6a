"""Tests snapshot choice: it must avoid versions that a needed service lacks, and must not flap."""

import pytest

from filbertreach.document import parse_document
from filbertreach.entry._snapshots import SnapshotChooser

TEXT = """\
[environment]
name = shop
[pool p]
slots = 1
connections = 2
[service fleet]
pool = p
leaves = a 127.0.0.1:1 minho/minho-1
[service orders]
pool = p
leaves = b 127.0.0.1:2 minho/minho-1
[map one]
shards =
    f fleet
    o orders
[snapshot 41]
map = one
state = {old}
[snapshot 42]
map = one
state = {new}
[rank booking]
priority = 0
target_ms = 90
[application counter]
shards = *
ranks = booking
"""


def environment(old="serving", new="serving"):
    return parse_document(text=TEXT.format(old=old, new=new)).unwrap()


def load(service, versions):
    return {
        "environment": "shop",
        "service": service,
        "queue_ms_by_rank": {},
        "throughput_per_s": 1.0,
        "versions": versions,
    }


def chosen(chooser, now, needed=("fleet", "orders"), document=None):
    snapshot = chooser.choose(
        environment=document or environment(), services_of=lambda snapshot: needed, now=now
    )
    return snapshot.version if snapshot else None


@pytest.mark.parametrize(
    ("states", "reports", "now", "expected"),
    [
        (("serving", "serving"), {}, 0.0, 42),
        (("serving", "loading"), {}, 0.0, 41),
        (("retired", "loading"), {}, 0.0, None),
        (("serving", "serving"), {"fleet": [41, 42], "orders": [41]}, 0.0, 41),
        (("serving", "serving"), {"fleet": [41, 42], "orders": []}, 0.0, 42),
        (("serving", "serving"), {"orders": [41]}, 5.0, 41),
        (("serving", "serving"), {"orders": [41]}, 8.1, 42),
        (("serving", "serving"), {"fleet": [42], "orders": [41]}, 0.0, 42),
        (("serving", "serving"), {"fleet": [41], "orders": [40]}, 0.0, 41),
        (("serving", "serving"), {"elsewhere": [41]}, 0.0, 42),
    ],
)
def test_choice(states, reports, now, expected):
    chooser = SnapshotChooser()
    for service, versions in reports.items():
        chooser.on_load(load(service, versions), 0.0)
    assert chosen(chooser, now, document=environment(*states)) == expected


def test_service_that_is_not_needed_does_not_count():
    chooser = SnapshotChooser()
    chooser.on_load(load("orders", [41]), 0.0)
    assert chosen(chooser, 0.0, needed=("fleet",)) == 42


def test_refused_version_is_avoided_for_the_hold_time():
    chooser = SnapshotChooser()
    chooser.on_version_unavailable("shop", "orders", 42, 0.0)
    assert chosen(chooser, 2.9) == 41
    assert chosen(chooser, 3.1) == 42


def test_alternating_reports_cause_one_change():
    chooser = SnapshotChooser()
    choices = []
    for step in range(100):
        chooser.on_load(load("orders", [41] if step % 2 else [41, 42]), step * 0.1)
        choices.append(chosen(chooser, step * 0.1))
    assert choices == [42] + [41] * 99


def test_newly_reported_version_is_used_after_the_hold_time():
    chooser = SnapshotChooser()
    chooser.on_load(load("orders", [41]), 0.0)
    assert chosen(chooser, 0.0) == 41
    chooser.on_load(load("orders", [41, 42]), 0.5)
    assert chosen(chooser, 1.0) == 41
    assert chosen(chooser, 3.2) == 42
