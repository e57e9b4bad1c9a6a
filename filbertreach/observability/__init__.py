"""JSON logs, Prometheus metrics, trace spans and health endpoints of the daemons."""

import importlib
from typing import TYPE_CHECKING, Any

from filbertreach.observability._bounded_logs import (
    DROPPED_LINES,
    LogLimiter,
    LogRate,
    LogWriter,
)
from filbertreach.observability._health import (
    Application,
    Health,
    Receive,
    Scope,
    Send,
    health_application,
    respond,
)
from filbertreach.observability._http_protocol import (
    FIRST_REQUEST_EXTENSION,
    RECEIVED_EXTENSION,
    ROUND_TRIP_EXTENSION,
)
from filbertreach.observability._http_server import HttpServer
from filbertreach.observability._logs import configure_bounded_logs, configure_logs, get_logger
from filbertreach.observability._metrics import LATENCY_BUCKETS
from filbertreach.observability._request_body import (
    ClientDisconnectedError,
    RequestTooLargeError,
    read_request_body,
)
from filbertreach.observability._resources import raise_open_files_limit

if TYPE_CHECKING:
    from filbertreach.observability._daemon import (
        DaemonOptions,
        new_incarnation,
        run_daemon,
        run_main,
    )
    from filbertreach.observability._process import process_main
    from filbertreach.observability._traces import Span, Tracing, is_trace_parent

__all__ = [
    "DROPPED_LINES",
    "FIRST_REQUEST_EXTENSION",
    "LATENCY_BUCKETS",
    "RECEIVED_EXTENSION",
    "ROUND_TRIP_EXTENSION",
    "Application",
    "ClientDisconnectedError",
    "DaemonOptions",
    "Health",
    "HttpServer",
    "LogLimiter",
    "LogRate",
    "LogWriter",
    "Receive",
    "RequestTooLargeError",
    "Scope",
    "Send",
    "Span",
    "Tracing",
    "configure_bounded_logs",
    "configure_logs",
    "get_logger",
    "health_application",
    "is_trace_parent",
    "new_incarnation",
    "process_main",
    "raise_open_files_limit",
    "read_request_body",
    "respond",
    "run_daemon",
    "run_main",
]

_MODULE_BY_NAME = {
    "DaemonOptions": "_daemon",
    "new_incarnation": "_daemon",
    "run_daemon": "_daemon",
    "run_main": "_daemon",
    "process_main": "_process",
    "Span": "_traces",
    "Tracing": "_traces",
    "is_trace_parent": "_traces",
}
"""Modules of the names that are imported on first use. A program that sends no spans does not
load the tracing libraries, which take a quarter of its start-up time."""


def __getattr__(name: str) -> Any:
    """Imports the names of `_MODULE_BY_NAME` (PEP 562)."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULE_BY_NAME[name]}"), name)
