"""Parts of the quotas: each gateway owns an equal one and delegates it to one quota host.

The part of a gateway is 1/D of all quotas, divided by the number of hosts of its data centre (D:
number of data centres). Because a gateway delegates its part to one quota host at a time, the parts
of all quota hosts never add up to more than the whole, however the hosts are partitioned.
"""

import math

DELEGATION_SECONDS = 1.0
"""Time for which a quota host holds a part that was delegated to it; renewed every 0.25 s."""
LOAN_SECONDS = 2.0
"""Time for which a quota host may use what another one has lent. Within it, a report and the answer
to it pass between two quota hosts by way of a seed, each at an interval of 0.25 s."""
HOLD_SECONDS = DELEGATION_SECONDS + LOAN_SECONDS
"""Time for which a gateway delegates its part to no other quota host: until the former one no
longer holds it and what the former one lent of it has expired."""
_HOST_MEMORY_SECONDS = 600.0
"""Time for which a host that no longer reports counts, as it may be partitioned and grant its
part."""
_UNKNOWN_HOSTS = 64
"""Hosts of a data centre that are assumed until a seed has confirmed which there are."""
_CONFIRMATION_SECONDS = 2.0
"""Time after the start from which a seed confirms. Hosts that were started together have all
announced themselves by then; a host that is cut off before does not know the others."""


class DelegatedParts:
    """The parts that gateways have delegated to this quota host."""

    def __init__(self, *, data_centres: int, now: float) -> None:
        """Creates a state without parts.

        Args:
            data_centres: Number of data centres of the deployment.
            now: Current clock, in seconds.
        """
        self._started_at = now
        self._are_hosts_confirmed = False
        self._data_centres = data_centres
        self._valid_until_by_host: dict[str, float] = {}
        self._first_expiry = math.inf
        """Clock until which no delegation expires, in seconds."""
        self._seen_at_by_host: dict[str, float] = {}
        self.are_hosts_known = False
        """Whether a seed has answered since the start."""

    def on_hosts(self, names: list[str], *, is_seed_heard: bool, now: float) -> None:
        """Records which hosts the data centre has.

        Args:
            names: Hosts of the data centre that are heard, this one included, or that delegate to
                another quota host. After a restart, seeds do not know all hosts yet.
            is_seed_heard: Whether a seed has answered since the start.
            now: Current clock, in seconds.
        """
        self._seen_at_by_host.update(dict.fromkeys(names, now))
        self.are_hosts_known = self.are_hosts_known or is_seed_heard
        for host, seen_at in list(self._seen_at_by_host.items()):
            if now - seen_at >= _HOST_MEMORY_SECONDS:
                del self._seen_at_by_host[host]

    def on_seed_reply(self, now: float) -> None:
        """Records that a seed has answered a report, and so named the hosts that delegate.

        Args:
            now: Current clock, in seconds.
        """
        if now - self._started_at >= _CONFIRMATION_SECONDS:
            self._are_hosts_confirmed = True

    @property
    def known_hosts(self) -> int:
        """Number of known hosts of the data centre."""
        return len(self._seen_at_by_host)

    def is_known(self, host: str) -> bool:
        """Returns whether a seed or another quota host has named a host of the data centre lately.

        Args:
            host: Name of the host.
        """
        return host in self._seen_at_by_host

    def delegating_hosts(self, now: float) -> list[str]:
        """Returns the hosts that delegate to this host.

        Args:
            now: Current clock, in seconds.
        """
        if self._first_expiry <= now:
            valid = {host: end for host, end in self._valid_until_by_host.items() if end > now}
            self._valid_until_by_host = valid
            self._first_expiry = min(valid.values(), default=math.inf)
        return list(self._valid_until_by_host)

    def on_delegation(self, host: str, *, delegated_after: float, now: float) -> None:
        """Records that a gateway has delegated its part.

        That of a host which neither a seed nor another quota host has named is not used: a faulty
        neighbour may invent names, and each name that counts lessens the parts of all hosts.

        Args:
            host: The gateway.
            delegated_after: Clock of this host before the gateway delegated, in seconds. The
                message may have been under way for any time since.
            now: Current clock, in seconds.
        """
        if not now - DELEGATION_SECONDS < delegated_after <= now:
            return
        if now - self._started_at < LOAN_SECONDS:
            return  # The former process of this host may have lent what it held.
        if not self.is_known(host):
            return
        valid_until = delegated_after + DELEGATION_SECONDS
        self._valid_until_by_host[host] = max(
            valid_until, self._valid_until_by_host.get(host, -math.inf)
        )
        self._first_expiry = min(self._first_expiry, valid_until)
        self._seen_at_by_host[host] = now

    def fraction(self, now: float) -> float:
        """Returns the fraction of all quotas that this host holds.

        Args:
            now: Current clock, in seconds.
        """
        delegating = len(self.delegating_hosts(now))
        hosts = max(1, len(self._seen_at_by_host))
        if not self._are_hosts_confirmed:
            hosts = max(hosts, _UNKNOWN_HOSTS)
        return delegating / (hosts * self._data_centres)


class PartDelegation:
    """Decides to which quota host a gateway delegates its part."""

    def __init__(self, *, now: float) -> None:
        """Creates a state in which the former process of the host may have delegated until now.

        Args:
            now: Current clock, in seconds.
        """
        self._holder: str | None = None
        self._delegated_at = now

    def try_delegate(self, quota_host: str, now: float) -> bool:
        """Delegates the part, with the message that is about to be sent, if that is allowed.

        Args:
            quota_host: Name of the quota host.
            now: Current clock, in seconds.

        Returns:
            Whether the message may state the delegation.
        """
        if quota_host != self._holder and now - self._delegated_at < HOLD_SECONDS:
            return False
        self._holder = quota_host
        self._delegated_at = now
        return True
