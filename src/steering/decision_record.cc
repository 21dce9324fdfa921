#include "steering/decision_record.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Timestamp.h>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <sstream>

namespace buckthorngrade {

namespace {

constexpr std::array<std::string_view, 7> kindNames
    = {"lookup", "selection", "refusal", "retry", "shift", "ejection", "allocation"};

std::string truncateText(std::string_view text)
{
    return std::string(text.substr(0, decision_record::maxText));
}

} // namespace

std::string_view toString(decision_kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

void decision_record::setRule(std::string_view rule)
{
    m_rule = truncateText(rule);
}

void decision_record::setOutcome(std::string_view outcome)
{
    m_outcome = truncateText(outcome);
}

void decision_record::addInput(std::string_view name, std::string_view value,
                               std::optional<std::chrono::milliseconds> age)
{
    if (m_inputs.size() == maxItems) {
        ++m_omitted;
        return;
    }
    m_inputs.push_back({truncateText(name), truncateText(value), age});
}

void decision_record::addRuledOut(std::string_view candidate, std::string_view reason)
{
    if (m_ruledOut.size() == maxItems) {
        ++m_omitted;
        return;
    }
    m_ruledOut.push_back({truncateText(candidate), truncateText(reason)});
}

std::string decision_record::toJson() const
{
    Poco::JSON::Object object;
    object.set("id", id);
    const auto sinceEpoch
        = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    object.set("time",
               Poco::DateTimeFormatter::format(Poco::Timestamp(sinceEpoch.count()),
                                               "%Y-%m-%dT%H:%M:%s%z"));
    object.set("kind", std::string(toString(kind)));
    object.set("rule", m_rule);
    object.set("outcome", m_outcome);
    object.set("revision", revision);
    object.set("profile_version", profileVersion);
    Poco::JSON::Array inputArray;
    for (const input &item : m_inputs) {
        Poco::JSON::Object entry;
        entry.set("name", item.name);
        entry.set("value", item.value);
        if (item.age)
            entry.set("age_ms", static_cast<std::int64_t>(item.age->count()));
        inputArray.add(entry);
    }
    object.set("inputs", inputArray);
    Poco::JSON::Array ruledOutArray;
    for (const ruled_out &item : m_ruledOut) {
        Poco::JSON::Object entry;
        entry.set("candidate", item.candidate);
        entry.set("reason", item.reason);
        ruledOutArray.add(entry);
    }
    object.set("ruled_out", ruledOutArray);
    object.set("omitted", m_omitted);
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

std::string makeDecisionId(std::string_view instance, std::uint64_t number)
{
    return fmt::format("{}-{}", instance, number);
}

std::optional<decision_id> parseDecisionId(std::string_view text)
{
    const std::size_t dash = text.rfind('-');
    if (dash == std::string_view::npos || dash == 0 || dash + 1 == text.size()
        || text.size() > decision_record::maxText)
        return std::nullopt;
    decision_id id;
    const std::string_view digits = text.substr(dash + 1);
    const auto [end, errorCode]
        = std::from_chars(digits.data(), digits.data() + digits.size(), id.number);
    if (errorCode != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    id.instance = text.substr(0, dash);
    return id;
}

} // namespace buckthorngrade
