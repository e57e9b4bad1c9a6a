"""Preconditions that a document must meet before it is proposed."""

from filbertreach.changes import check_changes
from filbertreach.ctl._access import signature_is_valid
from filbertreach.ctl._calls import uncalled_by_change
from filbertreach.ctl._context import Context, parse_or_refuse
from filbertreach.ctl._errors import RefusedError, UnavailableError
from filbertreach.ctl._hosts import Hosts, read_hosts
from filbertreach.ctl._records import (
    Accepted,
    TrialRecord,
    format_time,
    now_utc,
    trial_key,
)
from filbertreach.ctl._store import ResponseLostError, RevisionChangedError
from filbertreach.document import Environment, digest_document


def refuse_infeasible_changes(document: Environment) -> None:
    """Refuses a document with planned changes that can't be carried out.

    Args:
        document: The document.

    Raises:
        RefusedError: Lists every such change and what to correct.
    """
    problems = check_changes(document, now_utc())
    if problems:
        lines = [f"[change {name}]: {problem}" for name, problem in problems.items()]
        raise RefusedError(
            "planned changes can't be carried out as written",
            lines=lines,
            data={"problems": lines},
        )


async def check_production(context: Context, document: Environment) -> TrialRecord | None:
    """Refuses a production document that did not run in trial or whose clients were not called.

    Args:
        context: Context of the verb.
        document: The document.

    Returns:
        The trial record; None for a document of a trial environment.

    Raises:
        RefusedError: States which precondition is not met and the command that helps.
    """
    accepted = await context.accepted(document.name)
    if accepted is not None:
        present = parse_or_refuse(accepted["text"], source=document.name).trial
        if present != document.trial:
            raise RefusedError(
                f"not accepted: environment {document.name} has trial = {present or '(empty)'}, "
                f"the text has trial = {document.trial or '(empty)'}; this can't be changed"
            )
    if not document.trial:
        return None
    record = await require_trial_record(context, document)
    uncalled = await uncalled_by_change(context, document)
    if uncalled:
        lines = [f"change {name}: {', '.join(clients)}" for name, clients in uncalled.items()]
        example = next(iter(uncalled))
        raise RefusedError(
            "not accepted: clients that a planned change may slow were not called; see "
            f"'filbertreach-ctl calls {document.name} {example}'",
            lines=lines,
            data={"uncalled": uncalled},
        )
    return record


async def require_trial_record(context: Context, document: Environment) -> TrialRecord:
    """Returns the record that a document ran in its trial environment.

    Args:
        context: Context of the verb.
        document: The production document.

    Returns:
        The trial record, written now if the document is in force on every host of the trial.

    Raises:
        RefusedError: The document did not run in trial, or not yet on every host.
    """
    trial, digest = document.trial, digest_document(document)
    stored = await context.store.read(trial_key(trial, digest))
    if stored is not None:
        return stored.value  # type: ignore[return-value]
    accepted = await context.accepted(trial)
    if accepted is None:
        raise RefusedError(
            f"not accepted: trial environment {trial} has no document; apply the text there first"
        )
    in_trial = parse_or_refuse(accepted["text"], source=trial)
    if digest_document(in_trial) != digest:
        raise RefusedError(
            f"not accepted: this text did not run in {trial}; apply it there first. "
            f"'filbertreach-ctl diff {trial} FILE' shows what differs"
        )
    hosts = await read_hosts(context.store, excluded_hosts=context.excluded_hosts())
    record = await record_trial(context, accepted, hosts)
    if record is None:
        behind = hosts.behind(trial, accepted["generation"])
        raise RefusedError(
            f"not accepted: generation {accepted['generation']} of {trial} is not in force on "
            f"every host yet; waiting for {', '.join(behind) or 'a first host'}",
            data={"behind": behind},
        )
    return record


async def record_trial(context: Context, accepted: Accepted, hosts: Hosts) -> TrialRecord | None:
    """Stores a trial record if a trial document is in force on every host.

    Args:
        context: Context of the verb.
        accepted: Accepted document of a trial environment.
        hosts: Host records.

    Returns:
        The record; None if the document is not in force on every host.
    """
    environment, generation = accepted["environment"], accepted["generation"]
    if not hosts.record_by_host or hosts.behind(environment, generation):
        return None
    in_force = [hosts.in_force(host, environment) for host in hosts.record_by_host]
    document = parse_or_refuse(accepted["text"], source=environment)
    record: TrialRecord = {
        "environment": environment,
        "generation": generation,
        "digest": digest_document(document),
        "operator": accepted["operator"],
        "accepted_at": accepted["accepted_at"],
        "in_force_at": max((item["since"] for item in in_force if item), default=""),
        "hosts": sorted(hosts.record_by_host),
    }
    try:
        key = trial_key(environment, record["digest"])
        await context.store.write(key, record, expected=0)
    except (RevisionChangedError, ResponseLostError, UnavailableError):
        # The record exists already, or the next check writes it.
        return record
    return record


def check_signature(context: Context, accepted: Accepted) -> None:
    """Refuses a document without a valid signature of its operator.

    Args:
        context: Context of the verb.
        accepted: Accepted document.

    Raises:
        RefusedError: The signature is invalid, or the operator is unknown.
    """
    keys = context.operator_keys()
    if keys is not None and not signature_is_valid(accepted, keys):
        raise RefusedError(
            f"not accepted: generation {accepted['generation']} of {accepted['environment']} is "
            f"not signed by {accepted['operator']} with a key in {context.settings['keys_file']}"
        )


def describe_trial(record: TrialRecord) -> list[str]:
    """Formats a trial record.

    Args:
        record: The trial record.

    Returns:
        Human-readable lines.
    """
    return [
        f"ran in {record['environment']} as generation {record['generation']} "
        f"(applied by {record['operator']})",
        f"  accepted {record['accepted_at']}, in force on {len(record['hosts'])} of "
        f"{len(record['hosts'])} hosts since {record['in_force_at']}",
        f"  now {format_time(now_utc())}",
    ]
