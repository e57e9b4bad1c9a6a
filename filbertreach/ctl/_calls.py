"""Reading of call records and of the changes that they belong to."""

from typing import NamedTuple

from filbertreach.changes import CallRecord, InvalidChangeError, clients_to_call
from filbertreach.ctl._context import Context, parsed, read_file
from filbertreach.ctl._errors import RefusedError
from filbertreach.ctl._records import calls_prefix, now_utc
from filbertreach.document import Change, Environment


class FoundChange(NamedTuple):
    """A planned change and the document that holds it."""

    environment: Environment
    """The document."""
    change: Change
    """The change."""
    source: str
    """Where the document was found."""


async def read_call_records(context: Context, environment: str) -> dict[str, dict[str, CallRecord]]:
    """Reads the call records of an environment.

    Args:
        context: Of the verb.
        environment: Environment name.

    Returns:
        Record by client, by change name.
    """
    prefix = calls_prefix(environment)
    records: dict[str, dict[str, CallRecord]] = {}
    for key, stored in (await context.store.read_all(prefix)).items():
        change, _, client = key.removeprefix(prefix).partition("/")
        records.setdefault(change, {})[client] = stored.value  # type: ignore[assignment]
    return records


async def find_change(context: Context, environment: str, change: str) -> FoundChange:
    """Finds a change in a draft, in the text on trial for the environment, or in its own text.

    The text on trial comes first, because the calls are made before it is promoted.

    Args:
        context: Of the verb; its argument `file` names a draft or is None.
        environment: Environment whose clients are called.
        change: Change name.

    Returns:
        The change.

    Raises:
        RefusedError: None of the texts has such a change.
    """
    texts: list[tuple[str, str]] = []
    if context.arguments.file:
        texts.append((context.arguments.file, read_file(context.arguments.file)))
    else:
        accepted = await context.accepted_or_refuse(environment)
        own = parsed(accepted["text"], source=environment)
        trial = await context.accepted(own.trial) if own.trial else None
        if trial is not None:
            texts.append((own.trial, trial["text"]))
        texts.append((environment, accepted["text"]))
    for source, text in texts:
        document = parsed(text, source=source)
        if change in document.changes_by_name:
            return FoundChange(document, document.changes_by_name[change], source)
    sources = " or ".join(source for source, _ in texts)
    raise RefusedError(f"there is no [change {change}] in {sources}")


async def uncalled_by_change(context: Context, document: Environment) -> dict[str, list[str]]:
    """Finds the clients to call before a text may come into force.

    Args:
        context: Of the verb.
        document: The text; call records are those of the environment that it names.

    Returns:
        Uncalled clients, by name of a change that has not ended.

    Raises:
        RefusedError: A change can't be carried out as written.
    """
    records = await read_call_records(context, document.name)
    found: dict[str, list[str]] = {}
    for change in document.changes_by_name.values():
        if change.ends <= now_utc():
            continue
        try:
            uncalled = clients_to_call(document, change, records.get(change.name, {}))
        except InvalidChangeError as error:
            raise RefusedError(f"change {change.name}: {error}") from None
        if uncalled:
            found[change.name] = uncalled
    return found
