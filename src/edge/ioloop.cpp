#include "edge/ioloop.h"

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace Filbertmount {

namespace {

template<int Name>
using TcpOption = Asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int MaxMissedKeepAlives = 2;

int toWholeMilliseconds(Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

int toWholeSeconds(Duration duration)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

void configureSocket(Tcp::socket &socket, const SocketTimeouts &timeouts)
{
    error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(toWholeMilliseconds(timeouts.unacknowledged)), ignored);
    socket.set_option(Asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(toWholeSeconds(timeouts.keepAliveInterval)), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(toWholeSeconds(timeouts.keepAliveInterval)), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(MaxMissedKeepAlives), ignored);
}

std::optional<Tcp::endpoint> toTcpEndpoint(const std::string &address)
{
    const std::optional<Endpoint> parsed = parseEndpoint(address);
    if (!parsed) {
        return std::nullopt;
    }
    error_code error;
    const Asio::ip::address ip = Asio::ip::make_address(parsed->ip, error);
    if (error) {
        return std::nullopt;
    }
    return Tcp::endpoint(ip, parsed->port);
}

OneShotTimer::OneShotTimer(const Asio::any_io_executor &executor)
    : m_timer(executor)
    , m_generation(std::make_shared<std::uint64_t>(0))
{
}

OneShotTimer::OneShotTimer(IoLoop &loop)
    : OneShotTimer(loop.get_executor())
{
}

OneShotTimer::~OneShotTimer()
{
    cancel();
}

void OneShotTimer::start(Duration delay, std::function<void()> run)
{
    const std::uint64_t generation = ++*m_generation;
    m_timer.expires_after(std::max(delay, Duration::zero()));
    m_timer.async_wait([generation, current = m_generation, run = std::move(run)](const error_code &error) {
        if (!error && *current == generation) {
            run();
        }
    });
}

void OneShotTimer::cancel()
{
    ++*m_generation;
    m_timer.cancel();
}

PeriodicTask::PeriodicTask(IoLoop &loop, Duration interval, std::function<void()> run)
    : m_timer(loop)
    , m_interval(interval)
    , m_run(std::move(run))
{
    schedule();
}

void PeriodicTask::schedule()
{
    m_timer.start(m_interval, [this] {
        m_run();
        schedule();
    });
}

} // namespace Filbertmount
