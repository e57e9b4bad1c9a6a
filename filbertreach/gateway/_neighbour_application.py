"""ASGI application for gateways on other hosts."""

import urllib.parse

import msgspec

from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._leaf_observation_routes import answer_about_leaves
from filbertreach.gateway._neighbours import CHANGES_PATH, HOSTS_PATH, Neighbours, compress
from filbertreach.gateway._retry_handover import (
    MAX_HISTORIES_BYTES,
    RETRY_HISTORIES_PATH,
    RetryHandover,
)
from filbertreach.leaf_observations import REPORTS_PATH, STATES_PATH, SharedObservations
from filbertreach.observability import (
    Application,
    ClientDisconnectedError,
    Receive,
    RequestTooLargeError,
    Scope,
    Send,
    read_request_body,
    respond,
)
from filbertreach.quarantine import NOTICE_PATH, FleetQuarantine
from filbertreach.quotas import (
    ACCOUNTS_PATH,
    DEMAND_PATH,
    MAX_SHOWN_ACCOUNTS,
    QUOTA_PATH,
    FleetQuotas,
    QuotaError,
)
from filbertreach.schema import (
    JsonDecoder,
    KnownHost,
    QuarantineNotice,
    QuotaReport,
    QuotaRequest,
    parse_count,
)

_MAX_WAIT_SECONDS = 10.0
_MAX_SHOWN_CHARACTERS = 80
"""Characters of an unusable value that an answer shows."""
_MAX_QUOTA_MESSAGE_BYTES = 256 * 1024
"""Bytes of a message about quotas. A seed keeps up to 128 of them; one with the largest number of
accounts and loans, and names of 20 characters, has about 200 KB."""
_MAX_NOTICE_BYTES = 256 * 1024
"""Bytes of a message about requests that crash leaves: 50 entries with long names."""
_PROBLEM_TYPE = "application/problem+json"
_LEAF_ROUTES = frozenset({(REPORTS_PATH, "POST"), (STATES_PATH, "GET")})
"""Paths and methods that `answer_about_leaves` serves."""

_REQUEST_DECODER = JsonDecoder(message=QuotaRequest)
_REPORT_DECODER = JsonDecoder(message=QuotaReport)
_NOTICE_DECODER = JsonDecoder(message=QuarantineNotice)


def neighbour_application(
    neighbours: Neighbours,
    change_log: ChangeLog,
    quotas: FleetQuotas | None = None,
    *,
    handover: RetryHandover | None = None,
    observations: SharedObservations | None = None,
    quarantine: FleetQuarantine | None = None,
) -> Application:
    """Creates the ASGI application for what gateways ask and tell each other.

    Args:
        neighbours: Receives the announcements.
        change_log: Changes of the store that this host has applied.
        quotas: Answers about quotas; None for no answers.
        handover: Keeps the retry histories of hosts that stop; None for no answers.
        observations: Answers about leaves; None for no answers.
        quarantine: Takes losses of leaves under requests; None to take none.
    """

    async def answer(path: str, query: dict[str, str]) -> object:
        if path == HOSTS_PATH:
            host = KnownHost(
                name=query["name"], address=query["address"], data_centre=query["data_centre"]
            )
            return neighbours.on_announcement(host, known_digest=query["digest"])
        if path == RETRY_HISTORIES_PATH:
            if handover is None:
                raise ValueError("no retry histories are kept")
            return handover.answer(query["host"])
        wait_seconds = min(_MAX_WAIT_SECONDS, _count(query["wait_ms"]) / 1000.0)
        return await change_log.changes_since(
            _count(query["after"]), wait_seconds=wait_seconds, epoch=_count(query["epoch"])
        )

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path in (QUOTA_PATH, DEMAND_PATH) and scope["method"] == "POST" and quotas is not None:
            await _answer_about_quotas(quotas, path, receive, send)
            return
        if path == RETRY_HISTORIES_PATH and scope["method"] == "POST" and handover is not None:
            await _take_retry_histories(handover, receive, send)
            return
        if (path, scope["method"]) in _LEAF_ROUTES and observations is not None:
            query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
            await answer_about_leaves(observations, path, query, receive, send)
            return
        if path == ACCOUNTS_PATH and scope["method"] == "GET" and quotas is not None:
            await _show_accounts(quotas, scope["query_string"], send)
            return
        if path == NOTICE_PATH and scope["method"] == "POST" and quarantine is not None:
            await _take_notice(quarantine, receive, send)
            return
        if path not in (HOSTS_PATH, CHANGES_PATH, RETRY_HISTORIES_PATH):
            await respond(send, 404, b'{"title": "not found"}\n', _PROBLEM_TYPE)
            return
        try:
            query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("ascii")))
            reply = await answer(path, {"digest": "", "epoch": "0", **query})
            body = compress(msgspec.json.encode(reply))
        except (KeyError, ValueError) as error:
            detail = msgspec.json.encode({"title": f"unusable query: {error!r}"})
            await respond(send, 400, detail, _PROBLEM_TYPE)
            return
        await respond(send, 200, body, "application/zlib")

    return application


async def _answer_about_quotas(
    quotas: FleetQuotas, path: str, receive: Receive, send: Send
) -> None:
    """Answers a quota request of a gateway, or a report of a quota host."""
    try:
        body = await read_request_body(receive, max_bytes=_MAX_QUOTA_MESSAGE_BYTES)
        reply: object
        if path == QUOTA_PATH:
            reply = quotas.on_request(_REQUEST_DECODER.decode(body))
        else:
            reply = quotas.on_report(_REPORT_DECODER.decode(body))
    except ClientDisconnectedError:
        return
    except (RequestTooLargeError, QuotaError, ValueError) as error:
        status = 503 if isinstance(error, QuotaError) else 400
        detail = msgspec.json.encode({"title": f"unusable message: {error!r}"})
        await respond(send, status, detail, _PROBLEM_TYPE)
        return
    await respond(send, 200, compress(msgspec.json.encode(reply)), "application/zlib")


async def _take_notice(quarantine: FleetQuarantine, receive: Receive, send: Send) -> None:
    """Takes a message about requests that crash leaves."""
    try:
        body = await read_request_body(receive, max_bytes=_MAX_NOTICE_BYTES)
        quarantine.on_notice(_NOTICE_DECODER.decode(body))
    except ClientDisconnectedError:
        return
    except (RequestTooLargeError, ValueError) as error:
        detail = msgspec.json.encode({"title": f"unusable message: {error!r}"})
        await respond(send, 400, detail, _PROBLEM_TYPE)
        return
    await respond(send, 200, b"{}", "application/json")


async def _take_retry_histories(handover: RetryHandover, receive: Receive, send: Send) -> None:
    """Keeps what a host that stops hands over."""
    try:
        handover.on_message(await read_request_body(receive, max_bytes=MAX_HISTORIES_BYTES))
    except ClientDisconnectedError:
        return
    except (RequestTooLargeError, ValueError) as error:
        detail = msgspec.json.encode({"title": f"unusable message: {error!r}"})
        await respond(send, 400, detail, _PROBLEM_TYPE)
        return
    await respond(send, 200, b"", "application/zlib")


async def _show_accounts(quotas: FleetQuotas, query_string: bytes, send: Send) -> None:
    """Shows operators the use of the accounts that a query names, or of those with most demand."""
    try:
        query = urllib.parse.parse_qsl(
            query_string.decode("ascii"), errors="strict", max_num_fields=MAX_SHOWN_ACCOUNTS
        )
        names = tuple(value for field, value in query if field == "name")
    except ValueError as error:
        detail = msgspec.json.encode({"title": f"unusable query: {error!r}"})
        await respond(send, 400, detail, _PROBLEM_TYPE)
        return
    await respond(send, 200, msgspec.json.encode(quotas.account_use(names)), "application/json")


def _count(text: str) -> int:
    count = parse_count(text.encode())
    if count is None:
        raise ValueError(f"{text[:_MAX_SHOWN_CHARACTERS]!r} is no count")
    return count
