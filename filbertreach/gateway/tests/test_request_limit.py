"""Request limits that leaves name in their answers."""

from filbertreach.gateway._request_limit import RequestLimit


def _limit() -> RequestLimit:
    return RequestLimit(leaf="a", service="fleet")


def test_a_limit_is_in_force_until_a_later_request_is_answered_without_it() -> None:
    # Guards against lifting a limit because of an answer that is older than the limit.
    limit = _limit()
    limit.on_named(15.3, now=100.0)
    limit.on_success(sent_at=99.9, now=100.1)
    assert limit.per_second == 15.3
    limit.on_named(12.0, now=100.2)
    limit.on_success(sent_at=100.3, now=100.4)
    assert limit.per_second is None


def test_the_limit_of_a_restarted_leaf_is_lifted() -> None:
    limit = _limit()
    limit.on_named(15.3, now=100.0)
    limit.on_removed(now=101.0)
    assert limit.per_second is None
