"""The client of the deployment's store with faulty answers."""

import json
import urllib.parse

import anyio
from returns.result import Failure, Success

from filbertreach.observability import HttpServer, Receive, Scope, Send, respond
from filbertreach.platform import DeploymentStore, PlatformUnavailableError, StoredItem
from filbertreach_standins.ports import free_address

_PAGE_BY_START = {
    "": {"items": [{"key": "a", "revision": 1, "value": "MQ=="}], "at_rev": 7, "has_more": True},
    "a": {"items": [], "at_rev": 7, "has_more": True},
    "b": {"items": [{"key": "b/1", "revision": 2, "value": "Mg=="}], "at_rev": 7},
}
"""Answer to a listing by the key after which it continues, or by its prefix."""


async def _application(scope: Scope, receive: Receive, send: Send) -> None:
    if scope["type"] == "http":
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        page = _PAGE_BY_START[query.get("after", query.get("prefix", ""))]
        await respond(send, 200, json.dumps(page).encode(), "application/json")


def test_a_listing_with_an_empty_page_before_its_end_is_no_listing() -> None:
    # Guards against leaves that seem to have left because a part of the listing is missing.
    async def run() -> None:
        address = free_address()
        server = HttpServer(address=address, application=_application, drain_seconds=1.0)
        async with (
            DeploymentStore(address=address, timeout_seconds=5.0) as store,
            anyio.create_task_group() as group,
        ):
            await group.start(server.run)
            result = await store.list_prefix("")
            assert isinstance(result, Failure)
            assert isinstance(result.failure(), PlatformUnavailableError)
            whole = await store.list_prefix("b")
            assert isinstance(whole, Success)
            assert whole.unwrap().item_by_key == {"b/1": StoredItem("b/1", b"2", 2)}
            server.stop()

    anyio.run(run)
