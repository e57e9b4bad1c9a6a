"""Keys and signatures of operators.

Keys are secrets shared between an operator and whoever verifies signatures. They are never logged
and never included in an error message.
"""

import hashlib
import hmac
import json
import os
import pathlib
import stat
from collections.abc import Mapping
from typing import Any

_GROUP_AND_OTHER_MODE_BITS = stat.S_IRWXG | stat.S_IRWXO
_MIN_KEY_LENGTH = 32
"""Characters; 32 hexadecimal digits are 128 bits."""
_UNSIGNED_FIELDS = ("signature", "accepted_at", "hosts")
"""The signature itself, and the fields that are added when a proposal is accepted."""


class AccessError(Exception):
    """A key file is unusable, or a key is not the operator's."""


class Operator:
    """Operator identity that signs the records written by a command."""

    def __init__(self, *, name: str, key: bytes) -> None:
        """Creates the identity.

        Args:
            name: Operator name.
            key: Secret key.
        """
        self.name = name
        self._key = key

    def sign(self, record: Mapping[str, Any]) -> str:
        """Signs a record.

        Args:
            record: Fields of the record; `signature`, `accepted_at` and `hosts` are excluded.

        Returns:
            HMAC-SHA-256 over the canonical JSON of the record, in hexadecimal.
        """
        return _signature(record, self._key)

    def matches_key(self, key: bytes) -> bool:
        """Compares a key with the operator's in constant time."""
        return hmac.compare_digest(self._key, key)


def read_operator(*, name: str, key_file: str, keys_file: str) -> Operator:
    """Reads the operator's key and, if a list of all keys is given, checks it against the list.

    Args:
        name: Operator name.
        key_file: File that contains only the key.
        keys_file: File with one operator and key per line, or an empty string.

    Returns:
        The operator.

    Raises:
        AccessError: A file is unusable, or the list lacks the operator or has another key.
    """
    key = _read_secret(key_file).strip().encode()
    if len(key) < _MIN_KEY_LENGTH:
        raise AccessError(f"{key_file}: a key needs at least {_MIN_KEY_LENGTH} characters")
    operator = Operator(name=name, key=key)
    if keys_file:
        known = read_keys(keys_file).get(name)
        if known is None or not operator.matches_key(known):
            raise AccessError(f"operator {name} with the key in {key_file} is not in {keys_file}")
    return operator


def read_keys(path: str) -> dict[str, bytes]:
    """Reads the keys of all operators.

    Args:
        path: File with one operator and key per line; empty lines and lines that start with # are
            ignored.

    Returns:
        Key by operator name.

    Raises:
        AccessError: The file can't be read, is accessible to group or others, or has an
            invalid line.
    """
    keys: dict[str, bytes] = {}
    for number, line in enumerate(_read_secret(path).splitlines(), start=1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 2 or len(words[1]) < _MIN_KEY_LENGTH:
            raise AccessError(
                f"{path}: line {number}: write an operator and a key of at least "
                f"{_MIN_KEY_LENGTH} characters"
            )
        keys[words[0]] = words[1].encode()
    return keys


def signature_is_valid(record: Mapping[str, Any], keys: Mapping[str, bytes]) -> bool:
    """Verifies the signature of a proposal, accepted document, call record or override.

    Args:
        record: The record, including its fields `operator` and `signature`.
        keys: Key by operator name.

    Returns:
        Whether the named operator signed exactly this record.
    """
    key = keys.get(str(record.get("operator", "")))
    if key is None:
        return False
    expected = _signature(record, key).encode()
    return hmac.compare_digest(expected, str(record.get("signature", "")).encode())


def _signature(record: Mapping[str, Any], key: bytes) -> str:
    signed = {name: value for name, value in record.items() if name not in _UNSIGNED_FIELDS}
    text = json.dumps(signed, sort_keys=True, separators=(",", ":"))
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()


def _read_secret(path: str) -> str:
    try:
        # fstat on the open file, so that the file can't be replaced between check and read.
        with pathlib.Path(path).open(encoding="utf-8") as file:
            status = os.fstat(file.fileno())
            if status.st_mode & _GROUP_AND_OTHER_MODE_BITS:
                mode = stat.S_IMODE(status.st_mode)
                raise AccessError(
                    f"{path}: mode {mode:04o} allows access by others; run: chmod 600 {path}"
                )
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise AccessError(f"{path}: the file can't be read: {error}") from None
