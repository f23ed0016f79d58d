"""Traces: one span per hop, with W3C trace context received and propagated."""

from collections.abc import Callable, Mapping

from opentelemetry.trace import (
    INVALID_SPAN,
    NonRecordingSpan,
    NoOpTracer,
    Span,
    SpanKind,
    Tracer,
    get_current_span,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .shared_settings import TraceSettings

TRACE_CONTEXT_PROPAGATOR = TraceContextTextMapPropagator()
TRACE_HEADER = "traceparent"


class Tracing:
    """Creates spans and propagates their context in HTTP headers."""

    def __init__(self, settings: TraceSettings, host_id: str) -> None:
        self.is_exporting = bool(settings.otlp or settings.file)
        self.shutdown: Callable[[], None] = lambda: None
        self.tracer: Tracer = NoOpTracer()
        if self.is_exporting:
            from .span_export import create_tracer_provider

            provider = create_tracer_provider(settings, host_id)
            self.shutdown = provider.shutdown
            self.tracer = provider.get_tracer("sardinequay")

    def server_span(self, name: str, headers: Mapping[str, str]) -> Span:
        """Start the span of a request that was received with these headers.

        If spans are not exported, it only propagates the caller's context.
        """
        if not self.is_exporting and TRACE_HEADER not in headers:
            return INVALID_SPAN
        context = TRACE_CONTEXT_PROPAGATOR.extract(headers)
        if not self.is_exporting:
            return get_current_span(context)
        return self.tracer.start_span(name, context, kind=SpanKind.SERVER)

    def child_span(self, name: str, parent: Span) -> Span:
        """Start the span of a hop that a request makes."""
        if not parent.is_recording():
            return NonRecordingSpan(parent.get_span_context())
        context = set_span_in_context(parent)
        return self.tracer.start_span(name, context, kind=SpanKind.CLIENT)

    def propagation_headers(self, span: Span) -> dict[str, str]:
        """Return the headers that propagate a span's context."""
        carrier: dict[str, str] = {}
        if span is not INVALID_SPAN:
            TRACE_CONTEXT_PROPAGATOR.inject(carrier, set_span_in_context(span))
        return carrier


def trace_id(span: Span) -> str:
    """Return a span's trace id in the form used in logs and answers."""
    return f"{span.get_span_context().trace_id:032x}"
