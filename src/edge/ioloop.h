#pragma once

#include <filbertmount/types/endpoint.h>
#include <filbertmount/types/instant.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Filbertmount {

namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/** The single thread on which everything of an entry instance runs; no lock is needed between its parts. */
using IoLoop = boost::asio::io_context;

/** Time limits by which a socket notices that its peer or the path to it is gone without a word. */
struct SocketTimeouts {
    /** Sent bytes must be acknowledged within this time. */
    Duration unacknowledged = std::chrono::milliseconds(2000);
    /** An idle connection is checked after this time, and as often again. */
    Duration keepAliveInterval = std::chrono::seconds(1);
};

/** Disables Nagle's algorithm and sets @p timeouts. Errors are ignored: the connection shows them at its next use. */
void configureSocket(Tcp::socket &socket, const SocketTimeouts &timeouts = {});

/** Parses "IP:port" into an Asio endpoint. */
std::optional<Tcp::endpoint> toTcpEndpoint(const std::string &address);

/**
 * Runs a function once after a time. A function that was replaced or cancelled never runs, not even when its time had passed
 * already: Asio's own timers call a handler that waits in the loop's queue as if nothing had happened since.
 */
class OneShotTimer
{
public:
    explicit OneShotTimer(const Asio::any_io_executor &executor);
    explicit OneShotTimer(IoLoop &loop);
    ~OneShotTimer();
    OneShotTimer(const OneShotTimer &) = delete;
    OneShotTimer &operator=(const OneShotTimer &) = delete;

    /** Replaces a function that has not run yet. */
    void start(Duration delay, std::function<void()> run);
    void cancel();

private:
    Asio::steady_timer m_timer;
    /** Rises with each start and cancellation; shared with the handlers, which may outlive the timer. */
    std::shared_ptr<std::uint64_t> m_generation;
};

/** Runs a function again and again on the loop; stops when destroyed. */
class PeriodicTask
{
public:
    PeriodicTask(IoLoop &loop, Duration interval, std::function<void()> run);

private:
    void schedule();

    Asio::steady_timer m_timer;
    Duration m_interval;
    std::function<void()> m_run;
};

} // namespace Filbertmount
