"""Logs as JSON lines, Prometheus metrics, trace spans and the health endpoints of every daemon."""

from filbertreach.observability._daemon import (
    DaemonOptions,
    new_incarnation,
    raise_open_files_limit,
    run_daemon,
    run_main,
)
from filbertreach.observability._health import (
    Application,
    Health,
    HttpServer,
    Receive,
    Scope,
    Send,
    health_application,
    respond,
)
from filbertreach.observability._logs import configure_logs, get_logger
from filbertreach.observability._metrics import LATENCY_BUCKETS
from filbertreach.observability._process import process_main
from filbertreach.observability._traces import Span, Tracing, is_trace_parent

__all__ = [
    "LATENCY_BUCKETS",
    "Application",
    "DaemonOptions",
    "Health",
    "HttpServer",
    "Receive",
    "Scope",
    "Send",
    "Span",
    "Tracing",
    "configure_logs",
    "get_logger",
    "health_application",
    "is_trace_parent",
    "new_incarnation",
    "process_main",
    "raise_open_files_limit",
    "respond",
    "run_daemon",
    "run_main",
]
