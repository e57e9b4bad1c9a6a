"""Stand-in for the platform's host list: `python -m filbertreach_standins.host_list`."""

from filbertreach_standins.host_list._service import HostListService

__all__ = ["HostListService"]
