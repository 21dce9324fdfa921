#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Makes malformed variants of valid inputs: flipped, removed, repeated and swapped bytes, and
// pieces of other inputs. The same seed gives the same variants.
class mutator
{
public:
    mutator(std::uint64_t seed, std::vector<std::string> corpus);

    // A variant of a random input of the corpus.
    std::string next();

private:
    std::size_t below(std::size_t bound);
    void mutateOnce(std::string &text);

    std::mt19937_64 m_engine;
    std::vector<std::string> m_corpus;
};

// Iterations of each fuzz test: BG_FUZZ_ITERATIONS, or a fixed budget for CI.
std::size_t fuzzIterations();

} // namespace buckthorngrade
