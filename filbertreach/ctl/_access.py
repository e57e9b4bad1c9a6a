"""Operators' keys and signatures.

Keys are secrets shared between an operator and those who check signatures. They are never logged
and never part of an error message.
"""

import hashlib
import hmac
import json
import os
import pathlib
import stat
from collections.abc import Mapping
from typing import Any

_OPEN_TO_OTHERS = stat.S_IRWXG | stat.S_IRWXO
_LEAST_KEY_LENGTH = 32
"""Characters; 32 hexadecimal digits are 128 bits."""
_UNSIGNED_FIELDS = ("signature", "accepted_at", "hosts")
"""Fields that are added to a proposal when it is accepted."""


class AccessError(Exception):
    """A key file that can't be used, or a key that does not fit."""


class Operator:
    """The identity that signs what a command writes."""

    def __init__(self, *, name: str, key: bytes) -> None:
        """Keeps the identity.

        Args:
            name: Operator name.
            key: Secret key.
        """
        self.name = name
        self._key = key

    def sign(self, record: Mapping[str, Any]) -> str:
        """Signs a record.

        Args:
            record: Fields of the record; `signature`, `accepted_at` and `hosts` are left out.

        Returns:
            HMAC-SHA-256 over the canonical JSON of the record, in hexadecimal.
        """
        return _signature(record, self._key)

    def has_key(self, key: bytes) -> bool:
        """Returns whether the key is this operator's, compared in constant time."""
        return hmac.compare_digest(self._key, key)


def read_operator(*, name: str, key_file: str, keys_file: str) -> Operator:
    """Reads the operator's key and checks it against the list of all keys, if there is one.

    Args:
        name: Operator name.
        key_file: File that holds the key alone.
        keys_file: File with one operator and key a line, or an empty string.

    Returns:
        The operator.

    Raises:
        AccessError: A file can't be used, or the operator or key is not in the list.
    """
    key = _read_secret(key_file).strip().encode()
    if len(key) < _LEAST_KEY_LENGTH:
        raise AccessError(f"{key_file}: a key needs at least {_LEAST_KEY_LENGTH} characters")
    operator = Operator(name=name, key=key)
    if keys_file:
        known = read_keys(keys_file).get(name)
        if known is None or not operator.has_key(known):
            raise AccessError(f"operator {name} with the key in {key_file} is not in {keys_file}")
    return operator


def read_keys(path: str) -> dict[str, bytes]:
    """Reads the keys of all operators.

    Args:
        path: File with one operator and key a line; empty lines and lines with # are left out.

    Returns:
        Key by operator name.

    Raises:
        AccessError: The file can't be read, is open to others, or has a line of another form.
    """
    keys: dict[str, bytes] = {}
    for number, line in enumerate(_read_secret(path).splitlines(), start=1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 2 or len(words[1]) < _LEAST_KEY_LENGTH:
            raise AccessError(
                f"{path}: line {number}: write an operator and a key of at least "
                f"{_LEAST_KEY_LENGTH} characters"
            )
        keys[words[0]] = words[1].encode()
    return keys


def signature_is_valid(record: Mapping[str, Any], keys: Mapping[str, bytes]) -> bool:
    """Checks the signature of a proposal, an accepted document, a call or an override.

    Args:
        record: The record with its fields `operator` and `signature`.
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
        # The mode is taken from the open file, so that it can't be exchanged after the check.
        with pathlib.Path(path).open(encoding="utf-8") as file:
            status = os.fstat(file.fileno())
            if status.st_mode & _OPEN_TO_OTHERS:
                mode = stat.S_IMODE(status.st_mode)
                raise AccessError(f"{path}: mode {mode:04o} lets others in; run: chmod 600 {path}")
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise AccessError(f"{path}: the file can't be read: {error}") from None
