#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace Filbertmount::Testing {

/** A blocking loopback socket. Calls time out after 20 s, so that a failing test ends. */
class TestSocket
{
public:
    TestSocket() = default;
    explicit TestSocket(int descriptor);
    TestSocket(TestSocket &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    TestSocket &operator=(TestSocket &&other) = delete;
    TestSocket(const TestSocket &) = delete;
    TestSocket &operator=(const TestSocket &) = delete;
    ~TestSocket();

    static TestSocket connectTo(std::uint16_t port);
    /** Returns a listening socket on a free port. */
    static TestSocket listening();

    [[nodiscard]] std::uint16_t port() const;
    /** Returns an invalid socket after a shutdown of the listener. */
    TestSocket accept();
    [[nodiscard]] bool valid() const
    {
        return m_descriptor >= 0;
    }
    bool send(const std::string &data);
    /** Returns the bytes up to and including @p end, or nothing if the connection ends before. */
    std::optional<std::string> readUntil(const std::string &end);
    /** Returns fewer bytes if the connection ends before. */
    std::string readBytes(std::size_t count);
    std::string readToEnd();
    /** Waits for the next byte; returns whether the peer closed the connection instead. */
    bool closedByPeer();
    void shutdown();
    /** Closes the connection with a TCP reset. */
    void reset();

private:
    bool receive();

    int m_descriptor = -1;
    std::string m_buffer;
};

/** A received HTTP request or response. */
struct TestMessage {
    /** Request line or status line. */
    std::string startLine;
    /** All header lines with their line ends. */
    std::string headerLines;
    std::string body;
    /** Whether the body was received completely. */
    bool complete = false;

    [[nodiscard]] int status() const;
    [[nodiscard]] std::string header(const std::string &name) const;
};

/** Reads one HTTP message. Its start line is empty if the connection ends before the end of the header. */
TestMessage readMessage(TestSocket &socket, bool bodyless = false);

} // namespace Filbertmount::Testing
