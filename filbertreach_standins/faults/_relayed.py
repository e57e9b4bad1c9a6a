"""A local fleet whose processes connect to each other through relays."""

from typing import Any

import anyio
import anyio.from_thread

from filbertreach_standins.daemon_process import DaemonProcess
from filbertreach_standins.fleet import Fleet, FleetOptions
from filbertreach_standins.relay import Relay


class RelayedFleet(Fleet):
    """A fleet without agents whose inter-process connections can be made silent.

    Enter it as a context manager, as `Fleet`.
    """

    def __init__(self, *, options: FleetOptions) -> None:
        """Prepares a fleet.

        Args:
            options: Size and behaviour; `hosts` must be 0.
        """
        super().__init__(options=options)
        self.relay_by_process: dict[str, Relay] = {}
        """Relay in front of the inbox of each process, by process name."""
        self._portal: Any = None

    def silence(self, process: str) -> None:
        """Makes the open connections to the inbox of a process drop all data; new ones work.

        Args:
            process: Process name.
        """
        self._portal.call(self.relay_by_process[process].blackhole_open_connections)

    def _daemon(self, program: str, name: str) -> DaemonProcess:
        if self._portal is None:
            portal = anyio.from_thread.start_blocking_portal()
            self._portal = self._stack.enter_context(portal)
        daemon = super()._daemon(program, name)
        relay = Relay(target=daemon.inbox)
        self._stack.enter_context(self._portal.wrap_async_context_manager(relay))
        self.relay_by_process[name] = relay
        # The process listens at its own address and advertises the address of the relay.
        daemon.settings["process"] |= {"inbox": relay.address, "inbox_listen": daemon.inbox}
        daemon.inbox = relay.address
        return daemon
