"""Guards against a view that returns to an older document or depends on a reachable agent."""

import anyio
import pytest

from filbertreach.membership import ViewClient, ViewError
from filbertreach.timing import FakeClock
from filbertreach.transport import ReceivedMessage

TEXT = "[environment]\nname = shop\n"
PROCESS = {
    "name": "entry-1",
    "host": "host-1",
    "region": "minho",
    "data_centre": "minho-1",
    "inbox": "127.0.0.1:1",
    "http": "127.0.0.1:2",
}
AGENT = "127.0.0.1:9"


class _Transport:
    address = "127.0.0.1:1"
    incarnation = 7

    def __init__(self):
        self.sent = []

    def is_reachable(self, address):
        return False

    def keep_connected(self, addresses):
        self.kept = addresses

    def send(self, *, address, message):
        self.sent.append((address, message))
        return True


def _received(documents, address=AGENT, members=(), leaving=()):
    message = {
        "kind": "view",
        "documents": [
            {"environment": "shop", "generation": generation, "text": text, "usable": usable}
            for generation, text, usable in documents
        ],
        "members": list(members),
        "leaving_addresses": list(leaving),
    }
    return ReceivedMessage("agent-1", address, 3, 0.0, message)


def _client(transport, view=None):
    return ViewClient(
        process=PROCESS, view=view or {"agent": AGENT}, role="entry", transport=transport
    )


@pytest.mark.parametrize(
    ("copies", "generation", "usable"),
    [
        ([(2, TEXT, True)], 2, True),
        ([(2, TEXT, True), (1, TEXT, True)], 2, True),
        ([(2, TEXT, True), (1, TEXT, False)], 2, True),
        ([(2, TEXT, True), (2, "", False)], 2, False),
        ([(2, TEXT, True), (3, "", True)], 2, True),
        ([(2, TEXT, True), (3, TEXT, False)], 3, False),
        ([(2, TEXT, True), (3, "not a document", True)], 2, True),
    ],
)
def test_the_generation_of_a_document_never_decreases(copies, generation, usable):
    client = _client(_Transport())
    for copy in copies:
        client.on_view(_received([copy]))
    assert client.environment_by_name["shop"].generation == generation
    assert client.usable("shop") is usable


def test_an_environment_without_a_document_is_not_usable():
    assert not _client(_Transport()).usable("shop")


def test_a_view_that_is_not_from_the_agent_is_dropped():
    client = _client(_Transport())
    client.on_view(_received([(2, TEXT, True)], address="127.0.0.1:8"))
    assert not client.is_loaded


@pytest.mark.parametrize(
    ("undecided", "seconds", "usable"),
    [(False, 3600.0, True), (True, 4.0, True), (True, 6.0, False)],
)
def test_a_lost_agent_stops_an_environment_only_during_a_change(undecided, seconds, usable):
    clock = FakeClock()
    client = ViewClient(
        process=PROCESS,
        view={"agent": AGENT},
        role="entry",
        transport=_Transport(),
        clock=clock,
    )
    received = _received([(2, TEXT, True)])
    received.message["documents"][0]["undecided"] = undecided
    client.on_view(received)
    clock.advance(seconds)
    assert client.usable("shop") is usable


def test_hello_carries_state_and_generations():
    async def run():
        transport = _Transport()
        async with _client(transport) as client:
            client.set_state("live")
            client.on_view(_received([(4, TEXT, True)]))
        address, hello = transport.sent[-1]
        assert address == AGENT
        assert hello["member"]["state"] == "live"
        assert hello["generations"] == {"shop": 4}

    anyio.run(run)


def test_files_replace_the_agent(tmp_path):
    path = tmp_path / "shop.ini"
    path.write_text(TEXT)
    view = {
        "documents": [str(path)],
        "members": ["dispatch-1 dispatch 127.0.0.1:5 minho minho-1"],
    }

    async def run():
        async with _client(_Transport(), view) as client:
            assert client.usable("shop")
            assert {member["name"] for member in client.members} == {"dispatch-1", "entry-1"}

    anyio.run(run)


@pytest.mark.parametrize("view", [{"documents": ["/missing"]}, {"members": ["a b c"]}])
def test_errors_name_the_section_of_unusable_files(view):
    async def run():
        async with _client(_Transport(), view):
            pass

    with pytest.raises(ViewError, match=r"\[view\]"):
        anyio.run(run)
