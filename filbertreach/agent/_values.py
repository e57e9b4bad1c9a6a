"""Values in the key-value service that agents and operators read and write."""

import hashlib
from typing import NotRequired

from returns.result import Failure, Result, Success
from typing_extensions import TypedDict

from filbertreach.agent._errors import ValueFormatError
from filbertreach.records import ENVIRONMENTS_PREFIX, HostRecord
from filbertreach.schema import Int64, InvalidMessageError, JsonDecoder, parse_address


class DocumentValue(TypedDict):
    """Value of `/proposed` and `/accepted`."""

    environment: str
    """Environment name."""
    generation: Int64
    """Generation; that of the accepted document never decreases."""
    digest: str
    """Identifies one proposal. It covers the text and the time of the proposal, so that a
    confirmation of a withdrawn proposal does not count for a later one with the same text."""
    text: str
    """INI text."""
    operator: NotRequired[str]
    """Operator who made the proposal."""
    reason: NotRequired[str]
    """Reason that the operator gave."""
    proposed_at: NotRequired[str]
    """UTC time of the proposal."""
    request: NotRequired[str]
    """Request token of the proposal."""
    accepted_at: NotRequired[str]
    """UTC time of acceptance; only in `/accepted`."""


_DOCUMENT_DECODER = JsonDecoder(message=DocumentValue)
_HOST_DECODER = JsonDecoder(message=HostRecord)


def sha256_hex(text: str) -> str:
    """Returns the SHA-256 of the text's UTF-8 bytes, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_document_value(*, key: str, value: str) -> Result[DocumentValue, ValueFormatError]:
    """Parses the value of `/proposed` or `/accepted`.

    Args:
        key: Key of the value.
        value: JSON text.

    Returns:
        The value, or a ValueFormatError that describes what is invalid.
    """
    try:
        decoded = _DOCUMENT_DECODER.decode(value)
    except InvalidMessageError as error:
        return Failure(ValueFormatError(f"{key}: {error}"))
    environment = key.removeprefix(ENVIRONMENTS_PREFIX).rpartition("/")[0]
    if decoded["environment"] != environment:
        message = f"{key}: the value is for environment {decoded['environment']!r}"
        return Failure(ValueFormatError(message))
    return Success(decoded)


def parse_host_record(*, key: str, value: str) -> Result[HostRecord, ValueFormatError]:
    """Parses a host record.

    Args:
        key: Key of the value.
        value: JSON text.

    Returns:
        The record, or a ValueFormatError that describes what is invalid.
    """
    try:
        record = _HOST_DECODER.decode(value)
        for address in (record["agent_address"], *(m["address"] for m in record["members"])):
            parse_address(address)
    except ValueError as error:
        return Failure(ValueFormatError(f"{key}: {error}"))
    return Success(record)
