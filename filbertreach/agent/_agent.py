"""The host agent: connects the environment feed, gossip, registration and local processes."""

import datetime
import logging
from typing import Any, Literal, NamedTuple

import anyio
import anyio.abc
from returns.result import Success

from filbertreach.agent._call_records import CallRecordTable
from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._feed import EnvironmentFeed, FeedOptions
from filbertreach.agent._gossip import Gossiper, GossipOptions, next_version
from filbertreach.agent._host_list import LatestHostList, summarize_host_list
from filbertreach.agent._local import LocalProcesses, view_content
from filbertreach.agent._metrics import GENERATION, HOSTS, LINKS, NEWS_AGE, USABLE
from filbertreach.agent._registration import HostRegistration, RegistrationOptions
from filbertreach.agent._roster import Roster
from filbertreach.observability import Health
from filbertreach.platform import HostListClient, KeyValueClient
from filbertreach.records import HOSTS_PREFIX, HostRecord, InForce
from filbertreach.schema import AgentSection, HostState, Settings
from filbertreach.timing import SystemClock, TimerService
from filbertreach.transport import Peer, ReceivedMessage, Transport

_REFRESH_SECONDS = 0.25
"""Interval of the evaluation that runs even if nothing has changed."""
_COALESCE_SECONDS = 0.02
"""Changes that arrive within this time are evaluated together."""
_CONTACT_SECONDS = 5.0
"""Interval at which unknown hosts to contact are chosen."""
_PEER_WAIT_SECONDS = 2.5
"""Time that a starting agent waits for known peers; longer than the detection of a silent peer."""
_HOST_RECORDS_SECONDS = 10.0
"""Interval between listings of the host records in a small fleet."""
_HOST_RECORDS_SECONDS_PER_HOST = 0.25
"""Interval between listings in a larger fleet, per host. A listing has about 1 KB per host, so an
agent of a fleet of 1,200 hosts reads 4 KB/s."""
_HOST_LIST_READERS = 20
"""Number of hosts that read the host list at the configured interval. In a larger fleet each host
reads less often and receives the list from peers."""
_REGISTRATION_WAIT_SECONDS = 2.0

State = Literal["starting", "live", "leaving", "gone"]

_LOGGER = logging.getLogger(__name__)


class AgentOptions(NamedTuple):
    """Settings and collaborators of an agent."""

    settings: Settings
    """Validated settings."""
    incarnation: int
    """Start number of this agent; increases with each start."""
    health: Health
    """Readiness state that the agent updates."""
    key_value: KeyValueClient
    """Client of the key-value service."""
    host_list: HostListClient
    """Client of the host list service."""


class Agent:
    """The agent of one host; receives the events of its transport."""

    def __init__(self, options: AgentOptions) -> None:
        """Creates an agent that is not running.

        Args:
            options: Settings and collaborators.
        """
        self._options = options
        self._process = process = options.settings["process"]
        self._agent_settings: AgentSection = options.settings.get("agent", AgentSection())
        self._clock = SystemClock()
        self.state: State = "starting"
        self.transport = Transport(
            name=process["name"],
            address=process["inbox"],
            listen_address=process.get("inbox_listen") or process["inbox"],
            incarnation=options.incarnation,
            events=self,
            clock=self._clock,
        )
        self.document_table = DocumentTable()
        self._call_records = CallRecordTable()
        self._latest_host_list = LatestHostList()
        self.roster = Roster(
            host=process["host"],
            transport=self.transport,
            latest_host_list=self._latest_host_list,
            seeds=self._agent_settings.get("seeds", []),
        )
        self._local = LocalProcesses(
            host=process["host"], transport=self.transport, clock=self._clock
        )
        self._gossiper = Gossiper(
            GossipOptions(
                transport=self.transport,
                table=self.roster.table,
                latest_host_list=self._latest_host_list,
                document_table=self.document_table,
                call_records=self._call_records,
                clock=self._clock,
                fanout=self._agent_settings.get("gossip_fanout", 3),
                is_ready=lambda: self.is_ready,
                on_change=self._mark_changed,
            )
        )
        self._feed = EnvironmentFeed(
            FeedOptions(
                client=options.key_value,
                document_table=self.document_table,
                call_records=self._call_records,
                poll_seconds=self._agent_settings.get("poll_seconds", 5.0),
                fleet_size=self._fleet_size,
                on_change=self._mark_changed,
            )
        )
        self._registration: HostRegistration | None = None
        self._in_force: dict[str, InForce] = {}
        self._changed = anyio.Event()
        self._started_at = self._clock.now()
        self._announced: tuple[Any, ...] = ()
        self._contacts: set[str] = set()

    @property
    def is_ready(self) -> bool:
        """Whether the agent holds the newest known generation of each document."""
        return self.state in ("live", "leaving")

    async def run(self) -> None:
        """Runs until cancelled, then revokes the lease of the host record."""
        settings = self._agent_settings
        async with (
            self.transport,
            TimerService(clock=self._clock) as timers,
            anyio.create_task_group() as group,
        ):
            self._subscribe(timers)
            group.start_soon(self._run_refresh, name="refresh")
            group.start_soon(self._feed.run, name="feed")
            group.start_soon(self._run_host_records, name="host records")
            group.start_soon(self._run_host_list, name="host list")
            self._registration = HostRegistration(
                RegistrationOptions(
                    client=self._options.key_value,
                    host=self._process["host"],
                    incarnation=self._options.incarnation,
                    lease_seconds=settings.get("lease_seconds", 10.0),
                    record=self._record,
                    fleet_size=self._fleet_size,
                )
            )
            async with self._registration:
                await anyio.sleep_forever()

    def _subscribe(self, timers: TimerService) -> None:
        interval = self._agent_settings.get("gossip_interval_seconds", 0.5)
        timers.subscribe(name="gossip", interval_seconds=interval, callback=self._gossip)
        timers.subscribe(
            name="evaluate", interval_seconds=_REFRESH_SECONDS, callback=self._evaluate
        )
        timers.subscribe(
            name="contacts", interval_seconds=_CONTACT_SECONDS, callback=self._update_contacts
        )

    def _fleet_size(self) -> int:
        return max(len(self.roster.live_hosts), len(self.roster.registered.record_by_host))

    # Events of the transport.

    def on_message(self, received: ReceivedMessage) -> None:
        """Handles a received message."""
        match received.message.get("kind"):
            case "gossip":
                self._gossiper.on_gossip(received)
            case "hello":
                self._local.on_hello(received)
                self._mark_changed()

    def on_peer_lost(self, peer: Peer) -> None:
        """Handles a peer that stopped responding or was restarted."""
        self._local.on_peer_lost(peer.address)
        self._gossiper.responding_peers.discard(peer.address)
        self._mark_changed()

    # Timers.

    async def _gossip(self, _paused: float) -> None:
        self._gossiper.start_round()

    async def _evaluate(self, paused: float) -> None:
        if paused:
            _LOGGER.warning("this process was paused for %.1f s", paused)
            self.roster.health.record_pause(seconds=paused, now=self._clock.now())
        self._local.remove_silent(paused=bool(paused))
        self._mark_changed()

    async def _update_contacts(self, _paused: float) -> None:
        self._contacts = self.roster.unknown_contacts()
        self._mark_changed()

    # Platform services.

    async def _run_host_records(self) -> None:
        while True:
            started = self._clock.now()
            result = await self._options.key_value.list_prefix(HOSTS_PREFIX)
            if isinstance(result, Success):
                listing = result.unwrap()
                self.roster.apply_host_records(listing=listing, read_at=started)
                own = listing.items_by_key.get(HOSTS_PREFIX + self._process["host"])
                if self._registration is not None:
                    self._registration.check_listing(None if own is None else own.value, started)
                await self._update_contacts(0.0)
            delay = max(_HOST_RECORDS_SECONDS, _HOST_RECORDS_SECONDS_PER_HOST * self._fleet_size())
            await anyio.sleep(delay if isinstance(result, Success) else 1.0)

    async def _run_host_list(self) -> None:
        interval = self._agent_settings.get("host_list_seconds", 2.0)
        while True:
            result = await self._options.host_list.list_hosts()
            if isinstance(result, Success) and self._latest_host_list.merge(
                summarize_host_list(result.unwrap())
            ):
                self._gossiper.forward_host_list()
                self._mark_changed()
            await anyio.sleep(interval * max(1.0, self._fleet_size() / _HOST_LIST_READERS))

    # Evaluation of the known state after changes.

    def _mark_changed(self) -> None:
        self._changed.set()

    async def _run_refresh(self) -> None:
        while True:
            await self._changed.wait()
            await anyio.sleep(_COALESCE_SECONDS)
            self._changed = anyio.Event()
            self._refresh()

    def _refresh(self) -> None:
        now = self._clock.now()
        self.roster.refresh(now=now)
        self._update_connections()
        self._update_state()
        self._publish_own_state(now)
        self._update_in_force()
        self._announce_documents()
        usable = self._usable_by_environment(now)
        if self.is_ready:
            self._local.publish(
                view_content(
                    documents=list(self.document_table.accepted_by_environment.values()),
                    usable_by_environment=usable,
                    undecided=self.document_table.proposal_by_environment,
                    members=self.roster.members(),
                    leaving_addresses=self._latest_host_list.latest["leaving_addresses"],
                    announced_leaving=self.roster.announced_leaving(),
                    calls=self._call_records.copy,
                )
            )
        if self._registration is not None:
            self._registration.mark_changed(urgent=self.state == "leaving")
        self._update_metrics(now, usable)

    def _usable_by_environment(self, now: float) -> dict[str, bool]:
        majority = not self.document_table.proposal_by_environment or self.roster.reaches_majority()
        return {
            name: self.document_table.usable(environment=name, now=now, reaches_majority=majority)
            for name in self.document_table.accepted_by_environment
        }

    def _update_connections(self) -> None:
        neighbours = self.roster.addresses_of(self.roster.neighbours.all)
        own = {self._process["inbox"]}
        self._gossiper.neighbour_addresses = (neighbours | self._contacts) - own
        local = {member["address"] for member in self._local.members}
        self.transport.keep_connected(self._gossiper.neighbour_addresses | local)

    def _update_state(self) -> None:
        if self.state != "starting":
            return
        reason = self._reason_not_ready()
        self._options.health.set("documents", reason)
        if not reason:
            self.state = "live"
            _LOGGER.info("ready with generations %s", self.document_table.generations)

    def _reason_not_ready(self) -> str:
        gossiper = self._gossiper
        if not self._feed.is_loaded and not gossiper.ready_peers:
            return "neither the key-value service nor a ready peer has answered yet"
        for name, generation in gossiper.highest_generations.items():
            if self.document_table.generation(name) < generation:
                return f"generation {generation} of {name} exists and was not received yet"
        waiting = gossiper.neighbour_addresses - gossiper.responding_peers
        if waiting and self._clock.now() - self._started_at < _PEER_WAIT_SECONDS:
            return "known peers have not answered yet"
        return ""

    def _publish_own_state(self, now: float) -> None:
        process = self._process
        table = self.roster.table
        state = HostState(
            host=process["host"],
            version=[],
            agent_address=process["inbox"],
            region=process["region"],
            data_centre=process["data_centre"],
            state=self.state,
            members=self._local.members,
            suspects=self.roster.suspects(now=now),
        )
        if self._local.announced_leaving:
            state["announced_leaving"] = self._local.announced_leaving
        known = table.state_by_host.get(process["host"])
        if known is not None and HostState(**{**known, "version": []}) == state:
            return
        version = next_version(
            table=table, host=process["host"], incarnation=self._options.incarnation
        )
        state["version"] = list(version)
        self._gossiper.forward_states(table.merge([state]))

    def _update_in_force(self) -> None:
        for name, generation in self.document_table.generations.items():
            lowest = self._local.lowest_generation(name)
            reported = generation if lowest is None else min(lowest, generation)
            known = self._in_force.get(name)
            if reported and (known is None or known["generation"] != reported):
                since = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
                self._in_force[name] = InForce(generation=reported, since=since)

    def _announce_documents(self) -> None:
        present = (
            self.document_table.generations,
            dict(self.document_table.prepared),
            self.is_ready,
        )
        if present != self._announced:
            self._announced = present
            self._gossiper.announce()

    def _record(self) -> HostRecord:
        process = self._process
        return HostRecord(
            host=process["host"],
            agent_address=process["inbox"],
            incarnation=self._options.incarnation,
            state=self.state,
            region=process["region"],
            data_centre=process["data_centre"],
            prepared=self.document_table.prepared,
            in_force=dict(self._in_force),
            members=self._local.members,
            held_changes=self._local.held_changes,
        )

    def _update_metrics(self, now: float, usable: dict[str, bool]) -> None:
        HOSTS.labels("present").set(len(self.roster.live_hosts))
        HOSTS.labels("gone").set(len(self.roster.gone))
        HOSTS.labels("registered").set(len(self.roster.registered.record_by_host))
        LINKS.set(len(self.transport.peer_by_address))
        NEWS_AGE.set(now - self.document_table.fresh_as_of)
        for name, generation in self.document_table.generations.items():
            GENERATION.labels(name).set(generation)
            USABLE.labels(name).set(usable[name])

    # Graceful shutdown.

    def begin_shutdown(self) -> None:
        """Publishes by gossip and in the host record that the host is leaving."""
        self.state = "leaving"
        self._mark_changed()

    async def drain(self, seconds: float) -> None:
        """Waits for the leaving processes of this host, then publishes that the host is gone.

        Args:
            seconds: Maximum wait.
        """
        deadline = self._clock.now() + max(0.0, seconds - 2 * _COALESCE_SECONDS)
        with anyio.move_on_after(min(_REGISTRATION_WAIT_SECONDS, seconds / 2)):
            while self._registration is None or not self._registration.is_written:
                await anyio.sleep(_COALESCE_SECONDS)
        while self._clock.now() < deadline and self._has_leaving_processes():
            await anyio.sleep(_REFRESH_SECONDS)
        if not self._local.members:
            # Processes that outlive their agent are still members of the fleet.
            self.state = "gone"
            self._refresh()
        await self.transport.flush(seconds=min(0.5, seconds))

    def _has_leaving_processes(self) -> bool:
        return any(member["state"] == "leaving" for member in self._local.members)
