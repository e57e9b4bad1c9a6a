"""What an operator is told when a text is not accepted, and while it is waited for."""

from filbertreach.ctl._errors import ConflictError, RefusedError, UnknownOutcomeError
from filbertreach.ctl._hosts import Hosts
from filbertreach.ctl._records import Accepted, Proposal
from filbertreach.ctl._store import Stored
from filbertreach.document import diff_documents, parse_document

_SHOWN_DIFFERENCES = 20
"""Lines of differences in an error; `diff` prints all."""
_SHOWN_HOSTS = 5
"""Hosts named in a line of progress; an error names all."""


def not_confirmed(hosts: Hosts | None, proposal: Proposal, seconds: float) -> RefusedError:
    """Says which hosts did not confirm.

    Args:
        hosts: Last host records read; None if the platform did not answer.
        proposal: The proposal.
        seconds: Time that was waited.

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
        "Run the command again when they can reach the platform" + _hint_for(hosts.without_record),
        data={"not_confirmed": missing},
    )


def unknown_outcome(record: Accepted) -> UnknownOutcomeError:
    """Says that a swap may or may not have taken effect, and how to find out.

    Args:
        record: What would be accepted.

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


def replaced(generation: int, newest: Stored) -> ConflictError:
    """Says that an earlier run of the command took effect and was replaced.

    Args:
        generation: Generation of the earlier run.
        newest: Accepted document.

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


def accepted_conflict(present: Stored | None, text: str) -> ConflictError:
    """Says whose document was accepted first, and what differs.

    Args:
        present: Accepted document, None if there is none.
        text: Text of this command.

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


def proposal_conflict(present: Stored, text: str) -> ConflictError:
    """Says whose proposal is open, and what differs.

    Args:
        present: The open proposal.
        text: Text of this command.

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
    """Says how many hosts have confirmed.

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
    more = " ..." if len(missing) > _SHOWN_HOSTS else ""
    return f"{line}; waiting for {', '.join(missing[:_SHOWN_HOSTS])}{more}"


def _hint_for(without_record: frozenset[str]) -> str:
    if not without_record:
        return ""
    names = ", ".join(sorted(without_record))
    return (
        f". The platform lists {names} as live but without agent; if you know that a host is down, "
        "add --without HOST"
    )


def _summary(stored: Stored) -> dict[str, str]:
    return {name: value for name, value in stored.value.items() if name != "text"}


def _differences(theirs: str, ours: str) -> list[str]:
    first = parse_document(text=theirs).value_or(None)
    second = parse_document(text=ours).value_or(None)
    if first is None or second is None:
        return []
    found = [str(item) for item in diff_documents(first, second)]
    if not found:
        return ["both texts mean the same"]
    more = len(found) - _SHOWN_DIFFERENCES
    shown = [f"  {line}" for line in found[:_SHOWN_DIFFERENCES]]
    return ["from that text to yours:", *shown] + ([f"  and {more} more"] if more > 0 else [])
