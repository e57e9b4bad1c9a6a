"""Configuration of logs as JSON lines."""

import logging
import sys
from typing import Any

import structlog

from filbertreach.observability._bounded_logs import LogLimiter, LogWriter


def configure_logs(*, level: str, process: str) -> None:
    """Sends structlog and standard library logs to standard error, as one JSON object per line.

    Args:
        level: debug, info, warning or error.
        process: Process name, added to each line.
    """
    shared = _shared_processors(process)
    _configure_structlog(shared, [])
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_formatter(shared))
    _install_handler(handler, level)


def configure_bounded_logs(*, level: str, process: str, limiter: LogLimiter) -> LogWriter:
    """Sends logs to standard output, as one JSON object per line, within the rates of a limiter.

    Args:
        level: debug, info, warning or error.
        process: Process name, added to each line.
        limiter: Limiter of the lines.

    Returns:
        The writer, a context manager that must be entered before the first line is logged.
    """
    shared = _shared_processors(process)
    _configure_structlog(shared, [limiter])
    writer = LogWriter(formatter=_formatter(shared))
    _install_handler(writer.handler, level)
    return writer


def _shared_processors(process: str) -> list[Any]:
    return [
        structlog.contextvars.merge_contextvars,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _AddProcess(process),
    ]


def _configure_structlog(shared: list[Any], first: list[Any]) -> None:
    structlog.configure(
        processors=[*first, *shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )


def _formatter(shared: list[Any]) -> logging.Formatter:
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
    )


def _install_handler(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # These libraries log every connection at level info or debug.
    for name in ("httpcore", "uvicorn", "uvicorn.error", "pynng"):
        logging.getLogger(name).setLevel(logging.WARNING)


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Returns a logger whose methods take an event and key-value pairs.

    Args:
        name: Module name.
    """
    logger: structlog.stdlib.BoundLogger = structlog.get_logger(name)
    return logger


class _AddProcess:
    """A structlog processor that adds the process name to each line."""

    def __init__(self, process: str) -> None:
        self._process = process

    def __call__(self, _logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
        event["process"] = self._process
        return event
