#pragma once

#include "edge/ioloop.h"

#include <functional>

namespace Filbertmount {

/**
 * Tells an upstream that crashed from one that only lost an answer: after a crash, nobody listens at its address.
 * Lives on the IoLoop.
 */
class CrashCheck
{
public:
    using Verdict = std::function<void(bool hasCrashed)>;

    explicit CrashCheck(IoLoop &loop);

    /** Connects to @p server; @p verdict runs once, at once when too many checks are running. */
    void check(const Tcp::endpoint &server, Verdict verdict);

    /** Checks without a verdict so far. */
    [[nodiscard]] int running() const;

private:
    IoLoop &m_loop;
    int m_running = 0;
};

} // namespace Filbertmount
