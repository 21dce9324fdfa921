#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

enum class decision_kind { lookup, selection, refusal, retry, shift, ejection, allocation };
std::string_view toString(decision_kind kind);

// Explains why a decision was made. The size is limited: texts are truncated to maxText bytes, and
// inputs and ruled-out candidates beyond maxItems each are not stored but counted in `omitted`.
class decision_record
{
public:
    static constexpr std::size_t maxItems = 16;
    static constexpr std::size_t maxText = 128;

    struct input
    {
        std::string name;
        std::string value;
        // Empty for values that are known exactly, such as settings.
        std::optional<std::chrono::milliseconds> age;
    };
    struct ruled_out
    {
        std::string candidate;
        std::string reason;
    };

    std::string id;
    wall_time time;
    decision_kind kind = decision_kind::selection;
    std::uint64_t revision = 0;
    std::uint64_t profileVersion = 0;

    void setRule(std::string_view rule);
    void setOutcome(std::string_view outcome);
    void addInput(std::string_view name, std::string_view value,
                  std::optional<std::chrono::milliseconds> age = std::nullopt);
    void addRuledOut(std::string_view candidate, std::string_view reason);

    const std::string &rule() const { return m_rule; }
    const std::string &outcome() const { return m_outcome; }
    const std::vector<input> &inputs() const { return m_inputs; }
    const std::vector<ruled_out> &ruledOut() const { return m_ruledOut; }
    std::uint32_t omitted() const { return m_omitted; }

    // Returns the record as a JSON object. `time` is in ISO 8601 with fractions of a second, ages
    // are in `age_ms`.
    std::string toJson() const;

private:
    std::string m_rule;
    std::string m_outcome;
    std::vector<input> m_inputs;
    std::vector<ruled_out> m_ruledOut;
    std::uint32_t m_omitted = 0;
};

// Decision ids have the form INSTANCE-NUMBER, so that an id shows which instance has the record.
std::string makeDecisionId(std::string_view instance, std::uint64_t number);

struct decision_id
{
    std::string instance;
    std::uint64_t number = 0;
};
// Returns nothing if `text` is not a decision id. The instance name may contain '-'.
std::optional<decision_id> parseDecisionId(std::string_view text);

} // namespace buckthorngrade
