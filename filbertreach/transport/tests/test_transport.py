"""Guards against lost, duplicate or misdirected messages when connections fail or peers restart."""

import contextlib

import anyio
import pytest

from filbertreach.transport import Transport
from filbertreach.transport._delay import DelayEstimator
from filbertreach.transport._transport import HEARTBEAT_SECONDS, SILENCE_SECONDS
from filbertreach_standins.ports import free_address
from filbertreach_standins.relay import Relay

_WAIT_SECONDS = 30


class _Events:
    def __init__(self):
        self.messages = []
        self.lost = []

    def on_message(self, received):
        self.messages.append(received.message["number"])

    def on_peer_lost(self, peer):
        self.lost.append(peer.address)


async def _until(condition):
    with anyio.fail_after(_WAIT_SECONDS):
        while not condition():
            await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def _pair():
    """Two transports; all traffic to the second one passes through a relay."""
    near_events, far_events = _Events(), _Events()
    far_listen = free_address()
    async with Relay(target=far_listen) as relay:
        near = Transport(name="near", address=free_address(), incarnation=1, events=near_events)
        far = Transport(
            name="far",
            address=relay.address,
            listen_address=far_listen,
            incarnation=2,
            events=far_events,
        )
        async with near, far:
            yield near, far, relay, near_events, far_events


@pytest.mark.parametrize("fault", ["none", "silence", "cut", "silence twice"])
def test_each_message_arrives_exactly_once_and_in_order(fault):
    async def run():
        async with _pair() as (near, far, relay, near_events, far_events):
            for number in range(300):
                near.send(address=far.address, message={"kind": "test", "number": number})
                if number in (100, 200) and fault != "none":
                    await _until(lambda: far_events.messages)
                    if fault == "cut":
                        await relay.close_connections()
                    elif (fault == "silence" and number == 100) or fault == "silence twice":
                        relay.blackhole_open_connections()
                await anyio.sleep(0.001)
            await _until(lambda: len(far_events.messages) >= 300)
            await anyio.sleep(0.1)
            assert far_events.messages == list(range(300))
            assert near_events.lost == []

    anyio.run(run)


def test_a_restarted_peer_receives_nothing_meant_for_its_previous_incarnation():
    async def run():
        near_events, old_events, new_events = _Events(), _Events(), _Events()
        listen = free_address()
        async with Relay(target=listen) as relay:
            address = relay.address
            near = Transport(name="n", address=free_address(), incarnation=1, events=near_events)
            async with near:
                old = Transport(
                    name="f",
                    address=address,
                    listen_address=listen,
                    incarnation=2,
                    events=old_events,
                )
                async with old:
                    near.send(address=address, message={"kind": "test", "number": 0})
                    await _until(lambda: old_events.messages == [0])
                    relay.blackhole_open_connections()
                    near.send(address=address, message={"kind": "test", "number": 1})
                    await anyio.sleep(0.05)
                new = Transport(
                    name="f",
                    address=address,
                    listen_address=listen,
                    incarnation=3,
                    events=new_events,
                )
                async with new:
                    await _until(lambda: near_events.lost and near.is_reachable(address))
                    near.send(address=address, message={"kind": "test", "number": 2})
                    await _until(lambda: new_events.messages)
                    await anyio.sleep(0.1)
        assert old_events.messages == [0]
        assert new_events.messages == [2]
        assert near_events.lost[0] == address

    anyio.run(run)


def test_a_silent_peer_is_reported_and_refuses_messages():
    async def run():
        events = _Events()
        near = Transport(name="n", address=free_address(), incarnation=1, events=events)
        async with near:
            missing = free_address()
            assert near.send(address=missing, message={"kind": "test", "number": 0})
            await _until(lambda: events.lost == [missing])
            assert not near.send(address=missing, message={"kind": "test", "number": 1})

    anyio.run(run)


@pytest.mark.parametrize("later_seconds", [0.0, 0.3])
def test_silent_peers_reach_each_other_again_after_their_connections_stalled(later_seconds):
    """Guards against peers that stay silent for each other after both directions stalled.

    If frames of one peer arrived a little later than those of the other, only one of them loses the
    other: frames over its new connection arrive before the other's silence bound.
    """

    async def run():
        listens = [free_address(), free_address()]
        events = [_Events(), _Events()]
        async with Relay(target=listens[0]) as first, Relay(target=listens[1]) as second:
            relays = [first, second]
            near, far = (
                Transport(
                    name=f"peer-{number}",
                    address=relays[number].address,
                    listen_address=listens[number],
                    incarnation=number + 1,
                    events=events[number],
                )
                for number in (0, 1)
            )
            async with near, far:
                near.keep_connected({far.address})
                far.keep_connected({near.address})
                await _until(lambda: near.is_reachable(far.address))
                await _until(lambda: far.is_reachable(near.address))
                # Neither side sends messages, so that no frame stays unacknowledged.
                before = [relay.connections for relay in relays]
                first.blackhole_open_connections()
                second.blackhole_open_connections()
                await anyio.sleep(SILENCE_SECONDS / 4)
                far.peer_by_address[near.address].last_heard_at += later_seconds
                await _until(lambda: events[0].lost or events[1].lost)
                for relay, connections in zip(relays, before, strict=True):
                    await _until(lambda r=relay, c=connections: r.connections > c)
                await _until(lambda: near.is_reachable(far.address))
                await _until(lambda: far.is_reachable(near.address))
                assert near.send(address=far.address, message={"kind": "test", "number": 1})
                assert far.send(address=near.address, message={"kind": "test", "number": 2})
                await _until(lambda: events[0].messages == [2] and events[1].messages == [1])

    anyio.run(run)


def test_a_stalled_direction_is_detected_without_unsent_messages():
    async def run():
        async with _pair() as (near, far, relay, near_events, _far_events):
            near.keep_connected({far.address})
            far.keep_connected({near.address})
            await _until(lambda: far.is_reachable(near.address))
            # Only frames from near to far pass through the relay, and near sends no messages.
            before = relay.connections
            relay.blackhole_open_connections()
            await _until(lambda: relay.connections > before)
            await _until(lambda: far.is_reachable(near.address))
            assert near_events.lost == []

    anyio.run(run)


def test_a_peer_that_removed_the_link_state_gets_messages_again():
    async def run():
        async with _pair() as (near, far, _relay, near_events, far_events):
            near.send(address=far.address, message={"kind": "test", "number": 0})
            await _until(lambda: far_events.messages == [0])
            await _until(lambda: not near.peer_by_address[far.address].unacknowledged)
            # Far does so after _UNUSED_PEER_SECONDS without a frame, for example after a pause.
            del far.peer_by_address[near.address]
            await _until(lambda: near_events.lost == [far.address])
            near.send(address=far.address, message={"kind": "test", "number": 1})
            await _until(lambda: far_events.messages == [0, 1])

    anyio.run(run)


def test_a_restarted_process_is_not_reachable_before_its_first_frame():
    async def run():
        async with _pair() as (near, far, _relay, _near_events, _far_events):
            near.keep_connected({far.address})
            await _until(lambda: near.is_reachable(far.address))
            assert near.is_reachable(far.address, incarnation=far.incarnation)
            # The view may already list the next incarnation at this address.
            assert not near.is_reachable(far.address, incarnation=far.incarnation + 1)

    anyio.run(run)


def test_delay_is_measured_against_the_fastest_recent_frame():
    estimator = DelayEstimator()
    cases = [(100.0, 5.0, 0.0), (101.0, 6.5, 0.5), (102.0, 6.9, 0.0), (103.0, 18.0, 10.1)]
    for sent_at, received_at, expected in cases:
        delay = estimator.delay_seconds(sent_at=sent_at, received_at=received_at)
        assert delay == pytest.approx(expected)


def test_a_peer_that_ended_is_reported_before_the_silence_bound():
    async def run():
        events, other = _Events(), _Events()
        near = Transport(name="n", address=free_address(), incarnation=1, events=events)
        async with near:
            far = Transport(name="f", address=free_address(), incarnation=2, events=other)
            async with far:
                near.keep_connected({far.address})
                await _until(lambda: near.is_reachable(far.address))
            ended = anyio.current_time()
            await _until(lambda: events.lost)
            # The last heartbeat was sent up to 0.5 s before the end; the rest is the silence bound
            # after a closed connection, checked every 0.5 s.
            assert anyio.current_time() - ended < SILENCE_SECONDS

    anyio.run(run)


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:0", "nowhere", ""])
def test_an_unusable_address_ends_nothing(address):
    # Guards against the end of a process by one record of a host with an address that can't be
    # dialled, and against messages that wait for ever for one with a port out of range.
    async def run():
        async with _pair() as (near, far, _relay, _near_events, far_events):
            near.keep_connected({address, far.address})
            assert not near.send(address=address, message={"kind": "test", "number": 0})
            far.send(address=near.address, message={"kind": "test", "number": 0})
            near.send(address=far.address, message={"kind": "test", "number": 1})
            await _until(lambda: far_events.messages == [1])
            assert address not in near.peer_by_address

    anyio.run(run)


def test_a_frame_from_an_unusable_address_ends_nothing():
    async def run():
        async with _pair() as (near, far, _relay, _near_events, _far_events):
            near.address = "127.0.0.1:99999"
            for number in range(3):
                near.send(address=far.address, message={"kind": "test", "number": number})
            await anyio.sleep(2 * HEARTBEAT_SECONDS)
            assert near.address not in far.peer_by_address
            near.address = "127.0.0.1:1"
            await _until(lambda: near.address in far.peer_by_address)

    anyio.run(run)


@pytest.mark.parametrize("value", [2**64, -(2**70), object()], ids=["large", "small", "object"])
def test_a_message_that_cannot_be_encoded_stops_no_other(value):
    # Guards against the end of a process by a value that it read but can't pass on.
    async def run():
        async with _pair() as (near, far, _relay, _near_events, far_events):
            near.keep_connected({far.address})
            await _until(lambda: near.is_reachable(far.address))
            assert near.send(address=far.address, message={"kind": "test", "number": 1})
            assert not near.send(address=far.address, message={"kind": "test", "number": value})
            assert near.send(address=far.address, message={"kind": "test", "number": 2})
            await _until(lambda: far_events.messages == [1, 2])

    anyio.run(run)


def test_large_messages_that_wait_together_arrive():
    # Guards against a frame that is too large to be received, and stops all messages behind it.
    async def run():
        async with _pair() as (near, far, _relay, near_events, far_events):
            for number in range(12):
                message = {"kind": "test", "number": number, "filler": "x" * 6_000_000}
                assert near.send(address=far.address, message=message)
            await _until(lambda: len(far_events.messages) >= 12)
            assert far_events.messages == list(range(12))
            assert near_events.lost == []

    anyio.run(run)


def test_a_message_that_no_frame_can_carry_is_refused():
    async def run():
        async with _pair() as (near, far, _relay, _near_events, far_events):
            message = {"kind": "test", "number": 0, "filler": "x" * (32 * 1024 * 1024)}
            assert not near.send(address=far.address, message=message)
            near.send(address=far.address, message={"kind": "test", "number": 1})
            await _until(lambda: far_events.messages)
            assert far_events.messages == [1]

    anyio.run(run)


@pytest.mark.parametrize("start", [b"", b"\x00SP\x00\x00\x50\x00\x00"], ids=["junk", "one frame"])
def test_bytes_without_end_close_their_connection(start):
    # Guards against a process whose bytes are no frames and use up the memory of its peers.
    async def run():
        async with _pair() as (near, far, _relay, near_events, _far_events):
            host, port = near.address.split(":")
            stream = await anyio.connect_tcp(host, int(port))
            sent = 0
            with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
                await stream.send(start)
                while sent < 256 * 1024 * 1024:
                    await stream.send(b"\xff" * 65536)
                    sent += 65536
                raise AssertionError("the connection was not closed")
            await stream.aclose()
            far.send(address=near.address, message={"kind": "test", "number": 1})
            await _until(lambda: near_events.messages)

    anyio.run(run)
