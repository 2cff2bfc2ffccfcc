#include "proxy/testupstream.h"

namespace Filbertmount::Testing {

TestUpstream::TestUpstream(Script script)
    : m_script(std::move(script))
    , m_acceptor([this] {
        acceptAll();
    })
{
}

TestUpstream::~TestUpstream()
{
    m_listener.shutdown();
    m_acceptor.join();
    {
        const absl::MutexLock lock(&m_mutex);
        for (TestSocket &socket : m_sockets) {
            if (socket.valid()) {
                socket.shutdown();
            }
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

std::string TestUpstream::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener.port());
}

void TestUpstream::acceptAll()
{
    while (true) {
        TestSocket socket = m_listener.accept();
        if (!socket.valid()) {
            return;
        }
        ++m_connections;
        const absl::MutexLock lock(&m_mutex);
        TestSocket &kept = m_sockets.emplace_back(std::move(socket));
        m_threads.emplace_back([this, &kept] {
            serve(kept);
        });
    }
}

void TestUpstream::serve(TestSocket &socket)
{
    while (true) {
        const TestMessage request = readMessage(socket);
        if (request.startLine.empty()) {
            return;
        }
        ++m_requests;
        m_completeRequests += request.complete ? 1 : 0;
        if (!m_script(request, socket)) {
            break;
        }
    }
    const absl::MutexLock lock(&m_mutex);
    if (socket.valid()) {
        socket.shutdown();
    }
}

TestUpstream::Script always(std::string response)
{
    return [response = std::move(response)](const TestMessage &, TestSocket &socket) {
        return socket.send(response);
    };
}

std::string responseWith(const std::string &status, const std::string &body, const std::string &headers)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Filbertmount::Testing
