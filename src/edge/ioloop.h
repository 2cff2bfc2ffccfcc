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

/** Event loop of an entry instance. A single thread runs it, so code on the loop needs no locks. */
using IoLoop = boost::asio::io_context;

/** Timeouts for detecting a peer that has become unreachable without closing the connection. */
struct SocketTimeouts {
    /** Time within which the peer must acknowledge sent bytes (TCP_USER_TIMEOUT). */
    Duration unacknowledged = std::chrono::milliseconds(2000);
    /** Idle time before the first TCP keepalive probe, and the interval between probes. */
    Duration keepAliveInterval = std::chrono::seconds(1);
};

/** Disables Nagle's algorithm and sets @p timeouts. Errors are ignored: they show up at the next use of the connection. */
void configureSocket(Tcp::socket &socket, const SocketTimeouts &timeouts = {});

/** Parses "IP:port" into an Asio endpoint; returns nothing for any other text. */
std::optional<Tcp::endpoint> toTcpEndpoint(const std::string &address);

/**
 * Runs a function once after a delay. A replaced or cancelled function never runs, even if its delay had already expired:
 * Asio's own timers still call a handler that is already queued on the loop as if it had not been cancelled.
 */
class OneShotTimer
{
public:
    explicit OneShotTimer(const Asio::any_io_executor &executor);
    explicit OneShotTimer(IoLoop &loop);
    ~OneShotTimer();
    OneShotTimer(const OneShotTimer &) = delete;
    OneShotTimer &operator=(const OneShotTimer &) = delete;

    /** Runs @p run after @p delay; replaces a function that has not run yet. */
    void start(Duration delay, std::function<void()> run);
    void cancel();

private:
    Asio::steady_timer m_timer;
    /** Incremented by each start and cancellation; shared with the handlers, which may outlive the timer. */
    std::shared_ptr<std::uint64_t> m_generation;
};

/** Runs a function periodically on the loop until destroyed. The function must not destroy the task. */
class PeriodicTask
{
public:
    PeriodicTask(IoLoop &loop, Duration interval, std::function<void()> run);

private:
    void schedule();

    OneShotTimer m_timer;
    Duration m_interval;
    std::function<void()> m_run;
};

} // namespace Filbertmount
