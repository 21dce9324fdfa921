#include "mutator.h"

#include <cstdlib>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::size_t defaultIterations = 20'000;
constexpr std::size_t maxMutations = 6;
constexpr std::size_t maxRepeats = 200;

} // namespace

mutator::mutator(std::uint64_t seed, std::vector<std::string> corpus)
    : m_engine(seed)
    , m_corpus(std::move(corpus))
{ }

// The engine's output is fixed by the standard, that of std::uniform_int_distribution is not.
std::size_t mutator::below(std::size_t bound)
{
    return bound == 0 ? 0 : m_engine() % bound;
}

std::string mutator::next()
{
    std::string text = m_corpus[below(m_corpus.size())];
    const std::size_t mutations = 1 + below(maxMutations);
    for (std::size_t i = 0; i < mutations; ++i)
        mutateOnce(text);
    return text;
}

void mutator::mutateOnce(std::string &text)
{
    const std::size_t at = below(text.size());
    const std::size_t length = below(text.size() - at + 1);
    switch (below(7)) {
    case 0:
        if (!text.empty())
            text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        break;
    case 1:
        text.erase(at, length);
        break;
    case 2:
        text.insert(at, 1 + below(4), static_cast<char>(below(256)));
        break;
    case 3: {
        const std::string piece = text.substr(at, below(16));
        for (std::size_t i = below(maxRepeats); i > 0; --i)
            text.insert(at, piece);
        break;
    }
    case 4: {
        const std::string &other = m_corpus[below(m_corpus.size())];
        const std::size_t from = below(other.size());
        text.insert(at, other.substr(from, below(64)));
        break;
    }
    case 5:
        text.resize(at);
        break;
    default:
        if (!text.empty())
            std::swap(text[at], text[below(text.size())]);
        break;
    }
}

std::size_t fuzzIterations()
{
    const char *value = std::getenv("BG_FUZZ_ITERATIONS");
    return value ? std::strtoull(value, nullptr, 10) : defaultIterations;
}

} // namespace buckthorngrade
