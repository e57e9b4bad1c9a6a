"""Writes that determine their outcome by reading back if the response is lost."""

from collections.abc import Callable

import anyio
from returns.result import Failure, Result, Success

from filbertreach.platform._errors import ConflictError, OutcomeUnknownError, PlatformError
from filbertreach.platform._key_value import KeyValueClient, KeyValueItem

_FIRST_DELAY_SECONDS = 0.05
"""Delay before the first retry, doubled for each further one; responses take milliseconds."""


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
    """Writes a key; if the outcome is unknown, reads it back and retries if that is safe.

    Args:
        client: Client.
        key: Key.
        value: Value that differs from that of every other write, for example by a random token.
        expected_revision: As for `KeyValueClient.put`. With None, a retry may overwrite what others
            wrote in between.
        took_effect: Returns whether an item shows that this write took effect. It must also be true
            for values that others write on top of this one; otherwise the result is a ConflictError
            although the write took effect.
        lease: Id of the lease with which the key is deleted, or None.
        attempts: Largest number of writes that are sent.

    Returns:
        A revision of the key that includes the write. Failures other than OutcomeUnknownError prove
        that the write has not taken effect and won't do so later.
    """
    outcome_unknown = False
    for attempt in range(attempts):
        if attempt > 0:
            await anyio.sleep(_FIRST_DELAY_SECONDS * 2 ** (attempt - 1))
        result = await client.put(key, value, expected_revision, lease)
        if isinstance(result, Success):
            return result
        error = result.failure()
        if isinstance(error, OutcomeUnknownError):
            outcome_unknown = True
        if not outcome_unknown:
            return result
        conflict = error if isinstance(error, ConflictError) else None
        known_outcome = await _read_back(client, key, took_effect, conflict)
        if known_outcome is not None:
            return known_outcome
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
    # Without a conflict, the lost write may still be in transit. After a conflict it can't take
    # effect any more, but a read that is older than the conflict does not show whether it did.
    if conflict is not None and item.revision >= conflict.current_revision:
        return Failure(conflict)
    return None
