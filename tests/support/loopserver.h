#pragma once

#include "edge/ioloop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Filbertmount::TestSupport {

/** Runs @p loop until @p isDone returns true or five seconds have passed. Returns the last result of @p isDone. */
inline bool runUntil(IoLoop &loop, const std::function<bool()> &isDone)
{
    const Instant end = ProcessClock::now() + std::chrono::seconds(5);
    loop.restart();
    while (!isDone() && ProcessClock::now() < end) {
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return isDone();
}

/** One accepted connection of a ScriptedServer. */
class ScriptedPeer : public std::enable_shared_from_this<ScriptedPeer>
{
public:
    using DataHandler = std::function<void(ScriptedPeer &)>;

    ScriptedPeer(Tcp::socket connection, DataHandler handler)
        : socket(std::move(connection))
        , m_handler(std::move(handler))
    {
    }

    void read()
    {
        socket.async_read_some(Asio::buffer(m_buffer), [self = shared_from_this()](const error_code &error, std::size_t bytes) {
            if (error) {
                self->isClosedByClient = true;
                return;
            }
            self->received.append(self->m_buffer.data(), bytes);
            self->m_handler(*self);
            self->read();
        });
    }

    void send(const std::string &text)
    {
        error_code ignored;
        Asio::write(socket, Asio::buffer(text), ignored);
    }

    void close()
    {
        error_code ignored;
        socket.shutdown(Tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }

    /** Closes the connection with a TCP reset instead of an orderly end. */
    void reset()
    {
        error_code ignored;
        socket.set_option(Asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    Tcp::socket socket;
    std::string received;
    bool isClosedByClient = false;

private:
    DataHandler m_handler;
    std::array<char, 4096> m_buffer{};
};

/** Sends @p text as over a slow link, in parts of @p partBytes with @p pause between them. */
inline void sendSlowly(const std::shared_ptr<ScriptedPeer> &peer, std::string text, std::size_t partBytes, Duration pause)
{
    peer->send(text.substr(0, partBytes));
    if (text.size() <= partBytes) {
        return;
    }
    auto timer = std::make_shared<Asio::steady_timer>(peer->socket.get_executor(), pause);
    timer->async_wait([timer, peer, text = std::move(text), partBytes, pause](const error_code &error) {
        if (!error && !peer->isClosedByClient && peer->socket.is_open()) {
            sendSlowly(peer, text.substr(partBytes), partBytes, pause);
        }
    });
}

/** A TCP server on the loopback interface; the test writes its responses as raw bytes. */
class ScriptedServer
{
public:
    ScriptedServer(IoLoop &loop, ScriptedPeer::DataHandler onData)
        : m_acceptor(loop, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , m_onData(std::move(onData))
    {
        accept();
    }

    [[nodiscard]] Tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint().port());
    }

    /** Refuses further connections, like the address of a process that has ended. */
    void stopListening()
    {
        error_code ignored;
        m_acceptor.close(ignored);
    }

    std::vector<std::shared_ptr<ScriptedPeer>> peers;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const error_code &error, Tcp::socket socket) {
            if (error) {
                return;
            }
            peers.push_back(std::make_shared<ScriptedPeer>(std::move(socket), m_onData));
            peers.back()->read();
            accept();
        });
    }

    Tcp::acceptor m_acceptor;
    ScriptedPeer::DataHandler m_onData;
};

} // namespace Filbertmount::TestSupport
