"""The entry process: HTTP interface for callers, admission, scatter, gather and merge."""

from filbertreach.entry._application import QueryApplication
from filbertreach.entry._daemon import EntryProcess

__all__ = ["EntryProcess", "QueryApplication"]
