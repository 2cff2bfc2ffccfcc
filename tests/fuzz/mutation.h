#pragma once

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace Filbertmount::TestSupport {

/** Seeds of one fuzz test; FILBERTMOUNT_FUZZ_SEEDS asks for a longer run than the one that CI makes. */
inline int fuzzSeeds(int usual)
{
    const char *asked = std::getenv("FILBERTMOUNT_FUZZ_SEEDS"); // NOLINT(concurrency-mt-unsafe): nothing sets it.
    return asked != nullptr ? std::atoi(asked) : usual; // NOLINT(cert-err34-c): 0 runs none.
}

/** Changes texts at random places, in ways that matter to parsers of HTTP and JSON. */
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    std::string mutated(std::string text)
    {
        const std::size_t changes = below(4);
        for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
            changeOnce(text);
        }
        return text;
    }

    /** Splits @p text into pieces of 1 to 20 bytes. */
    std::vector<std::string> pieces(const std::string &text)
    {
        constexpr std::size_t largest = 20;
        std::vector<std::string> result;
        for (std::size_t position = 0; position < text.size();) {
            const std::size_t size = 1 + below(largest);
            result.push_back(text.substr(position, size));
            position += size;
        }
        return result;
    }

private:
    void changeOnce(std::string &text)
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
        const std::size_t at = below(text.size());
        switch (below(5)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(at, 1 + below(8));
            break;
        case 2:
            text.insert(at, snippets[below(snippets.size())]);
            break;
        case 3:
            text.insert(at, text.substr(below(text.size()), 1 + below(30)));
            break;
        default:
            text.resize(at);
        }
    }

    std::mt19937_64 m_random;
};

} // namespace Filbertmount::TestSupport
