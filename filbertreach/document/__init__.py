"""Environment documents: the text that operators write, as checked and linked data."""

from filbertreach.document._model import (
    Application,
    Change,
    Client,
    Environment,
    Leaf,
    Policy,
    Pool,
    Rank,
    Service,
    Snapshot,
)
from filbertreach.document._parse import MAX_DOCUMENT_BYTES, DocumentError, parse_document

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "Application",
    "Change",
    "Client",
    "DocumentError",
    "Environment",
    "Leaf",
    "Policy",
    "Pool",
    "Rank",
    "Service",
    "Snapshot",
    "parse_document",
]
