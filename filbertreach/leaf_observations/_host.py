"""What one host observes at leaves, and the states of leaves that it applies."""

from filbertreach.leaf_observations._observer import LeafObserver
from filbertreach.leaf_observations._pauses import PauseDetector
from filbertreach.leaf_observations._states import LeafStates
from filbertreach.timing import Clock


class HostObservations:
    """Observations and states of one host, shared by the services that it calls; without I/O."""

    def __init__(self, *, clock: Clock) -> None:
        """Creates observations of a host that knows no other one.

        Args:
            clock: Source of time; it has to include suspension of the host.
        """
        self.pauses = PauseDetector(now=clock.now())
        self.states = LeafStates()
        self.observer = LeafObserver(states=self.states, pauses=self.pauses)
        self.host_count = 1
        """Number of hosts of the data centre, this one included."""
