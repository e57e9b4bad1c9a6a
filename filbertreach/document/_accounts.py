"""Client accounts: on whose behalf a request is sent, found by the API key of its caller."""

import collections
import hashlib
import re
import secrets
from collections.abc import Iterable
from typing import NamedTuple

_DIGEST_SECRET = secrets.token_bytes(32)
_DIGEST_BYTES = 16
_KEY = re.compile(rb"[!-~]{1,1024}")
"""Visible ASCII characters. Longer values are no key; hashing them would only cost processor
time."""


class Quota(NamedTuple):
    """Requests of a client account that all hosts together let through."""

    per_second: float
    """Requests per second."""
    burst: float
    """Requests beyond the rate that may come at once."""


class ClientAccount(NamedTuple):
    """A client account that operators configure."""

    name: str
    """Account name."""
    priority: int | None = None
    """Rank of its requests, 0 for the most urgent ones; None for the rank of their routes."""
    quota: Quota | None = None
    """Quota; None if there is no limit."""
    home_regions: frozenset[str] | None = None
    """Regions whose leaves may run its requests; None for all."""


class AccountTable:
    """The client accounts of one version of the configuration.

    Keys are kept and compared as digests under a secret of this process, so that neither memory nor
    the time of a lookup discloses a key.
    """

    def __init__(self, *, keys_by_account: Iterable[tuple[ClientAccount, Iterable[bytes]]]) -> None:
        """Creates the table.

        Args:
            keys_by_account: Accounts with their API keys. A key of several accounts identifies
                none of them. Of accounts with the same name, the first one holds all keys.
        """
        self.account_by_name: dict[str, ClientAccount] = {}
        self._account_by_digest: dict[bytes, ClientAccount] = {}
        holders: collections.Counter[bytes] = collections.Counter()
        for account, keys in keys_by_account:
            # Leaves and quotas know an account by its name, so one name is one account.
            account = self.account_by_name.setdefault(account.name, account)
            for digest in {digest_api_key(key) for key in keys}:
                if digest is not None:
                    holders[digest] += 1
                    self._account_by_digest[digest] = account
        for digest, count in holders.items():
            if count > 1:
                del self._account_by_digest[digest]

    def find(self, key_digest: bytes | None) -> ClientAccount | None:
        """Returns the account that holds a key.

        Args:
            key_digest: Digest of the key; None if the request has no usable key.

        Returns:
            The account, or None if no account, or more than one, holds the key.
        """
        return None if key_digest is None else self._account_by_digest.get(key_digest)


def digest_api_key(key: bytes) -> bytes | None:
    """Returns the digest by which an account is found.

    Args:
        key: API key.

    Returns:
        The digest, which differs between processes; None if the key is empty, too long or has
        bytes other than visible ASCII characters.
    """
    if _KEY.fullmatch(key) is None:
        return None
    return hashlib.blake2b(key, key=_DIGEST_SECRET, digest_size=_DIGEST_BYTES).digest()
