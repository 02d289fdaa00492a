"""Traces with one span for each hop, exported as JSON lines.

The context is propagated as W3C trace context. A request that is not sampled
costs at most one parse of its `traceparent`.

References:
    https://www.w3.org/TR/trace-context/
"""

import contextlib
import json
import random
import re
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling

from hyssopwind.core.settings import documents

TRACEPARENT = "traceparent"
_TRACEPARENT_PATTERN = re.compile(
    r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})"
)
_SAMPLED_FLAG = 0x01


class JsonLinesExporter(export.SpanExporter):
    """Appends each finished span to a file as one line of JSON."""

    def __init__(self, path: str):
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115

    def export(
        self, spans: Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Writes the spans."""
        for span in spans:
            line = json.dumps(json.loads(span.to_json(indent=None)))
            self._file.write(line + "\n")
        self._file.flush()
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        self._file.close()


class Span:
    """A recorded span, or a placeholder without effect if not sampled."""

    def __init__(self, otel_span: trace.Span | None):
        self._otel_span = otel_span

    @property
    def context(self) -> trace.SpanContext | None:
        """The parent context for child spans; `None` if not sampled."""
        if self._otel_span is None:
            return None
        return self._otel_span.get_span_context()

    @property
    def trace_id(self) -> str:
        """The identifier of the trace; empty if not sampled."""
        if self._otel_span is None:
            return ""
        return format(self._otel_span.get_span_context().trace_id, "032x")

    def set_attribute(self, name: str, value: str | int) -> None:
        """Sets an attribute."""
        if self._otel_span is not None:
            self._otel_span.set_attribute(name, value)

    def traceparent(self) -> str | None:
        """Returns the header for the next hop, or `None` if not sampled."""
        if self._otel_span is None:
            return None
        context = self._otel_span.get_span_context()
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-01"


NOT_SAMPLED = Span(None)
_NOT_SAMPLED_CONTEXT = contextlib.nullcontext(NOT_SAMPLED)


class Tracer:
    """Starts the spans of sampled requests.

    The `traceparent` of the caller decides whether a request is sampled;
    without one, a random sample of the configured ratio is taken.
    """

    def __init__(
        self,
        settings: documents.TraceSettings,
        daemon_name: str,
        random_source: random.Random,
    ):
        self._sample_ratio = settings.sample
        self._random_source = random_source
        self._provider: sdk_trace.TracerProvider | None = None
        if settings.file:
            resource = resources.Resource.create(
                {
                    "service.name": "hyssopwindd",
                    "service.instance.id": daemon_name,
                }
            )
            self._provider = sdk_trace.TracerProvider(
                sampler=sampling.ALWAYS_ON, resource=resource
            )
            self._provider.add_span_processor(
                export.BatchSpanProcessor(JsonLinesExporter(settings.file))
            )

    def request_span(
        self, name: str, headers: Mapping[str, str]
    ) -> contextlib.AbstractContextManager[Span]:
        """Records the span of a caller's request, if it is sampled."""
        if self._provider is None:
            return _NOT_SAMPLED_CONTEXT
        parent = _read_parent(headers.get(TRACEPARENT, ""))
        if not self._is_sampled(parent):
            return _NOT_SAMPLED_CONTEXT
        return self._start(name, parent, trace.SpanKind.SERVER)

    def hop_span(
        self, name: str, parent: Span
    ) -> contextlib.AbstractContextManager[Span]:
        """Records the span of one hop as a child of a recorded span."""
        context = parent.context
        if context is None or self._provider is None:
            return _NOT_SAMPLED_CONTEXT
        return self._start(name, context, trace.SpanKind.CLIENT)

    def close(self) -> None:
        """Exports the remaining spans."""
        if self._provider is not None:
            self._provider.shutdown()

    def _is_sampled(self, parent: trace.SpanContext | None) -> bool:
        if parent is not None:
            return bool(parent.trace_flags & _SAMPLED_FLAG)
        return self._random_source.random() < self._sample_ratio

    @contextlib.contextmanager
    def _start(
        self,
        name: str,
        parent: trace.SpanContext | None,
        kind: trace.SpanKind,
    ) -> Iterator[Span]:
        assert self._provider is not None
        tracer = self._provider.get_tracer("hyssopwind")
        context = None
        if parent is not None:
            context = trace.set_span_in_context(trace.NonRecordingSpan(parent))
        otel_span = tracer.start_span(name, context=context, kind=kind)
        try:
            yield Span(otel_span)
        finally:
            otel_span.end()


def _read_parent(header: str) -> trace.SpanContext | None:
    match = _TRACEPARENT_PATTERN.fullmatch(header)
    if match is None:
        return None
    return trace.SpanContext(
        int(match[1], 16),
        int(match[2], 16),
        is_remote=True,
        trace_flags=trace.TraceFlags(int(match[3], 16)),
    )
