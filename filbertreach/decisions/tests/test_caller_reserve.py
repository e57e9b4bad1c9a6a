"""The reserve for the way back to the caller, over a modelled link and event loop."""

import pytest

from filbertreach.decisions import MIN_CALLER_RESERVE_SECONDS, CallerReserve, RequestArrival

_SLOW_LINK = 7 * 125_000.0
"""Slowest link of a deployment, in bytes per second."""
_OBJECTIVE_SECONDS = 0.133


def _reserve_for(reserve: CallerReserve, now: float = 0.0) -> float:
    return reserve.seconds(now, objective_seconds=_OBJECTIVE_SECONDS)


def test_the_reserve_is_never_below_the_constant() -> None:
    # Guards against a host without observations, or an idle one, that reserves less than before.
    for reserve in (CallerReserve(), CallerReserve(link_bytes_per_second=1e9, cores=2.0)):
        assert _reserve_for(reserve) == MIN_CALLER_RESERVE_SECONDS
        for step in range(100):
            reserve.record_loop_delay(0.0, step * 0.02)
            reserve.record_sent(300, step * 0.02)
        assert _reserve_for(reserve, 2.0) == MIN_CALLER_RESERVE_SECONDS
        assert reserve.seconds(2.0, objective_seconds=0.001) == MIN_CALLER_RESERVE_SECONDS


@pytest.mark.parametrize("shards", [90, 135])
@pytest.mark.parametrize("since_requests", [0.0, 0.01, 0.03])
def test_an_answer_behind_the_requests_of_another_query_arrives_in_time(
    shards: int, since_requests: float
) -> None:
    # Guards against the constant reserve on a slow link: the requests of another query leave over
    # the link before the answer. The callers are 3 ms away.
    reserve = CallerReserve(link_bytes_per_second=_SLOW_LINK)
    requests_at = 0.1
    for _ in range(shards):
        reserve.record_sent(200, requests_at)
    sent_at = requests_at + since_requests
    delay = shards * 200 / _SLOW_LINK - since_requests + 0.003
    assert _reserve_for(reserve, sent_at) > max(0.0, delay)
    if since_requests == 0.0:
        assert delay > MIN_CALLER_RESERVE_SECONDS
    # Once the requests have left, they delay nothing.
    assert _reserve_for(reserve, 1.0) == MIN_CALLER_RESERVE_SECONDS


def test_a_late_event_loop_and_parts_of_other_queries_raise_the_reserve() -> None:
    # Guards against a reserve that ignores the processor: with a third of a core, the parts of
    # another query keep the event loop busy while the answer is due.
    delayed = CallerReserve()
    for step in range(40):
        delayed.record_loop_delay(0.03 if step % 4 == 0 else 0.001, step * 0.02)
    assert _reserve_for(delayed, 0.8) > 0.03
    reserves = {cores: CallerReserve(cores=cores) for cores in (0.361, 2.15)}
    for reserve in reserves.values():
        for _ in range(400):
            reserve.record_part(600)
            reserve.record_work(0.0002)
        reserve.expected_parts = 135
    own = [r.seconds(0.0, objective_seconds=0.133, own_parts=135) for r in reserves.values()]
    assert own == [MIN_CALLER_RESERVE_SECONDS] * 2
    # Beyond round trip and margin there is only the work, which uses one core at most.
    fixed = 0.006 + 0.002
    work = {cores: _reserve_for(reserve) - fixed for cores, reserve in reserves.items()}
    assert work[0.361] == pytest.approx(work[2.15] / 0.361)
    assert work[2.15] > 0.012


def test_arriving_parts_that_delayed_the_request_count_and_the_reserve_is_bounded() -> None:
    # Guards against a target in the past, at which a query ends with hardly any shard.
    reserve = CallerReserve(link_bytes_per_second=_SLOW_LINK)
    assert reserve.arrival_seconds() == 0.0
    reserve.expected_parts = 135
    arrival = reserve.arrival_seconds()
    assert 0.05 < arrival < 0.1
    # Until the event loop has been observed, its delay counts as 8 ms.
    for share, expected in ((1.0, 0.133 * 0.5), (0.2, 0.016 + 0.2 * arrival)):
        seconds = reserve.seconds(0.0, objective_seconds=0.133, arrival_seconds=share * arrival)
        assert seconds == pytest.approx(expected)


@pytest.mark.parametrize("has_samples", [False, True])
def test_the_handshake_of_a_new_connection_counts(has_samples: bool) -> None:
    # Guards against answers that are late because their caller first had to open a connection: up
    # to 6 ms have passed before the gateway sees the request.
    reserve = CallerReserve()
    if has_samples:
        for step in range(40):
            reserve.record_loop_delay(0.01, step * 0.02)
    kept = _reserve_for(reserve, 0.8)
    opened = reserve.seconds(
        0.8, objective_seconds=0.133, arrival=RequestArrival(is_first_on_connection=True)
    )
    assert opened == pytest.approx(kept + 0.006)
    assert kept >= MIN_CALLER_RESERVE_SECONDS
    short = reserve.seconds(
        0.8, objective_seconds=0.02, arrival=RequestArrival(is_first_on_connection=True)
    )
    assert short == MIN_CALLER_RESERVE_SECONDS


def test_the_round_trip_of_the_connection_is_reserved() -> None:
    # Guards against answers that are late because the caller is in another region: its answers take
    # 12 ms in each direction, and a new connection one round trip more.
    reserve = CallerReserve()
    round_trip = 0.024
    for arrival, round_trips in (
        (RequestArrival(round_trip_seconds=round_trip), 1),
        (RequestArrival(is_first_on_connection=True, round_trip_seconds=round_trip), 2),
    ):
        seconds = reserve.seconds(0.0, objective_seconds=0.133, arrival=arrival)
        assert seconds >= round_trips * round_trip + 0.002


def test_the_time_to_finish_an_answer_is_reserved() -> None:
    # Guards against answers that are late because a slow host merges the parts and writes the log
    # after the target has been reached.
    reserve = CallerReserve()
    for step in range(40):
        reserve.record_loop_delay(0.008, step * 0.02)
        reserve.record_finish(0.01, step * 0.02)
    assert _reserve_for(reserve, 0.8) == pytest.approx(0.006 + 0.002 + 0.008 + 0.01, rel=0.05)


def test_a_caller_that_takes_no_bytes_does_not_raise_the_reserve() -> None:
    # Guards against one slow caller that makes the answers to all others leave too early.
    reserve = CallerReserve()
    for step in range(40):
        reserve.record_loop_delay(0.005, step * 0.02)
        reserve.record_finish(3.0, step * 0.02)
    assert _reserve_for(reserve, 0.8) <= 0.017
