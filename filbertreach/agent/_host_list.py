"""Leaving hosts according to the platform's host list."""

import json
import zlib

from filbertreach.platform import HostList
from filbertreach.schema import HostListNews


def summarize_host_list(listing: HostList) -> HostListNews:
    """Extracts the leaving hosts and backend servers of a host list.

    Args:
        listing: The host list as read from the platform.
    """
    leaving = [host for host in listing.hosts_by_name.values() if host.state == "leaving"]
    return HostListNews(
        as_of=listing.as_of,
        leaving_hosts=sorted(host.host for host in leaving if host.kind == "entry"),
        leaving_addresses=sorted(host.address for host in leaving if host.kind == "backend"),
    )


class LatestHostList:
    """The newest host list that any agent is known to have read, reduced to what is leaving."""

    def __init__(self) -> None:
        """Starts with an empty list that is older than any other."""
        self.latest = HostListNews(as_of=0.0, leaving_hosts=[], leaving_addresses=[])

    def merge(self, other: HostListNews) -> bool:
        """Adopts a host list if it is newer.

        Args:
            other: List read by this agent or received from a peer.

        Returns:
            Whether the leaving hosts or backend servers have changed.
        """
        if _order(other) <= _order(self.latest):
            return False
        before, self.latest = self.latest, other
        return _contents(before) != _contents(other)

    @property
    def digest(self) -> int:
        """Digest of the leaving hosts and backend servers, without the time of the list.

        The time differs between agents that have read the same list; it needs no exchange.
        """
        return zlib.crc32(json.dumps(_contents(self.latest)).encode())


def _order(host_list: HostListNews) -> tuple[float, list[str], list[str]]:
    return (host_list["as_of"], *_contents(host_list))


def _contents(host_list: HostListNews) -> tuple[list[str], list[str]]:
    return host_list["leaving_hosts"], host_list["leaving_addresses"]
