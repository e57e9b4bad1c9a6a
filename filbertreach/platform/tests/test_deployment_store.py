"""The client of the deployment's store with faulty answers."""

import json
import urllib.parse
from typing import Any

import anyio
from returns.result import Failure, Result, Success

from filbertreach.observability import HttpServer, Receive, Scope, Send
from filbertreach.platform import (
    DeploymentStore,
    PlatformError,
    PlatformUnavailableError,
    StoredItem,
)
from filbertreach_standins.ports import free_address

_PAGE_BY_START = {
    "": {"items": [{"key": "a", "revision": 1, "value": "MQ=="}], "at_rev": 7, "has_more": True},
    "a": {"items": [], "at_rev": 7, "has_more": True},
    "b": {"items": [{"key": "b/1", "revision": 2, "value": "Mg=="}], "at_rev": 7},
    "c": {"items": [{"key": "c/1", "revision": 1}], "at_rev": 7, "has_more": True},
    "c/1": {"items": [], "at_rev": 3},
}
"""Answer to a listing by the key after which it continues, or by its prefix."""


_EPOCH_BY_START = {"b": "5", "c": "5", "c/1": "6"}
"""Epoch in the header of an answer, by the same key."""


async def _application(scope: Scope, receive: Receive, send: Send) -> None:
    if scope["type"] == "http":
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        start = query.get("after", query.get("prefix", ""))
        body = json.dumps(_PAGE_BY_START[start]).encode()
        epoch = _EPOCH_BY_START.get(start, "")
        headers = [(b"content-type", b"application/json"), (b"store-era", epoch.encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})


def _list_prefixes(*prefixes: str) -> list[Result[Any, PlatformError]]:
    """Returns the listings of prefixes."""

    async def run() -> list[Result[Any, PlatformError]]:
        address = free_address()
        server = HttpServer(address=address, application=_application, drain_seconds=1.0)
        async with (
            DeploymentStore(address=address, timeout_seconds=5.0) as store,
            anyio.create_task_group() as group,
        ):
            await group.start(server.run)
            results = [await store.list_prefix(prefix) for prefix in prefixes]
            server.stop()
        return results

    return anyio.run(run)


def test_a_listing_with_an_empty_page_before_its_end_is_no_listing() -> None:
    # Guards against leaves that seem to have left because a part of the listing is missing.
    result, whole = _list_prefixes("", "b")
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), PlatformUnavailableError)
    assert isinstance(whole, Success)
    assert whole.unwrap().item_by_key == {"b/1": StoredItem("b/1", b"2", 2)}
    assert whole.unwrap().epoch == 5


def test_a_listing_during_which_the_store_is_restored_is_no_listing() -> None:
    # Guards against a listing that mixes the keys of the store before and after it was restored.
    (result,) = _list_prefixes("c")
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), PlatformUnavailableError)
