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
    using ResultHandler = std::function<void(bool hasCrashed)>;

    explicit CrashCheck(IoLoop &loop);

    /** Connects to @p server; @p handler runs once, at once when too many checks are running. */
    void check(const Tcp::endpoint &server, ResultHandler handler);

    /** Checks without a handler so far. */
    [[nodiscard]] int running() const;

private:
    IoLoop &m_loop;
    int m_running = 0;
};

} // namespace Filbertmount
