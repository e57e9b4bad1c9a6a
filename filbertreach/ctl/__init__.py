"""The operator command line, and verification of the signatures on the records it writes."""

from filbertreach.ctl._access import AccessError, Operator, read_keys, signature_is_valid
from filbertreach.ctl._records import Accepted, Proposal

__all__ = [
    "Accepted",
    "AccessError",
    "Operator",
    "Proposal",
    "read_keys",
    "signature_is_valid",
]
