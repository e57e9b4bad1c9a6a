"""Limits within which the quotas of client accounts are kept."""

from typing import NamedTuple

from filbertreach.document import Quota

_LATE_SECONDS = 0.25
"""Time by which requests may start later than they are granted, while they wait for a leaf. In a
window, those of so much more time may run."""
_INITIAL_FRACTION = 0.05
"""Fraction of what may exceed a quota in a window that a host grants at once when it begins to hold
a part. Another host may have granted the rest just before. With 21 data centres and a slack of 20,
a larger fraction would leave less than one request to each of them."""


class QuotaBounds(NamedTuple):
    """Bounds of the deployment that concern quotas."""

    window_seconds: float
    """Length of the window in which requests are counted, in seconds."""
    overrun: float
    """Fraction by which all hosts together may exceed a quota in a window."""
    slack: float
    """Requests by which all hosts together may exceed a quota in a window, beyond the fraction."""
    data_centres: int
    """Number of data centres of the deployment."""

    def largest_count(self, quota: Quota) -> float:
        """Returns the requests that may run in one window, over all hosts.

        Args:
            quota: Quota of the account.
        """
        allowed = quota.per_second * self.window_seconds + quota.burst
        return allowed * (1.0 + self.overrun) + self.slack

    def initial_extra_burst(self, quota: Quota) -> float:
        """Returns the extra burst that all hosts grant as soon as they hold their parts.

        Args:
            quota: Quota of the account.
        """
        return _INITIAL_FRACTION * self.excess(quota)

    def extra_burst(self, quota: Quota) -> float:
        """Returns the requests beyond the burst that all hosts together save.

        Args:
            quota: Quota of the account.
        """
        late = _LATE_SECONDS * quota.per_second
        return max(0.0, (1.0 - _INITIAL_FRACTION) * self.excess(quota) - late)

    def excess(self, quota: Quota) -> float:
        """Returns by how many requests the quota may be exceeded in a window, over all hosts.

        Args:
            quota: Quota of the account.
        """
        return self.overrun * (quota.per_second * self.window_seconds + quota.burst) + self.slack
