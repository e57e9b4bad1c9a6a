"""Guards the load generator of the experiments and the figures computed from its records."""

import math

import pytest

from experiments._figures import quantile, ratio, records_between, summary
from experiments.flood import seconds_to_normal
from experiments.load import MAX_SECONDS, Load, LoadError, Record, Stream, draw_arrivals


def _load(**changes):
    load = Load(["127.0.0.1:1"], [Stream("booking", 50.0)], 10.0, 1, 0.0, "label")
    return load._replace(**changes)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"addresses": ["10.0.0.1:80"]}, "loopback"),
        ({"addresses": ["127.0.0.1:1", "192.168.0.1:80"]}, "loopback"),
        ({"seconds": MAX_SECONDS + 1}, "at most"),
        ({"streams": [Stream("booking", 1e6)]}, "more than"),
    ],
)
def test_a_load_beyond_its_bounds_is_refused(changes, message):
    """Guards against load on other machines and load without a limit of time or rate."""
    with pytest.raises(LoadError, match=message):
        draw_arrivals(_load(**changes))


def test_arrivals_depend_only_on_the_seed_and_stay_within_their_stream():
    """Guards against different loads for a policy and its baseline."""
    streams = [Stream("booking", 50.0), Stream("search", 80.0, starts=2.0, ends=4.0)]
    generated = draw_arrivals(_load(streams=streams))
    assert generated == draw_arrivals(_load(streams=streams))
    assert generated != draw_arrivals(_load(streams=streams, seed=2))
    assert [item.at for item in generated] == sorted(item.at for item in generated)
    search = [item.at for item in generated if item.stream.rank == "search"]
    assert search and min(search) >= 2.0 and max(search) < 4.0
    assert 400 < sum(item.stream.rank == "booking" for item in generated) < 600


def _records(*outcomes):
    return [
        Record("booking", "a", 0.1 * n, seconds, outcome, coverage)
        for n, (seconds, outcome, coverage) in enumerate(outcomes)
    ]


def test_refused_queries_count_against_goodput_but_not_in_latency():
    """Guards against low latency figures for a policy that refuses queries quickly."""
    records = _records((0.05, "answered", 1.0), (0.2, "answered", 0.5), (0.001, "refused", 0.0))
    figures = summary(records, seconds=1.0)
    assert figures["goodput"] == round(2 / 3, 5)
    assert figures["in_target_share"] == round(1 / 3, 4)
    assert (figures["p50_ms"], figures["p99_ms"]) == (50.0, 200.0)
    assert (figures["mean_coverage"], figures["complete_share"]) == (0.75, 0.5)


@pytest.mark.parametrize(
    ("value", "baseline", "expected"),
    [(1.0, 2.0, 0.5), (1.0, 0.0, None), (math.nan, 2.0, None), (1.0, math.nan, None)],
)
def test_ratio_without_a_baseline_is_none(value, baseline, expected):
    """Guards against reporting a target as met when its baseline is missing."""
    assert ratio(value, baseline) == expected


def test_quantile_is_a_sample_and_records_are_filtered():
    """Guards against figures from records of another phase or rank."""
    assert quantile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert math.isnan(quantile([], 0.5))
    records = _records((0.1, "answered", 1.0), (0.1, "answered", 1.0))
    assert records_between(records, 0.05, 1.0, rank="booking") == records[1:]
    assert records_between(records, 0.0, 1.0, rank="search") == []


@pytest.mark.parametrize(("slow_until", "expected"), [(0.0, 0.0), (1.0, 1.0), (9.0, None)])
def test_recovery_ends_with_the_last_slow_window(slow_until, expected):
    """Guards against a recovery time that ignores later slow windows."""
    records = [
        Record("booking", "a", 0.05 * n, 0.5 if 0.05 * n < slow_until else 0.05, "answered", 1.0)
        for n in range(100)
    ]
    assert seconds_to_normal(records, p50_ms=50.0, since=0.0) == expected
