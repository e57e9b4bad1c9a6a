"""Numbers in messages from other processes.

JSON allows integers of any length, and so does Python. Those of more than 64 bits can be neither
converted to floating point nor packed into a message, and fail far from where they were read.
"""

from typing import Annotated, TypeAlias

import msgspec

_MIN_INT64 = -(2**63)
_MAX_INT64 = 2**63 - 1
_MAX_COUNT_DIGITS = 18
"""Digits of a count in a header; all of them fit into 64 bits."""

Int64: TypeAlias = Annotated[int, msgspec.Meta(ge=_MIN_INT64, le=_MAX_INT64)]
"""An integer of 64 bits."""
NonNegativeInt64: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
"""An integer of 64 bits, at least 0."""
PositiveInt64: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT64)]
"""An integer of 64 bits, at least 1."""


def parse_count(text: bytes) -> int | None:
    """Parses a count in a header or a query.

    Args:
        text: Decimal digits, which may be surrounded by spaces.

    Returns:
        The count; None if the text is not a number, or one that no count reaches.
    """
    digits = text.strip()
    if not digits.isdigit() or len(digits) > _MAX_COUNT_DIGITS:
        return None
    return int(digits)
