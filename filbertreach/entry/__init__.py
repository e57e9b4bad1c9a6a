"""The entry process: callers' interface, admission, scatter, gather and merge."""

from filbertreach.entry._application import QueryApplication
from filbertreach.entry._daemon import EntryProcess

__all__ = ["EntryProcess", "QueryApplication"]
