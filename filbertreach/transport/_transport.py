"""Inbox and outboxes of one process.

Delivery is at most once and in order for each pair of incarnations: frames are numbered and
acknowledged, and sent again over a new connection when a connection stalls, that is, accepts data
without delivering it. Frames are addressed to an incarnation from which a frame was received, so
that a restarted peer accepts none that were meant for its previous incarnation.
"""

import logging
from types import TracebackType
from typing import Any, NamedTuple, Protocol, Self, cast

import anyio
import anyio.abc
import msgspec
import pynng

from filbertreach.schema import Frame, InvalidMessageError, MsgpackDecoder, parse_address
from filbertreach.timing import Clock, SystemClock
from filbertreach.transport._errors import TransportError
from filbertreach.transport._peer import ConnectionState, Peer, PeerState, SentFrame

HEARTBEAT_SECONDS = 0.5
"""Maximum interval between two frames to a peer."""
SILENCE_SECONDS = 2.0
"""A peer from which no frame is received for this long is silent."""
_CLOSED_CONNECTION_SILENCE_SECONDS = 0.75
"""Silence bound after the peer closed its connection, which means that the process has probably
ended. More than one heartbeat, because a peer may also replace its connections."""
_STALLED_CONNECTION_SECONDS = 1.2
"""A connection whose frames stay unacknowledged for this long is stalled. More than two heartbeats,
which carry the acknowledgement if no other frame does."""
_PAUSE_DETECTION_SECONDS = 1.0
"""A heartbeat wait that takes longer than this means that the process was paused."""
_UNUSED_PEER_SECONDS = 60.0
"""State of a peer that is neither used nor kept connected is removed after this time."""
_MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Larger frames are not received; a connection holds at most one that is incomplete."""
_MAX_MESSAGE_BYTES = _MAX_FRAME_BYTES - 64 * 1024
_MAX_MESSAGES_PER_FRAME = 1000
_MAX_BATCH_BYTES = 1024 * 1024
"""Messages of more bytes are sent in several frames, one of them in a frame of its own."""
_MAX_UNACKNOWLEDGED_FRAMES = 4000
_SEND_TIMEOUT_MS = 500
_RECONNECT_MIN_MS = 20
_RECONNECT_MAX_MS = 500

_LOGGER = logging.getLogger(__name__)


class ReceivedMessage(NamedTuple):
    """A received message with its origin."""

    sender: str
    """Process name of the sender."""
    address: str
    """ip:port of the sender's inbox, to which replies are sent."""
    incarnation: int
    """Incarnation of the sender."""
    delay_seconds: float
    """Transit time beyond that of the fastest recent frame, for example in a paused process."""
    message: dict[str, Any]
    """The message."""


class PeerEventHandler(Protocol):
    """Callbacks of a transport."""

    def on_message(self, received: ReceivedMessage) -> None:
        """Handles one message."""

    def on_peer_lost(self, peer: Peer) -> None:
        """Handles a peer that became silent or was restarted; undelivered messages are dropped."""


class Transport:
    """Inbox of this process, and an outbox with its own task for each peer."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        incarnation: int,
        events: PeerEventHandler,
        clock: Clock | None = None,
        listen_address: str | None = None,
    ) -> None:
        """Prepares a transport; enter it to listen.

        Args:
            name: Process name.
            address: ip:port at which peers reach the inbox of this process.
            incarnation: Incarnation of this process, new for each start.
            events: Callbacks for messages and lost peers.
            clock: Source of time.
            listen_address: ip:port to listen on if it differs from `address`.
        """
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.peer_by_address: dict[str, Peer] = {}
        self._listen_address = listen_address or address
        self._event_handler = events
        self._clock: Clock = clock or SystemClock()
        self._kept_connected: set[str] = set()
        self._inbox: pynng.Pull0 | None = None
        self._group: anyio.abc.TaskGroup | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = MsgpackDecoder(message=Frame)

    async def __aenter__(self) -> Self:
        """Listens and starts the inbox task.

        Raises:
            TransportError: Listening on the address failed.
        """
        try:
            self._inbox = pynng.Pull0(
                listen=f"tcp://{self._listen_address}", recv_max_size=_MAX_FRAME_BYTES
            )
        except pynng.NNGException as error:
            raise TransportError(f"can't listen on {self._listen_address}: {error}") from error
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_inbox, name="inbox")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stops all tasks and closes the sockets."""
        assert self._group is not None and self._inbox is not None
        self._group.cancel_scope.cancel()
        result = await self._group.__aexit__(kind, error, trace)
        self._inbox.close()
        return result

    def send(self, *, address: str, message: Any) -> bool:
        """Queues a message for a peer.

        Args:
            address: ip:port of the peer's inbox.
            message: A message of `filbertreach.schema`.

        Returns:
            Whether the message was queued; False if the peer is silent or has too many
            unacknowledged frames, its address is unusable, or the message is too large or can't
            be encoded.
        """
        peer = self._peer(address)
        if peer is None or peer.state is PeerState.SILENT:
            return False
        if len(peer.unacknowledged) >= _MAX_UNACKNOWLEDGED_FRAMES:
            return False
        try:
            encoded = msgspec.Raw(self._encoder.encode(message))
        except (TypeError, OverflowError, RecursionError) as error:
            # A frame that can't be encoded would stop the messages behind it.
            _LOGGER.error("message to %s not sent: %s", address, error)
            return False
        if memoryview(encoded).nbytes > _MAX_MESSAGE_BYTES:
            _LOGGER.error("message to %s not sent: over %d bytes", address, _MAX_MESSAGE_BYTES)
            return False
        peer.last_used_at = self._clock.now()
        peer.unsent.append(encoded)
        peer.notify()
        return True

    def keep_connected(self, addresses: set[str]) -> None:
        """Sets the peers whose links are kept open without traffic.

        Args:
            addresses: ip:port of inboxes.
        """
        self._kept_connected = addresses - {self.address}
        for address in self._kept_connected:
            self._peer(address)

    def is_reachable(self, address: str, *, incarnation: int = 0) -> bool:
        """Returns whether messages sent now are likely to arrive.

        Args:
            address: ip:port of the peer's inbox.
            incarnation: Minimum incarnation of the peer. A message to a process that was just
                restarted is lost if it is still addressed to the previous incarnation.

        Returns:
            Whether a frame was received within the silence bound and the connection is open.
        """
        peer = self.peer_by_address.get(address)
        return (
            peer is not None
            and peer.state is PeerState.REACHABLE
            and peer.connection.is_open
            and peer.incarnation >= incarnation
        )

    async def flush(self, *, seconds: float) -> bool:
        """Waits until every reachable peer has acknowledged all frames.

        Args:
            seconds: Maximum wait.

        Returns:
            Whether all frames were acknowledged in time.
        """
        with anyio.move_on_after(seconds):
            while any(
                peer.unsent or peer.unacknowledged
                for peer in self.peer_by_address.values()
                if peer.state is PeerState.REACHABLE
            ):
                await anyio.sleep(0.02)
            return True
        return False

    def _peer(self, address: str) -> Peer | None:
        """Returns the link to a peer, created if it is unknown; None for an unusable address."""
        peer = self.peer_by_address.get(address)
        if peer is None:
            assert self._group is not None
            try:
                parse_address(address)
            except ValueError as error:
                _LOGGER.warning("peer not connected: %s", error)
                return None
            peer = Peer(address=address, created_at=self._clock.now())
            self.peer_by_address[address] = peer
            self._group.start_soon(self._run_outbox, peer, name=f"outbox {address}")
        return peer

    async def _run_inbox(self) -> None:
        assert self._inbox is not None
        while True:
            data = await self._inbox.arecv()
            try:
                frame = self._decoder.decode(data)
            except InvalidMessageError as error:
                _LOGGER.warning("invalid frame dropped: %s", error)
                continue
            self._handle_frame(frame)

    def _handle_frame(self, frame: Frame) -> None:
        peer = self._peer(frame["address"])
        if peer is None or not peer.accepts_incarnation(frame["incarnation"]):
            return
        self._record_heard(peer, frame)
        if frame["receiver_incarnation"] != self.incarnation:
            # Addressed to a previous incarnation. The next heartbeat tells the sender this one.
            return
        if peer.has_lost_link_state(acknowledged_epoch=frame["acknowledged_epoch"]):
            # The peer would reject every later frame of this epoch as out of order.
            peer.drop_undelivered()
            self._event_handler.on_peer_lost(peer)
        peer.acknowledge(epoch=frame["acknowledged_epoch"], sequence=frame["acknowledged_sequence"])
        if frame["heard_seconds"] > _STALLED_CONNECTION_SECONDS:
            peer.is_outgoing_stalled = True
            peer.notify()
        if not frame["messages"]:
            return
        if not peer.accept(epoch=frame["epoch"], sequence=frame["sequence"]):
            return
        delay = peer.delay.delay_seconds(sent_at=frame["sent_at"], received_at=self._clock.now())
        for message in frame["messages"]:
            self._event_handler.on_message(
                ReceivedMessage(peer.name, peer.address, peer.incarnation, delay, message)
            )

    def _record_heard(self, peer: Peer, frame: Frame) -> None:
        peer.last_heard_at = self._clock.now()
        peer.state = PeerState.REACHABLE
        peer.name = frame["sender"]
        if frame["incarnation"] == peer.incarnation:
            return
        was_known = peer.incarnation != 0
        peer.begin_incarnation(frame["incarnation"])
        if was_known:
            peer.drop_undelivered()
            self._event_handler.on_peer_lost(peer)
        peer.notify()

    async def _run_outbox(self, peer: Peer) -> None:
        while self.peer_by_address.get(peer.address) is peer:
            self._check_silence(peer, self._clock.now(), paused=False)
            with pynng.Push0(
                send_timeout=_SEND_TIMEOUT_MS,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            ) as socket:
                peer.connection = _track_connection(socket)
                socket.dial(f"tcp://{peer.address}", block=False)
                try:
                    await self._serve_connection(peer, socket)
                except pynng.NNGException as error:
                    _LOGGER.debug("replacing the connection to %s: %s", peer.address, error)

    async def _serve_connection(self, peer: Peer, socket: pynng.Push0) -> None:
        """Sends over one connection until it has to be replaced or the peer is removed."""
        opened_at = self._clock.now()
        peer.is_outgoing_stalled = False
        for sent in list(peer.unacknowledged):
            if sent.epoch == peer.epoch:
                await self._send(peer, socket, sent)
        await self._send(peer, socket, None)
        while True:
            wait_from = self._clock.now()
            with anyio.move_on_after(HEARTBEAT_SECONDS):
                await peer.wake.wait()
            peer.wake = anyio.Event()
            now = self._clock.now()
            self._check_silence(peer, now, paused=now - wait_from > _PAUSE_DETECTION_SECONDS)
            if self._remove_if_unused(peer, now):
                return
            if peer.unsent and peer.incarnation:
                await self._send_messages(peer, socket)
            else:
                await self._send(peer, socket, None)
            if peer.state is PeerState.SILENT and now - opened_at > SILENCE_SECONDS:
                # If the connection is stalled, a recovered peer would stay undetected.
                return
            if peer.is_outgoing_stalled and now - opened_at > _STALLED_CONNECTION_SECONDS:
                # Frames of the peer arrive here, so only the outgoing direction is stalled.
                return
            oldest = peer.unacknowledged[0].sent_at if peer.unacknowledged else now
            if now - max(oldest, opened_at) > _STALLED_CONNECTION_SECONDS:
                return

    async def _send_messages(self, peer: Peer, socket: pynng.Push0) -> None:
        while peer.unsent:
            messages = _first_batch(peer.unsent)
            del peer.unsent[: len(messages)]
            peer.sequence += 1
            sent = SentFrame(
                peer.incarnation, peer.epoch, peer.sequence, self._clock.now(), messages
            )
            peer.unacknowledged.append(sent)
            await self._send(peer, socket, sent)

    async def _send(self, peer: Peer, socket: pynng.Push0, sent: SentFrame | None) -> None:
        frame = Frame(
            sender=self.name,
            address=self.address,
            incarnation=self.incarnation,
            receiver_incarnation=sent.receiver_incarnation if sent else peer.incarnation,
            epoch=sent.epoch if sent else peer.epoch,
            sequence=sent.sequence if sent else 0,
            sent_at=sent.sent_at if sent else self._clock.now(),
            acknowledged_epoch=peer.received_epoch,
            acknowledged_sequence=peer.received_sequence,
            heard_seconds=self._clock.now() - peer.last_heard_at if peer.incarnation else -1.0,
            messages=cast(list[dict[str, Any]], sent.messages) if sent else [],
        )
        await socket.asend(self._encoder.encode(frame))

    def _check_silence(self, peer: Peer, now: float, *, paused: bool) -> None:
        if paused:
            # After a pause of this process, frames of its peers are still unread in the inbox.
            peer.last_heard_at = now
        ended = peer.state is PeerState.REACHABLE and not peer.connection.is_open
        bound = _CLOSED_CONNECTION_SILENCE_SECONDS if ended else SILENCE_SECONDS
        if peer.state is not PeerState.SILENT and now - peer.last_heard_at > bound:
            peer.state = PeerState.SILENT
            peer.drop_undelivered()
            self._event_handler.on_peer_lost(peer)

    def _remove_if_unused(self, peer: Peer, now: float) -> bool:
        if peer.address in self._kept_connected:
            return False
        if now - max(peer.last_used_at, peer.last_heard_at) <= _UNUSED_PEER_SECONDS:
            return False
        self.peer_by_address.pop(peer.address, None)
        return True


def _first_batch(messages: list[msgspec.Raw]) -> list[msgspec.Raw]:
    """Returns the first messages, as many as fit into a frame; at least one."""
    batch: list[msgspec.Raw] = []
    byte_count = 0
    for message in messages[:_MAX_MESSAGES_PER_FRAME]:
        byte_count += memoryview(message).nbytes
        if batch and byte_count > _MAX_BATCH_BYTES:
            break
        batch.append(message)
    return batch


def _track_connection(socket: pynng.Push0) -> ConnectionState:
    """Returns the state of a socket's connection, which callbacks keep up to date."""
    state = ConnectionState()

    def opened(_pipe: pynng.Pipe) -> None:
        state.is_open = True

    def closed(_pipe: pynng.Pipe) -> None:
        state.is_open = False

    socket.add_post_pipe_connect_cb(opened)
    socket.add_post_pipe_remove_cb(closed)
    return state
