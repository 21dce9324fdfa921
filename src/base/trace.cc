#include "base/trace.h"

#include <Poco/JSON/Object.h>
#include <fmt/format.h>

#include <charconv>
#include <fstream>
#include <istream>
#include <random>
#include <sstream>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::string_view traceparentKey = "traceparent";
constexpr std::size_t traceparentLength = 55;

std::uint64_t randomId()
{
    thread_local std::mt19937_64 engine(std::random_device{}());
    std::uint64_t id = 0;
    while (id == 0)
        id = engine();
    return id;
}

std::optional<std::uint64_t> parseHex(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto [end, failure]
        = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (failure != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return value;
}

const trace_ids *idsOf(const opentracing::SpanContext &context)
{
    const auto *own = dynamic_cast<const trace_context *>(&context);
    return own ? &own->ids() : nullptr;
}

// Converts a tag value to text. Lists and dictionaries are not supported and become empty.
std::string toText(const opentracing::Value &value)
{
    struct visitor
    {
        std::string operator()(bool v) const { return v ? "true" : "false"; }
        std::string operator()(double v) const { return fmt::format("{}", v); }
        std::string operator()(std::int64_t v) const { return fmt::format("{}", v); }
        std::string operator()(std::uint64_t v) const { return fmt::format("{}", v); }
        std::string operator()(const std::string &v) const { return v; }
        std::string operator()(const char *v) const { return v; }
        std::string operator()(std::nullptr_t) const { return {}; }
        std::string operator()(const opentracing::Values &) const { return {}; }
        std::string operator()(const opentracing::Dictionary &) const { return {}; }
    };
    return opentracing::Value::visit(value, visitor{});
}

std::string microseconds(std::chrono::steady_clock::duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

} // namespace

std::optional<trace_ids> parseTraceparent(std::string_view header)
{
    if (header.size() != traceparentLength || header.substr(0, 3) != "00-" || header[35] != '-'
        || header[52] != '-')
        return std::nullopt;
    const auto high = parseHex(header.substr(3, 16));
    const auto low = parseHex(header.substr(19, 16));
    const auto span = parseHex(header.substr(36, 16));
    const auto flags = parseHex(header.substr(53, 2));
    if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return trace_ids{{*high, *low}, *span, (*flags & 1) != 0};
}

std::string formatTraceparent(const trace_ids &ids)
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", ids.trace[0], ids.trace[1], ids.span,
                       ids.sampled ? 1 : 0);
}

class json_span final : public opentracing::Span
{
public:
    json_span(const json_tracer &tracer, std::string operation, const trace_ids &ids,
              std::uint64_t parent)
        : m_tracer(tracer)
        , m_operation(std::move(operation))
        , m_context(ids)
        , m_parent(parent)
        , m_start(std::chrono::steady_clock::now())
        , m_wallStart(std::chrono::system_clock::now())
    { }
    ~json_span() override { Finish(); }
    json_span(const json_span &) = delete;
    json_span &operator=(const json_span &) = delete;

    void FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept override
    {
        if (std::exchange(m_finished, true) || !m_context.ids().sampled)
            return;
        try {
            writeRecord(options.finish_steady_timestamp);
        } catch (const std::exception &) {
            ++const_cast<json_tracer &>(m_tracer).m_writeFailures;
        }
    }
    void SetOperationName(opentracing::string_view name) noexcept override { m_operation = name; }
    void SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept override
    {
        m_tags.set(key, toText(value));
    }
    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override { }
    std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override
    {
        for (const auto &[key, value] : fields)
            SetTag(key, value);
    }
    void Log(opentracing::SystemTime,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override
    {
        Log(fields);
    }
    void Log(opentracing::SystemTime,
             const std::vector<std::pair<opentracing::string_view, opentracing::Value>>
                 &fields) noexcept override
    {
        for (const auto &[key, value] : fields)
            SetTag(key, value);
    }
    const opentracing::SpanContext &context() const noexcept override { return m_context; }
    const opentracing::Tracer &tracer() const noexcept override { return m_tracer; }

private:
    void writeRecord(std::chrono::steady_clock::time_point finish)
    {
        const trace_ids &ids = m_context.ids();
        Poco::JSON::Object line;
        line.set("trace", fmt::format("{:016x}{:016x}", ids.trace[0], ids.trace[1]));
        line.set("span", fmt::format("{:016x}", ids.span));
        if (m_parent != 0)
            line.set("parent", fmt::format("{:016x}", m_parent));
        line.set("service", m_tracer.m_service);
        line.set("name", m_operation);
        line.set("start_us", microseconds(m_wallStart.time_since_epoch()));
        line.set("duration_us", microseconds(finish - m_start));
        line.set("tags", m_tags);
        std::ostringstream text;
        line.stringify(text);
        m_tracer.record(text.str() + "\n");
    }

    const json_tracer &m_tracer;
    std::string m_operation;
    trace_context m_context;
    std::uint64_t m_parent;
    std::chrono::steady_clock::time_point m_start;
    std::chrono::system_clock::time_point m_wallStart;
    Poco::JSON::Object m_tags;
    bool m_finished = false;
};

json_tracer::json_tracer(std::string service, trace_options options)
    : m_service(std::move(service))
    , m_options(std::move(options))
    , m_pending(m_options.maxPending)
{
    if (!m_options.file.empty())
        m_writer = std::thread([this] { writeLoop(); });
}

json_tracer::~json_tracer()
{
    m_pending.close();
    if (m_writer.joinable())
        m_writer.join();
}

std::unique_ptr<opentracing::Span> json_tracer::startFromHeader(std::string_view operation,
                                                                std::string_view traceparent) const
{
    const auto ids = parseTraceparent(traceparent);
    if (!ids)
        return StartSpan({operation.data(), operation.size()});
    const trace_context parent(*ids);
    return StartSpan({operation.data(), operation.size()}, {opentracing::ChildOf(&parent)});
}

std::unique_ptr<opentracing::Span> json_tracer::startChild(std::string_view operation,
                                                           const opentracing::Span &parent) const
{
    return StartSpan({operation.data(), operation.size()},
                     {opentracing::ChildOf(&parent.context())});
}

std::uint64_t json_tracer::droppedSpans() const
{
    return m_pending.rejected() + m_writeFailures;
}

std::unique_ptr<opentracing::Span>
json_tracer::StartSpanWithOptions(opentracing::string_view operation,
                                  const opentracing::StartSpanOptions &options) const noexcept
{
    const trace_ids *parent = nullptr;
    for (const auto &[type, context] : options.references)
        if (context && !parent)
            parent = idsOf(*context);
    trace_ids ids;
    if (parent) {
        ids = *parent;
    } else {
        ids.trace = {randomId(), randomId()};
        const double sample
            = static_cast<double>(randomId() >> 11) / static_cast<double>(1ULL << 53);
        ids.sampled = sample < m_options.sampleRatio;
    }
    ids.span = randomId();
    auto span = std::make_unique<json_span>(*this, operation, ids, parent ? parent->span : 0);
    for (const auto &[key, value] : options.tags)
        span->SetTag(key, value);
    return span;
}

opentracing::expected<void> json_tracer::Inject(const opentracing::SpanContext &context,
                                                std::ostream &writer) const
{
    const trace_ids *ids = idsOf(context);
    if (!ids)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    writer << formatTraceparent(*ids);
    return {};
}

opentracing::expected<void> json_tracer::Inject(const opentracing::SpanContext &context,
                                                const opentracing::TextMapWriter &writer) const
{
    const trace_ids *ids = idsOf(context);
    if (!ids)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    return writer.Set({traceparentKey.data(), traceparentKey.size()}, formatTraceparent(*ids));
}

opentracing::expected<void> json_tracer::Inject(const opentracing::SpanContext &context,
                                                const opentracing::HTTPHeadersWriter &writer) const
{
    return Inject(context, static_cast<const opentracing::TextMapWriter &>(writer));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
json_tracer::Extract(std::istream &reader) const
{
    std::string text;
    reader >> text;
    const auto ids = parseTraceparent(text);
    if (!ids)
        return std::unique_ptr<opentracing::SpanContext>();
    return std::unique_ptr<opentracing::SpanContext>(std::make_unique<trace_context>(*ids));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
json_tracer::Extract(const opentracing::TextMapReader &reader) const
{
    std::unique_ptr<opentracing::SpanContext> found;
    const auto visited = reader.ForeachKey(
        [&found](opentracing::string_view key,
                 opentracing::string_view value) -> opentracing::expected<void> {
            if (std::string_view(key.data(), key.size()) == traceparentKey)
                if (const auto ids = parseTraceparent({value.data(), value.size()}))
                    found = std::make_unique<trace_context>(*ids);
            return {};
        });
    if (!visited)
        return opentracing::make_unexpected(visited.error());
    return found;
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
json_tracer::Extract(const opentracing::HTTPHeadersReader &reader) const
{
    return Extract(static_cast<const opentracing::TextMapReader &>(reader));
}

void json_tracer::record(std::string line) const
{
    if (!m_options.file.empty())
        m_pending.tryPush(std::move(line));
}

void json_tracer::writeLoop()
{
    std::ofstream file(m_options.file, std::ios::app | std::ios::binary);
    std::uint64_t written = file ? static_cast<std::uint64_t>(file.tellp()) : 0;
    while (true) {
        const auto line = m_pending.pop(std::chrono::milliseconds(500));
        if (!line) {
            file.flush();
            if (m_pending.isClosed())
                return;
            continue;
        }
        if (!file || written + line->size() > m_options.maxFileBytes) {
            ++m_writeFailures;
            continue;
        }
        file << *line;
        written += line->size();
        if (m_pending.size() == 0)
            file.flush();
    }
}

std::string traceparentOf(const opentracing::Span &span)
{
    const trace_ids *ids = idsOf(span.context());
    return ids ? formatTraceparent(*ids) : std::string();
}

} // namespace buckthorngrade
