"""ASGI application for gateways on other hosts."""

import urllib.parse

import msgspec

from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._neighbours import CHANGES_PATH, HOSTS_PATH, Neighbours, compress
from filbertreach.observability import Application, Receive, Scope, Send, respond
from filbertreach.schema import KnownHost, parse_count

_MAX_WAIT_SECONDS = 10.0
_MAX_SHOWN_CHARACTERS = 80
"""Characters of an unusable value that an answer shows."""


def neighbour_application(neighbours: Neighbours, change_log: ChangeLog) -> Application:
    """Creates the ASGI application for announcements of hosts and changes of the store.

    Args:
        neighbours: Receives the announcements.
        change_log: Changes of the store that this host has applied.
    """

    async def answer(path: str, query: dict[str, str]) -> object:
        if path == HOSTS_PATH:
            host = KnownHost(
                name=query["name"], address=query["address"], data_centre=query["data_centre"]
            )
            return neighbours.on_announcement(host, known_digest=query["digest"])
        wait_seconds = min(_MAX_WAIT_SECONDS, _count(query["wait_ms"]) / 1000.0)
        return await change_log.changes_since(_count(query["after"]), wait_seconds=wait_seconds)

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path not in (HOSTS_PATH, CHANGES_PATH):
            await respond(send, 404, b'{"title": "not found"}\n', "application/problem+json")
            return
        try:
            query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("ascii")))
            body = compress(msgspec.json.encode(await answer(path, {"digest": "", **query})))
        except (KeyError, ValueError) as error:
            detail = msgspec.json.encode({"title": f"unusable query: {error!r}"})
            await respond(send, 400, detail, "application/problem+json")
            return
        await respond(send, 200, body, "application/zlib")

    return application


def _count(text: str) -> int:
    count = parse_count(text.encode())
    if count is None:
        raise ValueError(f"{text[:_MAX_SHOWN_CHARACTERS]!r} is no count")
    return count
