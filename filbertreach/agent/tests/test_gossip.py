"""Guards against gossip that does not converge, or whose cost grows with the size of the fleet."""

import collections

import msgspec
import pytest

from filbertreach.agent._call_records import CallRecordTable
from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._gossip import Gossiper, GossipOptions, next_version
from filbertreach.agent._host_list import LatestHostList
from filbertreach.membership import HostTable, Version
from filbertreach.timing import FakeClock
from filbertreach.transport import ReceivedMessage

_TEXT = "[environment]\nname = shop\n"


class _Network:
    """Delivers messages between gossipers in order and counts their bytes."""

    def __init__(self):
        self.clock = FakeClock(start=100.0)
        self.queue = collections.deque()
        self.gossipers = {}
        self.bytes = 0
        self.messages = 0

    def add(self, address, states=()):
        network = self

        class Transport:
            def send(self, *, address, message):
                network.queue.append((self.sender, address, message))
                return True

        transport = Transport()
        transport.sender = address
        options = GossipOptions(
            transport=transport,
            table=HostTable(),
            latest_host_list=LatestHostList(),
            document_table=DocumentTable(),
            call_records=CallRecordTable(),
            clock=self.clock,
            fanout=3,
            is_ready=lambda: True,
            on_change=lambda: None,
        )
        options.table.merge(states)
        self.gossipers[address] = (Gossiper(options), options)
        return self.gossipers[address]

    def run(self):
        while self.queue:
            sender, address, message = self.queue.popleft()
            data = msgspec.msgpack.encode(message)
            self.bytes += len(data)
            self.messages += 1
            message = msgspec.msgpack.decode(data)
            received = ReceivedMessage(sender, sender, 1, 0.0, message)
            self.gossipers[address][0].on_gossip(received)


def _state(number, counter=1):
    return {
        "host": f"host-{number}",
        "version": [1, counter],
        "agent_address": f"10.0.{number // 250}.{number % 250}:7100",
        "region": "minho",
        "data_centre": "minho-1",
        "state": "live",
        "members": [],
        "suspects": [],
    }


def _pair(states_a, states_b):
    network = _Network()
    a, a_options = network.add("a", states_a)
    b, b_options = network.add("b", states_b)
    a.neighbour_addresses, b.neighbour_addresses = {"b"}, {"a"}
    return network, (a, a_options), (b, b_options)


def test_a_round_without_changes_costs_the_same_at_any_fleet_size():
    sizes = {}
    for hosts in (8, 1200):
        states = [_state(number) for number in range(hosts)]
        network, (a, _), _ = _pair(states, states)
        a.start_round()
        network.run()
        sizes[hosts] = (network.messages, network.bytes)
    assert sizes[8][0] == sizes[1200][0] == 1
    # The digest is an integer; the lengths of two encodings differ by at most 8 bytes.
    assert abs(sizes[1200][1] - sizes[8][1]) <= 8


@pytest.mark.parametrize("outdated_side", ["a", "b"])
def test_one_differing_state_in_a_large_fleet_is_repaired_without_sending_all(outdated_side):
    states = [_state(number) for number in range(1200)]
    newer = [*states[:-1], _state(1199, counter=2)]
    network, (a, a_options), (_b, b_options) = _pair(
        *((states, newer) if outdated_side == "a" else (newer, states))
    )
    a.start_round()
    network.run()
    assert a_options.table.state_by_host == b_options.table.state_by_host
    whole = len(msgspec.msgpack.encode(states))
    assert network.bytes < whole / 30


def test_a_new_document_is_fetched_once_from_one_peer():
    network = _Network()
    gossipers = {name: network.add(name) for name in "abcd"}
    for name, (gossiper, _) in gossipers.items():
        gossiper.neighbour_addresses = set("abcd") - {name}
    text = _TEXT + "#" * 10_000
    gossipers["a"][1].document_table.accept(environment="shop", generation=4, text=text)
    gossipers["a"][0].announce()
    network.run()
    assert all(
        options.document_table.generations == {"shop": 4} for _, options in gossipers.values()
    )
    assert network.bytes < 4 * len(text)


def test_a_host_list_reaches_all_agents():
    network = _Network()
    gossipers = {name: network.add(name) for name in "abc"}
    for left, right in ("ab", "bc"):
        gossipers[left][0].neighbour_addresses.add(right)
        gossipers[right][0].neighbour_addresses.add(left)
    host_list = {"as_of": 9.0, "leaving_hosts": [], "leaving_addresses": ["10.1.1.1"]}
    gossipers["a"][1].latest_host_list.merge(host_list)
    gossipers["a"][0].forward_host_list()
    network.run()
    assert all(options.latest_host_list.latest == host_list for _, options in gossipers.values())


@pytest.mark.parametrize(
    ("known", "expected"),
    [(None, (5, 1)), ([4, 7], (5, 1)), ([5, 2], (5, 3)), ([9, 2], (9, 3))],
)
def test_the_next_version_is_higher_than_any_known_one(known, expected):
    table = HostTable()
    if known:
        table.merge([{**_state(1), "version": known}])
    assert next_version(table=table, host="host-1", incarnation=5) == Version(*expected)
