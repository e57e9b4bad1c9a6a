"""Tests the requests that a quota host grants before it holds parts."""

from filbertreach.document import Quota
from filbertreach.quotas import QuotaBounds, QuotaLedger
from filbertreach.quotas._advance import QuotaAdvance

_BOUNDS = QuotaBounds(5.0, 0.1, 20.0, 1)
_QUOTA = Quota(10.0, 5.0)


def _asked_ledger() -> tuple[QuotaLedger, float]:
    """Returns a ledger without parts that a gateway has asked long enough, and the clock."""
    ledger = QuotaLedger(sender="host-a/1", data_centre="minho-1", bounds=_BOUNDS, now=100.0)
    ledger.set_quotas({"acme": _QUOTA}, 100.0)
    ledger.parts.on_hosts(["host-a"], is_seed_heard=True, now=100.0)
    for step in range(3):
        ledger.advance.on_asked("host-a", 100.0 + 0.25 * step)
    return ledger, 100.5


def test_credit_of_the_advance_is_granted_again() -> None:
    """Guards against requests that did not run and yet use up the advance of their account."""
    ledger, now = _asked_ledger()
    granted = ledger.take("acme", 1000, now)
    assert granted > 2
    assert ledger.take("acme", 1, now) == 0
    ledger.give_back("acme", 2, now)
    assert ledger.take("acme", 1000, now) == 2


def test_no_more_than_the_advance_comes_back() -> None:
    """Guards against a neighbour that returns more than it got, and so grants itself requests."""
    ledger, now = _asked_ledger()
    granted = ledger.take("acme", 1000, now)
    ledger.give_back("acme", 10**9, now)
    ledger.give_back("other", 1, now)
    assert ledger.take("acme", 1000, now) == granted


def test_gateways_that_ask_take_a_bounded_memory() -> None:
    """Guards against a faulty neighbour that invents names of gateways."""
    advance = QuotaAdvance(bounds=_BOUNDS)
    for n in range(20_000):
        advance.on_asked(f"invented-{n}", 100.0 + n / 10_000)
    assert advance.kept_hosts <= 1024
    for n in range(10):
        advance.on_asked(f"later-{n}", 110.0)
    assert advance.kept_hosts == 10


def test_invented_gateways_do_not_end_the_advance() -> None:
    """Guards against a bound on names after which real gateways never count again."""
    advance = QuotaAdvance(bounds=_BOUNDS)
    for n in range(5000):
        advance.on_asked(f"invented-{n}", 100.0)
    for step in range(9):
        advance.on_asked("host-a", 100.0 + 0.25 * step)
    assert advance.take("acme", _QUOTA, 5, hosts=1, now=102.0) == 5
