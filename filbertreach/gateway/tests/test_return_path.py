"""When the objective of a request begins."""

import pytest

from filbertreach.decisions import RequestArrival
from filbertreach.gateway._return_path import ReturnPath
from filbertreach.timing import FakeClock, TimerService


@pytest.mark.parametrize(
    ("enabled", "received_at", "arrived_at"),
    [
        (False, 9.99, 10.0),
        (True, 9.99, 9.99),
        (True, None, 10.0),
        # The upload of a body, and another clock.
        (True, 7.0, 9.95),
        (True, 11.0, 10.0),
    ],
)
def test_the_objective_counts_from_the_first_byte(
    enabled: bool, received_at: float | None, arrived_at: float
) -> None:
    # Guards against answers that are late because the request waited to be read, and against an
    # upload that uses up the objective.
    timers = TimerService(clock=FakeClock(start=10.0))
    path = ReturnPath(
        enabled=enabled,
        link_bytes_per_second=None,
        cores=None,
        timers=timers,
        in_progress=lambda: 0,
    )
    assert path.arrived_at(RequestArrival(received_at=received_at)) == pytest.approx(arrived_at)
