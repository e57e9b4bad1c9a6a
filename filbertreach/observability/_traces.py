"""OpenTelemetry spans, exported by OTLP or written as JSON lines."""

import re
import sys
import threading
from types import TracebackType
from typing import IO, Any, Self

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from filbertreach.schema import ObservabilitySection

_TRACE_PARENT = re.compile(r"00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}")
_PROPAGATOR = TraceContextTextMapPropagator()


def is_trace_parent(text: str) -> bool:
    """Returns whether the text is a valid W3C traceparent of version 00."""
    return _TRACE_PARENT.fullmatch(text) is not None


class Span:
    """Span of one hop of a query; a context manager that ends the span."""

    def __init__(self, *, span: trace.Span) -> None:
        """Wraps a started span.

        Args:
            span: OpenTelemetry span.
        """
        self._span = span

    def __enter__(self) -> Self:
        """Returns the span."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace_back: TracebackType | None,
    ) -> None:
        """Ends the span."""
        if error is not None:
            self._span.set_attribute("error", repr(error))
        self.end()

    def set(self, name: str, value: str | int | float | bool) -> None:
        """Sets an attribute."""
        self._span.set_attribute(name, value)

    def end(self) -> None:
        """Ends the span."""
        self._span.end()

    @property
    def trace_parent(self) -> str:
        """W3C traceparent for the next hop; empty if the span is invalid."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, context=trace.set_span_in_context(self._span))
        return carrier.get("traceparent", "")

    @property
    def trace_id(self) -> str:
        """Trace id in hexadecimal."""
        return f"{self._span.get_span_context().trace_id:032x}"


class Tracing:
    """Tracer and span exporter of one process; a context manager that shuts the exporter down."""

    def __init__(self, *, settings: ObservabilitySection, process: str) -> None:
        """Creates the exporter according to the settings.

        Args:
            settings: Settings section `observability`.
            process: Process name.
        """
        self._file: IO[str] | None = None
        sampler = ParentBased(TraceIdRatioBased(settings.get("trace_share", 1.0)))
        resource = Resource.create({"service.name": "filbertreach", "service.instance.id": process})
        self._provider = TracerProvider(sampler=sampler, resource=resource)
        exporter = self._exporter(settings)
        if exporter is not None:
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("filbertreach")

    def __enter__(self) -> Self:
        """Returns this object."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace_back: TracebackType | None,
    ) -> None:
        """Exports the remaining spans and closes the trace file."""
        self._provider.shutdown()
        if self._file is not None and self._file is not sys.stderr:
            self._file.close()

    def start(self, name: str, *, trace_parent: str, **attributes: Any) -> Span:
        """Starts a span.

        Args:
            name: Name of the hop.
            trace_parent: W3C traceparent of the previous hop, or an empty string.
            **attributes: Attributes of the span.

        Returns:
            The started span; an invalid span if the previous hop was not sampled.
        """
        if trace_parent.endswith("-00"):
            return Span(span=trace.INVALID_SPAN)
        context = _PROPAGATOR.extract({"traceparent": trace_parent}) if trace_parent else None
        return Span(span=self._tracer.start_span(name, context=context, attributes=attributes))

    def _exporter(self, settings: ObservabilitySection) -> SpanExporter | None:
        if settings.get("otlp_address"):
            return OTLPSpanExporter(endpoint=settings["otlp_address"])
        path = settings.get("trace_file", "")
        if not path:
            return None
        self._file = sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
        return ConsoleSpanExporter(out=_LockedFile(self._file), formatter=_json_line)  # type: ignore[arg-type]


def _json_line(span: ReadableSpan) -> str:
    return f"{span.to_json(indent=None)}\n"


class _LockedFile:
    """Serialises the writes of the exporter's threads by a lock."""

    def __init__(self, file: IO[str]) -> None:
        self._file = file
        self._lock = threading.Lock()

    def write(self, text: str) -> int:
        with self._lock:
            return self._file.write(text)

    def flush(self) -> None:
        self._file.flush()
