#pragma once

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace Filbertmount::TestSupport {

/** Number of seeds of a fuzz test; FILBERTMOUNT_FUZZ_SEEDS replaces @p defaultCount, for longer runs than in CI. */
inline int fuzzSeedCount(int defaultCount)
{
    const char *configured = std::getenv("FILBERTMOUNT_FUZZ_SEEDS"); // NOLINT(concurrency-mt-unsafe): nothing sets it.
    return configured != nullptr ? std::atoi(configured) : defaultCount; // NOLINT(cert-err34-c): 0 runs none.
}

/** Mutates texts at random positions, in ways that matter to parsers of HTTP and JSON. */
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /** Returns a random number from 0 to @p bound - 1. */
    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    /** Returns @p text with 0 to 3 random mutations. */
    std::string mutated(std::string text)
    {
        const std::size_t mutationCount = randomBelow(4);
        for (std::size_t mutation = 0; mutation < mutationCount && !text.empty(); ++mutation) {
            applyMutation(text);
        }
        return text;
    }

    /** Splits @p text into pieces of 1 to 20 bytes. */
    std::vector<std::string> pieces(const std::string &text)
    {
        constexpr std::size_t maxPieceSize = 20;
        std::vector<std::string> result;
        for (std::size_t position = 0; position < text.size();) {
            const std::size_t size = 1 + randomBelow(maxPieceSize);
            result.push_back(text.substr(position, size));
            position += size;
        }
        return result;
    }

private:
    void applyMutation(std::string &text)
    {
        static const std::vector<std::string> snippets = {"\r\n",
                                                          "\n",
                                                          "\r",
                                                          " ",
                                                          "\t",
                                                          ":",
                                                          "\r\n ",
                                                          "\r\n\r\n",
                                                          std::string(1, '\0'),
                                                          "\xff",
                                                          "Content-Length: 3\r\n",
                                                          "Content-Length: 30\r\n",
                                                          "Transfer-Encoding: chunked\r\n",
                                                          "Transfer-Encoding: gzip\r\n",
                                                          "0\r\n\r\n",
                                                          "fffffffffffffffff",
                                                          "-1",
                                                          "1e999",
                                                          "null",
                                                          "{",
                                                          "]",
                                                          "\""};
        const std::size_t position = randomBelow(text.size());
        switch (randomBelow(5)) {
        case 0:
            text[position] = static_cast<char>(randomBelow(256));
            break;
        case 1:
            text.erase(position, 1 + randomBelow(8));
            break;
        case 2:
            text.insert(position, snippets[randomBelow(snippets.size())]);
            break;
        case 3:
            text.insert(position, text.substr(randomBelow(text.size()), 1 + randomBelow(30)));
            break;
        default:
            text.resize(position);
        }
    }

    std::mt19937_64 m_random;
};

} // namespace Filbertmount::TestSupport
