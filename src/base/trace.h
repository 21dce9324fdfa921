#pragma once

#include "base/bounded_ring.h"

#include <opentracing/tracer.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace buckthorngrade {

// Identifiers of a span, as carried by the W3C `traceparent` header.
struct trace_ids
{
    std::array<std::uint64_t, 2> trace = {0, 0};
    std::uint64_t span = 0;
    bool sampled = false;
};

// Parses a version 00 `traceparent`. Returns nullopt if it is malformed or has an all-zero id.
std::optional<trace_ids> parseTraceparent(std::string_view header);
std::string formatTraceparent(const trace_ids &ids);

class trace_context final : public opentracing::SpanContext
{
public:
    explicit trace_context(const trace_ids &ids)
        : m_ids(ids)
    { }
    const trace_ids &ids() const { return m_ids; }
    void
    ForeachBaggageItem(std::function<bool(const std::string &, const std::string &)>) const override
    { }
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override
    {
        return std::make_unique<trace_context>(m_ids);
    }

private:
    trace_ids m_ids;
};

struct trace_options
{
    // Spans are appended to this file as JSON lines. If it is empty, spans are created and
    // propagated but not written.
    std::filesystem::path file;
    // Fraction of new traces that is sampled, from 0 to 1. For traces started by a caller, the
    // caller's sampled flag decides.
    double sampleRatio = 1.0;
    // Maximum number of finished spans in the write queue. Further spans are dropped and counted.
    std::size_t maxPending = 4096;
    // Maximum size of the file. Spans that would exceed it are dropped and counted.
    std::uint64_t maxFileBytes = 256ULL * 1024 * 1024;
};

// OpenTracing tracer that writes one JSON object per span. A dedicated thread writes the file, so
// slow disk I/O never delays the traced work. Baggage is not supported.
class json_tracer final : public opentracing::Tracer
{
public:
    json_tracer(std::string service, trace_options options);
    ~json_tracer() override;
    json_tracer(const json_tracer &) = delete;
    json_tracer &operator=(const json_tracer &) = delete;

    // Starts a child of the span in the `traceparent` header, or a new trace if the header is empty
    // or malformed.
    std::unique_ptr<opentracing::Span> startFromHeader(std::string_view operation,
                                                       std::string_view traceparent) const;
    std::unique_ptr<opentracing::Span> startChild(std::string_view operation,
                                                  const opentracing::Span &parent) const;
    // Number of sampled spans that were not written.
    std::uint64_t droppedSpans() const;

    std::unique_ptr<opentracing::Span>
    StartSpanWithOptions(opentracing::string_view operation,
                         const opentracing::StartSpanOptions &options) const noexcept override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       std::ostream &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::TextMapWriter &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::HTTPHeadersWriter &writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(std::istream &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::TextMapReader &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::HTTPHeadersReader &reader) const override;

private:
    friend class json_span;
    void record(std::string line) const;
    void writeLoop();

    std::string m_service;
    trace_options m_options;
    mutable bounded_ring<std::string> m_pending;
    std::atomic<std::uint64_t> m_writeFailures = 0;
    std::thread m_writer;
};

// Returns the `traceparent` header value for `span`.
std::string traceparentOf(const opentracing::Span &span);

} // namespace buckthorngrade
