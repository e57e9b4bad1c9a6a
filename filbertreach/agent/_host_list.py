"""News of leaving hosts from the platform's host list."""

import json
import zlib

from filbertreach.platform import HostList
from filbertreach.schema import HostListNews


def news_of(listing: HostList) -> HostListNews:
    """Returns what matters of a reading of the host list.

    Args:
        listing: The reading.
    """
    leaving = [host for host in listing.hosts_by_name.values() if host.state == "leaving"]
    return HostListNews(
        as_of=listing.as_of,
        leaving_hosts=sorted(host.host for host in leaving if host.kind == "entry"),
        leaving_addresses=sorted(host.address for host in leaving if host.kind == "backend"),
    )


class HostListBoard:
    """The newest reading that any agent has made; merging keeps the one that shows a later time."""

    def __init__(self) -> None:
        """Starts without a reading."""
        self.news = HostListNews(as_of=0.0, leaving_hosts=[], leaving_addresses=[])

    def merge(self, news: HostListNews) -> bool:
        """Takes over a reading if it is newer.

        Args:
            news: Reading of this agent or of a peer.

        Returns:
            Whether the leaving hosts are now others than before.
        """
        if _order(news) <= _order(self.news):
            return False
        before, self.news = self.news, news
        return _contents(before) != _contents(news)

    @property
    def digest(self) -> int:
        """Digest of the leaving hosts, without the time of the reading.

        The time differs between agents that read the same list, and needs no exchange.
        """
        return zlib.crc32(json.dumps(_contents(self.news)).encode())


def _order(news: HostListNews) -> tuple[float, list[str], list[str]]:
    return (news["as_of"], *_contents(news))


def _contents(news: HostListNews) -> tuple[list[str], list[str]]:
    return news["leaving_hosts"], news["leaving_addresses"]
