"""Calls to leaves as seen by all gateways of a data centre."""

import random
import socket
import zlib
from typing import Protocol

import anyio
import msgspec

from filbertreach.decisions import LeafOutcome
from filbertreach.gateway._metrics import SAMPLES
from filbertreach.observability import get_logger
from filbertreach.platform import parse_address
from filbertreach.schema import LeafSample, LeafSamples
from filbertreach.timing import Clock

TELL_SECONDS = 0.2
"""Time between two datagrams to each neighbour; a slow leaf is known as such this much later."""
_LATE_SECONDS = 0.1
"""Samples are dropped if a tick is this late: then they tell of this host, not of the leaves."""
_MOST_DATAGRAMS = 60
"""Datagrams of one tick to all neighbours together. Beyond it a random part of the samples is told:
a host that makes so many calls knows its leaves without its neighbours."""
_SAMPLES_PER_DATAGRAM = 40
"""About 700 bytes once compressed, so that a datagram fits into one packet."""
_MOST_BYTES = 65536

_LOGGER = get_logger(__name__)


class CallObserver(Protocol):
    """Takes what calls to leaves show."""

    def on_call_end(self, leaf_id: str, outcome: LeafOutcome, seconds: float) -> None:
        """Takes the end of a call.

        Args:
            leaf_id: The leaf.
            outcome: How the call ended.
            seconds: Time from the choice of the leaf to the end.
        """

    def on_slack(self, service: str, count: int = 1) -> None:
        """Takes extra calls beyond the retry ratio.

        Args:
            service: The service that gets them.
            count: Number of calls.
        """


class Peers(Protocol):
    """Knows the gateways of the data centre."""

    def datagram_addresses(self) -> list[str]:
        """Returns ip:port of each of them."""


class SampleExchange:
    """Tells the gateways of the data centre how calls to leaves ended, and learns from theirs.

    A host of a large fleet calls each leaf only every few seconds, too rarely to notice a slow leaf
    before it has recovered; the hosts of a data centre together notice it at once, and leaves are
    equally far from all of them. Samples are hints: a datagram that is lost costs nothing.
    """

    def __init__(self, *, host: str, address: str, peers: Peers, clock: Clock) -> None:
        """Prepares an exchange; `run` opens the socket.

        Args:
            host: Name of this host.
            address: ip:port for datagrams.
            peers: Knows the other hosts.
            clock: Source of time.
        """
        self._host = host
        self._address = address
        self._peers = peers
        self._clock = clock
        self._pending: list[LeafSample] = []
        self._slack_by_service: dict[str, int] = {}
        self._told_at = clock.now()
        self._socket: socket.socket | None = None
        self._decoder = msgspec.json.Decoder(LeafSamples)

    @property
    def is_open(self) -> bool:
        """Whether samples are told and taken."""
        return self._socket is not None

    def on_call_end(self, leaf_id: str, outcome: LeafOutcome, seconds: float) -> None:
        """Keeps the end of a call for the next datagram; see `CallObserver`."""
        if self._socket is not None:
            self._pending.append(
                LeafSample(leaf=leaf_id, outcome=outcome.value, seconds=round(seconds, 4))
            )

    def on_slack(self, service: str, count: int = 1) -> None:
        """Keeps extra calls for the next datagram; see `CallObserver`."""
        self._slack_by_service[service] = self._slack_by_service.get(service, 0) + count

    async def tell(self, pause: float) -> None:
        """Sends what was noted since the last time.

        Args:
            pause: Time for which the process stood still, in seconds.
        """
        now = self._clock.now()
        late = max(pause, now - self._told_at - TELL_SECONDS)
        self._told_at = now
        samples, self._pending = self._pending, []
        slack_by_service, self._slack_by_service = self._slack_by_service, {}
        if self._socket is None:
            return
        addresses = [parse_address(address) for address in self._peers.datagram_addresses()]
        if not addresses:
            return
        most = max(1, _MOST_DATAGRAMS // len(addresses)) * _SAMPLES_PER_DATAGRAM
        told = [] if late > _LATE_SECONDS else samples
        if len(told) > most:
            told = random.sample(told, most)
        SAMPLES.labels("left out").inc(len(samples) - len(told))
        SAMPLES.labels("told").inc(len(told))
        messages = [
            LeafSamples(sender=self._host, samples=told[start : start + _SAMPLES_PER_DATAGRAM])
            for start in range(0, len(told), _SAMPLES_PER_DATAGRAM)
        ]
        if slack_by_service:
            messages.append(
                LeafSamples(sender=self._host, samples=[], slack_by_service=slack_by_service)
            )
        for message in messages:
            datagram = zlib.compress(msgspec.json.encode(message), 1)
            for ip, port in addresses:
                self._send(datagram, ip, port)

    def _send(self, datagram: bytes, ip: str, port: int) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(datagram, (ip, port))
        except OSError as error:
            _LOGGER.info("samples not sent", address=f"{ip}:{port}", error=str(error))

    async def run(self, observer: CallObserver) -> None:
        """Takes what other hosts tell until cancelled; without a socket it returns.

        Args:
            observer: Takes calls of other hosts.
        """
        # A plain socket: anyio's takes as long for each datagram as the datagram is worth.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
            opened.setblocking(False)
            try:
                opened.bind(parse_address(self._address))
            except OSError as error:
                _LOGGER.warning("no samples of neighbours", address=self._address, error=str(error))
                return
            self._socket = opened
            try:
                while True:
                    await anyio.wait_readable(opened)
                    self._read(opened, observer)
            finally:
                self._socket = None

    def _read(self, opened: socket.socket, observer: CallObserver) -> None:
        for _ in range(_MOST_DATAGRAMS):
            try:
                datagram, (sender, _) = opened.recvfrom(_MOST_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                _LOGGER.warning("samples not read", error=str(error))
                return
            self._take(datagram, sender, observer)

    def _take(self, datagram: bytes, sender: str, observer: CallObserver) -> None:
        try:
            text = zlib.decompressobj().decompress(datagram, _MOST_BYTES)
            message = self._decoder.decode(text)
            samples = [
                (item["leaf"], LeafOutcome(item["outcome"]), item["seconds"])
                for item in message["samples"]
            ]
        except (zlib.error, msgspec.MsgspecError, ValueError) as error:
            _LOGGER.warning("samples ignored", address=sender, error=str(error))
            return
        for leaf_id, outcome, seconds in samples:
            observer.on_call_end(leaf_id, outcome, seconds)
        for service, count in message.get("slack_by_service", {}).items():
            observer.on_slack(service, count)
        SAMPLES.labels("heard").inc(len(samples))
