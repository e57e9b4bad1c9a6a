"""Writes that learn their outcome when an answer is lost."""

from collections.abc import Callable

import anyio
from returns.result import Failure, Result, Success

from filbertreach.platform._errors import ConflictError, OutcomeUnknownError, PlatformError
from filbertreach.platform._key_value import KeyValueClient, KeyValueItem

_FIRST_PAUSE_SECONDS = 0.05
"""Pause before a write is sent again, doubled each time; the service answers in milliseconds."""


async def put_checked(
    *,
    client: KeyValueClient,
    key: str,
    value: str,
    expected_revision: int | None,
    took_effect: Callable[[KeyValueItem], bool],
    lease: str | None = None,
    attempts: int = 3,
) -> Result[int, PlatformError]:
    """Writes a key; after an unknown outcome reads back, and writes again if that is safe.

    Args:
        client: Client.
        key: Key.
        value: Value, with something that tells it from every other write, such as a random token.
        expected_revision: As for `KeyValueClient.put`. With None a repeated write may overwrite
            what others wrote in between.
        took_effect: Tells whether an item shows that this write took effect. It must also hold for
            whatever others write over it, or the result is a ConflictError although the write
            took effect before.
        lease: Id of the lease that the key ends with, or None.
        attempts: Most writes that are sent.

    Returns:
        The revision of the key that shows the write. Failures other than OutcomeUnknownError prove
        that the write did not take effect, and won't.
    """
    outcome_unknown = False
    for attempt in range(attempts):
        if attempt > 0:
            await anyio.sleep(_FIRST_PAUSE_SECONDS * 2 ** (attempt - 1))
        result = await client.put(key, value, expected_revision, lease)
        if isinstance(result, Success):
            return result
        error = result.failure()
        if isinstance(error, OutcomeUnknownError):
            outcome_unknown = True
        if not outcome_unknown:
            return result
        conflict = error if isinstance(error, ConflictError) else None
        settled = await _read_back(client, key, took_effect, conflict)
        if settled is not None:
            return settled
    message = f"put {key!r}: the answer was lost, and reading back did not show the outcome"
    return Failure(OutcomeUnknownError(message))


async def _read_back(
    client: KeyValueClient,
    key: str,
    took_effect: Callable[[KeyValueItem], bool],
    conflict: ConflictError | None,
) -> Result[int, PlatformError] | None:
    read = await client.get(key)
    if not isinstance(read, Success):
        return None
    item = read.unwrap()
    if took_effect(item):
        return Success(item.revision)
    # Without a conflict, the lost write may still be on its way. With one, it can't take effect any
    # more, but a read that is older than the conflict doesn't show whether it did.
    if conflict is not None and item.revision >= conflict.current_revision:
        return Failure(conflict)
    return None
