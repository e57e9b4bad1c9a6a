"""Limits on what the bytes of one sender may cost this process, alone and in sum.

A sender may be faulty: its bytes need not be messages and need not end. `MemoryBudget` bounds the
bytes of incomplete messages, `ParseTurns` the processor time spent on those that are expensive to
parse, and small reads bound the time for which the event loop is blocked. All parts that receive
bytes over HTTP use them: connections to leaves, clients of the platform and of other hosts, and the
HTTP server.
"""

from filbertreach.receive_limits._body import BodyTooLargeError, read_body
from filbertreach.receive_limits._http_backend import LimitedBackend
from filbertreach.receive_limits._memory_budget import Holder, MemoryBudget
from filbertreach.receive_limits._message_cost import MessageCost
from filbertreach.receive_limits._parse_turns import ParseTurns, Turn
from filbertreach.receive_limits._reads import (
    LARGE_READ_BUFFER,
    READ_BUFFER,
    SmallReads,
    limit_receive_buffer,
)

__all__ = [
    "LARGE_READ_BUFFER",
    "READ_BUFFER",
    "BodyTooLargeError",
    "Holder",
    "LimitedBackend",
    "MemoryBudget",
    "MessageCost",
    "ParseTurns",
    "SmallReads",
    "Turn",
    "limit_receive_buffer",
    "read_body",
]
