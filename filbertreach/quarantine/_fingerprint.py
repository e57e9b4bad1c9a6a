"""Identification of a request by its content."""

import hashlib

FINGERPRINT_BYTES = 16
"""Size of a fingerprint; two different requests practically never have the same one."""


def fingerprint(*, method: str, target: bytes, body: bytes, account: str | None) -> bytes:
    """Returns what identifies a request by its content.

    The request id and the API key are no part of it: callers repeat a request with another id.

    Args:
        method: HTTP method.
        target: Path and query, as sent.
        body: Body.
        account: Name of the client account; None for none.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), target, b"" if account is None else account.encode(), body):
        # With its length, a part can't be mistaken for the end of the one before it.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
