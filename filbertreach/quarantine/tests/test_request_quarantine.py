"""Which requests are put into quarantine when leaves end, without a network."""

import random

import pytest

from filbertreach.quarantine import QuarantineEvidence, RequestQuarantine, fingerprint

_POISON = b"p" * 16


def _key(number: int) -> bytes:
    return number.to_bytes(16, "big")


def _lose(quarantine: RequestQuarantine, key: bytes, leaf: str, now: float) -> None:
    """Sends a call that ends its leaf."""
    quarantine.on_request(now)
    quarantine.on_sent(key, now)
    quarantine.on_lost(key, (leaf, 1), attempts=1, now=now)


def _serve(quarantine: RequestQuarantine, requests: int, begin: float, end: float) -> None:
    for number in range(requests):
        now = begin + (end - begin) * number / requests
        quarantine.on_request(now)
        quarantine.on_sent(_key(number), now)
        quarantine.on_answered(_key(number), now)


def _quarantined(now: float = 10.0) -> RequestQuarantine:
    quarantine = RequestQuarantine(host="a")
    _serve(quarantine, 200, now - 9.0, now - 0.1)
    _lose(quarantine, _POISON, "x", now - 0.05)
    _lose(quarantine, _POISON, "y", now - 0.04)
    return quarantine


def test_a_fingerprint_is_of_the_content_and_of_nothing_else() -> None:
    # Guards against callers that get around the quarantine, and parts that run into each other.
    one = fingerprint(method="GET", target=b"/a", body=b"b", account="c")
    assert len(one) == 16
    assert one == fingerprint(method="GET", target=b"/a", body=b"b", account="c")
    assert one != fingerprint(method="GET", target=b"/a", body=b"", account="cb")
    assert one != fingerprint(method="GET", target=b"/ab", body=b"", account="c")


def test_one_loss_is_no_reason_to_refuse() -> None:
    # Guards against requests that are refused because one leaf ended by itself.
    quarantine = RequestQuarantine(host="a")
    _lose(quarantine, _POISON, "x", 1.0)
    assert quarantine.verdict(_POISON, 1.5).kind == "allow"


def test_a_second_leaf_leads_to_quarantine() -> None:
    # Guards against a request that ends a leaf each time that a caller repeats it.
    quarantine = _quarantined()
    verdict = quarantine.verdict(_POISON, 10.0)
    assert verdict.kind == "refuse" and 29.0 < verdict.retry_after_seconds < 31.0
    assert quarantine.count_quarantined() == 1
    assert quarantine.verdict(_key(1), 10.0).kind == "allow"


def test_copies_are_held_until_the_cause_is_known() -> None:
    # Guards against copies that end further leaves, and a quarantine that is decided too soon.
    quarantine = RequestQuarantine(host="a")
    _lose(quarantine, _POISON, "x", 1.0)
    _lose(quarantine, _POISON, "y", 1.0)
    assert quarantine.standing(_POISON, 1.01, trial=False) == "held"
    assert quarantine.verdict(_POISON, 1.01).kind == "refuse"
    assert quarantine.count_quarantined() == 0


def test_the_same_leaf_counts_once() -> None:
    # Guards against two calls to one leaf that count as two leaves.
    quarantine = RequestQuarantine(host="a")
    _lose(quarantine, _POISON, "x", 1.0)
    _lose(quarantine, _POISON, "x", 1.1)
    assert quarantine.verdict(_POISON, 2.0).kind == "allow"


def test_after_its_time_one_request_is_tried() -> None:
    # Guards against copies that are all sent when the time is over.
    quarantine = _quarantined()
    assert quarantine.verdict(_POISON, 10.0).kind == "refuse"
    assert quarantine.verdict(_POISON, 40.1).kind == "trial"
    assert quarantine.verdict(_POISON, 40.1).kind == "refuse"
    assert quarantine.standing(_POISON, 40.2, trial=True) == "free"
    quarantine.on_sent(_POISON, 40.2)
    quarantine.on_lost(_POISON, ("z", 1), attempts=1, now=40.3)
    assert quarantine.standing(_POISON, 40.3, trial=True) == "stopped"
    assert quarantine.verdict(_POISON, 70.0).kind == "refuse"


def test_a_trial_that_is_answered_ends_the_entry() -> None:
    # Guards against content that stays refused after the leaves were mended.
    quarantine = _quarantined()
    quarantine.verdict(_POISON, 10.0)
    assert quarantine.verdict(_POISON, 41.0).kind == "trial"
    quarantine.on_answered(_POISON, 41.1)
    assert quarantine.verdict(_POISON, 41.2).kind == "allow"
    assert len(quarantine) == 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    # The first content that loses two leaves may be the first sign that leaves end by themselves,
    # so with a large share of lost calls a few requests are refused until others are lost.
    ("share", "most_refused"),
    [(0.002, 0), (0.02, 0), (0.1, 3), (0.3, 5)],
)
def test_leaves_that_end_by_themselves_quarantine_nothing(
    share: float, most_refused: int, seed: int
) -> None:
    # Guards against requests that are refused although leaves end for another reason.
    generator = random.Random(seed)
    quarantine = RequestQuarantine(host="a")
    refused = 0
    for number in range(1_000):
        now = 10.0 + number / 50
        if number % 50 == 0:
            quarantine.remove_expired(now)
        key = _key(generator.randrange(300))
        if quarantine.verdict(key, now).kind != "allow":
            refused += 1
            continue
        quarantine.on_request(now)
        for attempt in (1, 2):
            quarantine.on_sent(key, now)
            if generator.random() >= share:
                quarantine.on_answered(key, now)
                break
            quarantine.on_lost(key, (f"{number}-{attempt}", 1), attempts=attempt, now=now)
        quarantine.verdict(key, now + 0.04)
    print(f"{refused} of 1000 refused, {quarantine.count_quarantined()} in quarantine")
    assert refused <= most_refused
    assert quarantine.count_quarantined() == 0


def test_many_leaves_that_end_together_under_a_scatter_request_are_no_proof() -> None:
    # Guards against a quarantine of the only request that runs when a fifth of the leaves end.
    quarantine = RequestQuarantine(host="a")
    quarantine.on_request(10.0)
    for _ in range(90):
        quarantine.on_sent(_POISON, 10.0)
    for number in range(18):
        quarantine.on_lost(_POISON, (f"busy-{number}", 1), attempts=90, now=10.01)
        quarantine.on_ended_elsewhere((f"idle-{number}", 1), 10.01)
    assert quarantine.verdict(_POISON, 10.1).kind == "allow"
    # Without the leaves that ended elsewhere, the request is the cause.
    alone = RequestQuarantine(host="a")
    _serve(alone, 500, 1.0, 9.9)
    for number in range(18):
        alone.on_lost(_POISON, (f"busy-{number}", 1), attempts=90, now=10.01)
    assert alone.verdict(_POISON, 10.1).kind == "refuse"


def test_content_that_leaves_have_run_is_not_quarantined_for_two_ends() -> None:
    # Guards against a quarantine of the content that most callers send, when two leaves end.
    quarantine = RequestQuarantine(host="a")
    for number in range(200):
        quarantine.on_request(1.0 + number / 100)
        quarantine.on_sent(_POISON, 1.0 + number / 100)
        quarantine.on_answered(_POISON, 1.0 + number / 100)
    _lose(quarantine, _POISON, "x", 3.0)
    _lose(quarantine, _POISON, "y", 3.0)
    assert quarantine.verdict(_POISON, 3.01).kind == "allow"
    assert quarantine.verdict(_POISON, 3.1).kind == "allow"


def test_several_such_requests_do_not_hide_each_other() -> None:
    # Guards against losses under one of them that count as the general rate for the others.
    quarantine = RequestQuarantine(host="a")
    _serve(quarantine, 400, 1.0, 9.9)
    poisons = [_key(10_000 + number) for number in range(12)]
    for number, key in enumerate(poisons):
        at = 10.0 + number / 100
        _lose(quarantine, key, f"x-{number}", at)
        _lose(quarantine, key, f"y-{number}", at)
    assert [quarantine.verdict(key, 10.5).kind for key in poisons] == ["refuse"] * len(poisons)


def test_another_host_is_believed_if_it_names_two_leaves() -> None:
    # Guards against a host that can block content without evidence.
    quarantine = RequestQuarantine(host="b")
    evidence = QuarantineEvidence(_POISON, (("x", 1), ("y", 1)), 2, True, 0.1)
    assert (
        not quarantine.merge(
            evidence._replace(fingerprint=_key(1), leaves=(("x", 1),)), source="a", now=5.0
        )
        or quarantine.verdict(_key(1), 5.0).kind == "allow"
    )
    assert quarantine.merge(evidence, source="a", now=5.0)
    assert not quarantine.merge(evidence, source="a", now=5.0)
    assert quarantine.verdict(_POISON, 5.0).kind == "refuse"
    assert not quarantine.merge(evidence._replace(age_seconds=31.0), source="a", now=5.0)


def test_losses_at_two_hosts_add_up() -> None:
    # Guards against a request that callers repeat at another host after each lost leaf.
    here, there = RequestQuarantine(host="a"), RequestQuarantine(host="b")
    _lose(here, _POISON, "x", 1.0)
    evidence = here.evidence(_POISON, 1.0)
    assert evidence is not None
    there.merge(evidence, source="a", now=1.0)
    _lose(there, _POISON, "y", 1.01)
    assert there.standing(_POISON, 1.01, trial=False) == "held"
    assert there.verdict(_POISON, 1.1).kind == "refuse"
    assert there.count_quarantined() == 1


def test_the_number_of_entries_is_bounded_and_keeps_those_in_quarantine() -> None:
    quarantine = _quarantined()
    assert quarantine.verdict(_POISON, 10.0).kind == "refuse"
    for number in range(3_000):
        _lose(quarantine, _key(number), f"leaf-{number}", 10.0)
    assert len(quarantine) <= 1_000
    assert quarantine.verdict(_POISON, 10.1).kind == "refuse"
    quarantine.remove_expired(1_000.0)
    assert len(quarantine) == 0
