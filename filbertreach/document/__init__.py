"""Environment documents: parses, validates and compares the texts that operators write."""

from filbertreach.document._accounts import (
    AccountTable,
    ClientAccount,
    Quota,
    digest_api_key,
)
from filbertreach.document._difference import Difference, diff_documents
from filbertreach.document._digest import digest_change, digest_document
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
from filbertreach.document._rename import with_environment
from filbertreach.document._routes import CallerLimits, Route, RouteTable, ServiceLimits

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "AccountTable",
    "Application",
    "CallerLimits",
    "Change",
    "Client",
    "ClientAccount",
    "Difference",
    "DocumentError",
    "Environment",
    "Leaf",
    "Policy",
    "Pool",
    "Quota",
    "Rank",
    "Route",
    "RouteTable",
    "Service",
    "ServiceLimits",
    "Snapshot",
    "diff_documents",
    "digest_api_key",
    "digest_change",
    "digest_document",
    "parse_document",
    "with_environment",
]
