"""Clients of the platform's key-value service and host list; `docs/platform-contract.md`."""

from filbertreach.platform._errors import (
    ConflictError,
    InvalidCallError,
    KeyNotFoundError,
    LeaseExpiredError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
    TooLargeError,
)
from filbertreach.platform._host_list import Host, HostList, HostListClient
from filbertreach.platform._key_value import (
    MAX_VALUE_BYTES,
    KeyValueClient,
    KeyValueItem,
    KeyValueListing,
    Lease,
    WatchBatch,
    WatchEvent,
)
from filbertreach.platform._lease_keeper import LeaseKeeper
from filbertreach.platform._put_checked import put_checked

__all__ = [
    "MAX_VALUE_BYTES",
    "ConflictError",
    "Host",
    "HostList",
    "HostListClient",
    "InvalidCallError",
    "KeyNotFoundError",
    "KeyValueClient",
    "KeyValueItem",
    "KeyValueListing",
    "Lease",
    "LeaseExpiredError",
    "LeaseKeeper",
    "OutcomeUnknownError",
    "PlatformError",
    "PlatformUnavailableError",
    "RateLimitedError",
    "TooLargeError",
    "WatchBatch",
    "WatchEvent",
    "put_checked",
]
