#pragma once

#include "proxy/testsocket.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace Filbertmount::Testing {

/** An upstream that runs a script for each request, on one thread per connection. */
class TestUpstream
{
public:
    /** Responds on the socket and returns whether the connection stays open. */
    using Script = std::function<bool(const TestMessage &request, TestSocket &socket)>;

    explicit TestUpstream(Script script);
    ~TestUpstream();
    TestUpstream(const TestUpstream &) = delete;
    TestUpstream &operator=(const TestUpstream &) = delete;

    [[nodiscard]] std::string address() const;
    /** Number of requests whose head was received. */
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }
    /** Number of requests whose body was received completely. */
    [[nodiscard]] int completeRequests() const
    {
        return m_completeRequests;
    }
    [[nodiscard]] int connections() const
    {
        return m_connections;
    }

private:
    void acceptAll();
    void serve(TestSocket &socket);

    Script m_script;
    TestSocket m_listener = TestSocket::listening();
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_completeRequests = 0;
    std::atomic<int> m_connections = 0;
    absl::Mutex m_mutex;
    std::list<TestSocket> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** Returns a script that always sends the same response. */
TestUpstream::Script always(std::string response);

/** Returns the text of a response with a Content-Length. */
std::string responseWith(const std::string &status, const std::string &body, const std::string &headers = {});

} // namespace Filbertmount::Testing
