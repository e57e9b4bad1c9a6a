"""Errors and progress messages of an acceptance."""

from filbertreach.ctl._errors import ConflictError, RefusedError, UnknownOutcomeError
from filbertreach.ctl._hosts import Hosts
from filbertreach.ctl._records import Accepted, Proposal
from filbertreach.ctl._store import StoredValue
from filbertreach.document import diff_documents, parse_document

_MAX_SHOWN_DIFFERENCES = 20
"""Differences listed in an error; `diff` prints all."""
_MAX_SHOWN_HOSTS = 5
"""Hosts named in a progress message; an error names all."""


def not_confirmed_error(hosts: Hosts | None, proposal: Proposal, seconds: float) -> RefusedError:
    """Creates the error for hosts that did not confirm in time.

    Args:
        hosts: Last host records read; None if the platform did not answer.
        proposal: The unconfirmed proposal.
        seconds: Time waited, in seconds.

    Returns:
        The error.
    """
    if hosts is None:
        return RefusedError("not accepted: the platform did not answer in time")
    if not hosts.names():
        return RefusedError(
            "not accepted: no host is registered, so nothing would confirm; start the agents, "
            "or add --bootstrap for an installation without hosts"
        )
    missing = hosts.not_prepared(proposal["environment"], proposal["digest"])
    return RefusedError(
        f"not accepted: {len(missing)} of {len(hosts.names())} hosts have not confirmed within "
        f"{seconds:g} s: {', '.join(missing)}. "
        "Run the command again when they can reach the platform"
        + _without_agent_hint(hosts.live_without_record),
        data={"not_confirmed": missing},
    )


def unknown_outcome_error(record: Accepted) -> UnknownOutcomeError:
    """Creates the error for a compare-and-swap that may or may not have taken effect.

    Args:
        record: The document to be accepted.

    Returns:
        The error.
    """
    environment = record["environment"]
    return UnknownOutcomeError(
        f"unknown: generation {record['generation']} of {environment} may or may not be "
        "accepted, the platform stopped answering. Run the same command again when the "
        "platform answers: it does not apply twice. Or look with "
        f"'filbertreach-ctl status {environment}' for request {record['request'][:12]}",
        data={"generation": record["generation"], "request": record["request"]},
    )


def replaced_conflict(generation: int, newest: StoredValue) -> ConflictError:
    """Creates the error for a command whose earlier run took effect and was replaced since.

    Args:
        generation: Generation of the earlier run.
        newest: Current accepted document.

    Returns:
        The error.
    """
    value = newest.value
    return ConflictError(
        f"not applied again: this command already took effect as generation {generation}, and "
        f"{value['operator']} replaced it by generation {value['generation']} "
        f"({value['reason']}). To put it in force once more add --base {value['generation']}",
        data={"took_effect_as": generation, "accepted": _summary(newest)},
    )


def accepted_conflict(present: StoredValue | None, text: str) -> ConflictError:
    """Creates the error for a conflicting accepted document, with the differences.

    Args:
        present: Accepted document; None if there is none.
        text: Text of this command's document.

    Returns:
        The error.
    """
    if present is None:
        return ConflictError("not accepted: there is no accepted document to work from")
    value = present.value
    return ConflictError(
        f"not accepted: {value['operator']} was first with generation {value['generation']}, "
        f"accepted {value['accepted_at']} ({value['reason']})",
        lines=_differences(value["text"], text),
        data={"accepted": _summary(present)},
    )


def proposal_conflict(present: StoredValue, text: str) -> ConflictError:
    """Creates the error for a conflicting open proposal, with the differences.

    Args:
        present: The open proposal.
        text: Text of this command's document.

    Returns:
        The error.
    """
    value = present.value
    return ConflictError(
        f"not accepted: {value['operator']} was first and is proposing generation "
        f"{value['generation']} since {value['proposed_at']} ({value['reason']})",
        lines=_differences(value["text"], text),
        data={"proposed": _summary(present)},
    )


def confirmation_progress(hosts: Hosts, missing: list[str]) -> str:
    """Formats how many hosts have confirmed.

    Args:
        hosts: Host records.
        missing: Hosts that have not confirmed.

    Returns:
        One line.
    """
    total = len(hosts.names())
    if not total:
        return "no host is registered"
    line = f"{total - len(missing)} of {total} hosts have confirmed"
    if not missing:
        return line
    more = " ..." if len(missing) > _MAX_SHOWN_HOSTS else ""
    return f"{line}; waiting for {', '.join(missing[:_MAX_SHOWN_HOSTS])}{more}"


def _without_agent_hint(live_without_record: frozenset[str]) -> str:
    if not live_without_record:
        return ""
    names = ", ".join(sorted(live_without_record))
    return (
        f". The platform lists {names} as live but without agent; if you know that a host is down, "
        "add --without HOST"
    )


def _summary(stored: StoredValue) -> dict[str, str]:
    return {name: value for name, value in stored.value.items() if name != "text"}


def _differences(present_text: str, own_text: str) -> list[str]:
    first = parse_document(text=present_text).value_or(None)
    second = parse_document(text=own_text).value_or(None)
    if first is None or second is None:
        return []
    found = [str(item) for item in diff_documents(first, second)]
    if not found:
        return ["both texts mean the same"]
    more = len(found) - _MAX_SHOWN_DIFFERENCES
    shown = [f"  {line}" for line in found[:_MAX_SHOWN_DIFFERENCES]]
    return ["from that text to yours:", *shown] + ([f"  and {more} more"] if more > 0 else [])
