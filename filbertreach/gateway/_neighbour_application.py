"""HTTP interface towards gateways of other hosts."""

import urllib.parse

import msgspec

from filbertreach.gateway._neighbours import HOSTS_PATH, NEWS_PATH, Neighbours, compress
from filbertreach.gateway._news import News
from filbertreach.observability import Application, Receive, Scope, Send, respond
from filbertreach.schema import KnownHost

_MOST_WAIT_SECONDS = 10.0


def neighbour_application(neighbours: Neighbours, news: News) -> Application:
    """Makes the ASGI application for introductions and news.

    Args:
        neighbours: Takes introductions.
        news: What this host knows of the store.
    """

    async def answer(path: str, query: dict[str, str]) -> object:
        if path == HOSTS_PATH:
            host = KnownHost(
                name=query["name"], address=query["address"], data_centre=query["data_centre"]
            )
            return neighbours.introduced(host, known_digest=query["digest"])
        wait_seconds = min(_MOST_WAIT_SECONDS, int(query["wait_ms"]) / 1000.0)
        return await news.since(int(query["after"]), wait_seconds=wait_seconds)

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path not in (HOSTS_PATH, NEWS_PATH):
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
