"""Client accounts and data centres of runs that have them."""

import random
from typing import Any, NamedTuple

from filbertreach_standins.deployment import KEY_PREFIX

FIRST_DATA_CENTRE = "minho-1"
"""Data centre of all hosts and leaves in a run without accounts."""
SECOND_DATA_CENTRE = "minho-2"
"""Data centre of every second host and of the second leaf of each shard in a run with accounts."""
REGION = "minho"
"""Region of both data centres."""
QUOTA_WINDOW_SECONDS = 5.0
"""Window in which the requests of an account are counted; the default of the settings."""
QUOTA_OVERRUN = 0.1
"""Fraction by which the quota may be exceeded in a window; the default of the settings."""
QUOTA_SLACK = 20
"""Requests in addition; the default of the settings."""
COLD_PER_SECOND = 4.0
"""Requests per second that a cold leaf takes from all hosts together."""
COLD_OVERRUN = 1.5
"""Multiple of that which it tolerates in a second; the default of the settings."""
COLD_SLACK = 5
"""Requests in addition; the default of the settings."""
NO_ACCOUNT = ""
"""Account of a request whose key belongs to no account."""


class Account(NamedTuple):
    """A client account of a run."""

    name: str
    """Name."""
    keys: tuple[str, ...]
    """API keys."""
    rate_per_second: float = 0.0
    """Quota in requests per second over all hosts; 0 for none."""
    burst: float = 0.0
    """Requests that the quota allows at once in addition."""

    @property
    def allowed_in_window(self) -> float:
        """Requests that may run in any window, over all hosts; infinite without a quota."""
        if not self.rate_per_second:
            return float("inf")
        quota = self.rate_per_second * QUOTA_WINDOW_SECONDS + self.burst
        return quota * (1.0 + QUOTA_OVERRUN) + QUOTA_SLACK


ACCOUNTS = (
    Account("free", (f"{KEY_PREFIX}free",)),
    Account("limited", (f"{KEY_PREFIX}limited-1", f"{KEY_PREFIX}limited-2"), 20.0, 10.0),
    Account("small", (f"{KEY_PREFIX}small",), 1.0, 2.0),
)
"""Accounts of a run; callers ask for more than the quotas allow."""


class Credential(NamedTuple):
    """What a request of a caller shows of its account."""

    key: str | None
    """API key; None to send none."""
    account: str
    """Name of the account; `NO_ACCOUNT` if the key belongs to none."""
    allowed_refusal: int | None
    """Status with which the request may be refused although nothing is wrong; None for none."""


_STATUS_OVER_QUOTA = 429
_STATUS_NO_ACCOUNT = 401
_NO_CREDENTIALS = (
    Credential(None, NO_ACCOUNT, _STATUS_NO_ACCOUNT),
    Credential(f"{KEY_PREFIX}unknown", NO_ACCOUNT, _STATUS_NO_ACCOUNT),
)
_CREDENTIALS = (
    *(
        Credential(key, account.name, _STATUS_OVER_QUOTA if account.rate_per_second else None)
        for account in ACCOUNTS
        for key in account.keys
    ),
    *_NO_CREDENTIALS,
)
_WEIGHTS = (8, 4, 4, 2, 1, 1)
"""Relative frequencies of `_CREDENTIALS`, in the same order."""


def pick_credential(rng: random.Random) -> Credential:
    """Returns the credential of the next request.

    Args:
        rng: Seeded source of random choices.
    """
    return rng.choices(_CREDENTIALS, weights=_WEIGHTS)[0]


def tenants_json() -> list[dict[str, Any]]:
    """Returns the accounts as the configuration in the store has them."""
    return [
        {
            "name": account.name,
            "api_keys": list(account.keys),
            "rate_per_s": account.rate_per_second,
            "burst": account.burst,
        }
        for account in ACCOUNTS
    ]
