"""Stand-in for the store of a deployment, with range reads and watches over all keys.

It can be restored from a copy, which takes the last changes and their revisions back.
"""

import base64
import collections
import random
from typing import Any

import anyio

from filbertreach_standins._faults import Fault, non_negative_integer, one_of
from filbertreach_standins._http import Receive, Send, query_parameters, send_json
from filbertreach_standins._server import Connection, StandIn

DEPLOYMENT_STORE_FAULTS = (
    Fault(
        "outage",
        False,
        one_of(False, True, "hang"),
        'true: 503; "hang": calls are never answered, also watches that wait',
    ),
    Fault("most_events", 1000, non_negative_integer, "most events in the answer of a watch"),
    Fault("no_history", False, one_of(False, True), "true: watches get 410"),
)
"""Faults in addition to `CONNECTION_FAULTS`."""


class DeploymentStoreService(StandIn):
    """Holds keys and the full history of their changes."""

    def __init__(self, *, seed: int = 0) -> None:
        """Creates an empty store.

        Args:
            seed: Seed of faults that affect a share of calls.
        """
        super().__init__(faults=DEPLOYMENT_STORE_FAULTS, generator=random.Random(seed))
        self._calls: collections.Counter[str] = collections.Counter()
        self._revision = 1
        self._epoch = 1
        self._lost_value_by_key: dict[str, str | None] = {}
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = anyio.Event()

    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the number of calls by kind and the revision."""
        return {"calls": dict(self._calls), "revision": self._revision}

    def reset(self) -> None:
        """Clears the call counters; keys stay, because running gateways follow them."""
        self._calls.clear()

    def faults_changed(self, names: set[str]) -> None:
        """Wakes waiting watches so that they apply the faults."""
        self._notify()

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answers an administrative request.

        `PUT /admin/keys` sets each key to its text, or removes it if null. `PUT /admin/restore`
        returns to a copy without the last `lost_changes` changes, whose revisions are given out
        again. `PUT /admin/rewrite` writes what was lost, unless its key was written since.
        """
        if (method, path) == ("PUT", "/admin/keys"):
            self._write(body)
        elif (method, path) == ("PUT", "/admin/restore"):
            self._restore(body["lost_changes"])
        elif (method, path) == ("PUT", "/admin/rewrite"):
            self._write(dict(self._lost_value_by_key))
        else:
            return None
        return 200, {"revision": self._revision}

    def _write(self, text_by_key: dict[str, str | None]) -> None:
        for key, text in text_by_key.items():
            self._lost_value_by_key.pop(key, None)
            self._revision += 1
            event: dict[str, Any] = {"key": key, "revision": self._revision}
            if text is None:
                self._item_by_key.pop(key, None)
                event["compacted"] = True
            else:
                event["value"] = base64.b64encode(text.encode()).decode()
                self._item_by_key[key] = event
            self._events.append(event)
        self._notify()

    def _restore(self, lost_changes: int) -> None:
        kept = max(0, len(self._events) - lost_changes)
        lost = self._events[kept:]
        del self._events[kept:]
        self._lost_value_by_key.update((event["key"], _text(event)) for event in lost)
        self._revision = self._events[-1]["revision"] if self._events else 1
        self._epoch += 1
        self._item_by_key.clear()
        for event in self._events:
            if event.get("compacted"):
                self._item_by_key.pop(event["key"], None)
            else:
                self._item_by_key[event["key"]] = event
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def handle(
        self, connection: Connection, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers a range read or a watch."""
        query = query_parameters(scope)
        kind = scope["path"].rsplit("-", 1)[-1]
        self._calls[kind] += 1
        events: list[dict[str, Any]] = []
        if kind == "watch" and not self.faults.value("outage"):
            events = await self._wait_for_events(
                int(query["after"]), int(query["wait_ms"]) / 1000.0
            )
        if self.faults.value("outage") == "hang":
            await anyio.sleep_forever()
        epoch = [(b"store-era", b"%d" % self._epoch)]
        if self.faults.value("outage"):
            await send_json(send, 503, {}, epoch)
        elif kind == "range":
            items = [v for k, v in sorted(self._item_by_key.items()) if k > query.get("after", "")]
            await send_json(send, 200, {"items": items, "at_rev": self._revision}, epoch)
        elif self.faults.value("no_history") or int(query["after"]) > self._revision:
            await send_json(send, 410, {}, epoch)
        else:
            at_revision = events[-1]["revision"] if events else self._revision
            await send_json(send, 200, {"events": events, "at_rev": at_revision}, epoch)

    async def _wait_for_events(self, after: int, seconds: float) -> list[dict[str, Any]]:
        epoch = self._epoch
        with anyio.move_on_after(seconds):
            while (
                self._revision == after and self._epoch == epoch and not self.faults.value("outage")
            ):
                await self._changed.wait()
        newer = [event for event in self._events if event["revision"] > after]
        return newer[: self.faults.value("most_events")]


def _text(event: dict[str, Any]) -> str | None:
    """Returns the value that a change has written; None if it has removed the key."""
    return None if event.get("compacted") else base64.b64decode(event["value"]).decode()
