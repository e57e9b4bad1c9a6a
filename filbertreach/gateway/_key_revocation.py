"""Until when keys of client accounts are accepted by a host that no longer hears from the store."""

from filbertreach.observability import get_logger
from filbertreach.platform import Bounds, CallerAnswer, CallerRequest, refuse

_MARGIN_SECONDS = 0.3
"""Time by which keys are refused before the bound, because a request may have arrived before it is
read."""
_MAX_MARGIN_SHARE = 0.25
"""The margin is at most this part of the bound."""
_MAX_WATCH_SHARE = 0.3
"""Longest wait of a watch as a part of the bound, so that a healthy host hears from the store
several times within it."""
_RETRY_SECONDS = 0.5
"""Time after which a caller is asked to retry; a host mostly hears from the store again by then."""

_LOGGER = get_logger(__name__)


class KeyRevocation:
    """Decides whether what a host knows of the store is recent enough to accept keys."""

    def __init__(self, *, bounds: Bounds) -> None:
        """Creates the decision.

        Args:
            bounds: Bounds of the deployment. Without `strict_revoke`, keys are always accepted.
        """
        self._is_strict = bounds.strict_revoke
        self._bound_seconds = bounds.revoke_seconds
        margin = min(_MARGIN_SECONDS, _MAX_MARGIN_SHARE * self._bound_seconds)
        self._max_age_seconds = self._bound_seconds - margin

    def may_accept(self, age_seconds: float) -> bool:
        """Returns whether a key of the configuration in force may be accepted.

        Args:
            age_seconds: Time since the store had nothing newer than this host knows, in seconds.
        """
        return not self._is_strict or age_seconds < self._max_age_seconds

    def watch_seconds(self, usual_seconds: float) -> float:
        """Returns the longest wait of a watch with which keys stay accepted.

        Args:
            usual_seconds: Longest wait without a bound on the age, in seconds.
        """
        if not self._is_strict:
            return usual_seconds
        return min(usual_seconds, _MAX_WATCH_SHARE * self._bound_seconds)


def refuse_stale_keys(request: CallerRequest, route: str, version: int) -> CallerAnswer:
    """Logs and creates the refusal of a request whose key may have been removed meanwhile.

    Args:
        request: The request.
        route: Name of its route.
        version: Version of the configuration in force.

    Returns:
        The refusal; nothing was sent.
    """
    _LOGGER.info(
        "refused",
        request=request.id,
        status=503,
        reason="keys may be out of date",
        route=route,
        version=version,
    )
    return refuse(503, "the keys in force are not known", retry_after_seconds=_RETRY_SECONDS)
