"""Lookup of planned changes and of the records of phone calls to clients about them."""

from typing import NamedTuple

from filbertreach.changes import CallRecord, InvalidChangeError, clients_to_call
from filbertreach.ctl._context import Context, parse_or_refuse, read_file
from filbertreach.ctl._errors import RefusedError
from filbertreach.ctl._records import calls_prefix, now_utc
from filbertreach.document import Change, Environment


class FoundChange(NamedTuple):
    """A planned change and the document that contains it."""

    environment: Environment
    """The document that contains the change."""
    change: Change
    """The planned change."""
    source: str
    """File or environment from which the document was read."""


async def read_call_records(context: Context, environment: str) -> dict[str, dict[str, CallRecord]]:
    """Reads the call records of an environment.

    Args:
        context: Context of the verb.
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
    """Finds a change in a draft, the document on trial for the environment, or its own document.

    The document on trial takes precedence, because clients are called before it is promoted.

    Args:
        context: Context of the verb; its argument `file` names a draft or is None.
        environment: Environment whose clients are called.
        change: Change name.

    Returns:
        The change.

    Raises:
        RefusedError: None of the documents has such a change.
    """
    texts: list[tuple[str, str]] = []
    if context.arguments.file:
        texts.append((context.arguments.file, read_file(context.arguments.file)))
    else:
        accepted = await context.accepted_or_refuse(environment)
        own = parse_or_refuse(accepted["text"], source=environment)
        trial = await context.accepted(own.trial) if own.trial else None
        if trial is not None:
            texts.append((own.trial, trial["text"]))
        texts.append((environment, accepted["text"]))
    for source, text in texts:
        document = parse_or_refuse(text, source=source)
        if change in document.changes_by_name:
            return FoundChange(document, document.changes_by_name[change], source)
    sources = " or ".join(source for source, _ in texts)
    raise RefusedError(f"there is no [change {change}] in {sources}")


async def uncalled_by_change(context: Context, document: Environment) -> dict[str, list[str]]:
    """Finds the clients to call before a document may come into force.

    Args:
        context: Context of the verb.
        document: The document; call records are read for the environment that it names.

    Returns:
        Clients not yet called, by name of each change that has not ended.

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
