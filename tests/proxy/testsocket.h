#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace Filbertmount::Testing {

/** A loopback socket with blocking calls that give up after 20 s, so that a failing test ends. */
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
    /** Sets up a listening socket on a free port. */
    static TestSocket listening();

    [[nodiscard]] std::uint16_t port() const;
    /** Returns an invalid socket when the listener was shut down. */
    TestSocket accept();
    [[nodiscard]] bool valid() const
    {
        return m_descriptor >= 0;
    }
    bool send(const std::string &data);
    /** Returns bytes up to and with @p end, or nothing when the connection ends before. */
    std::optional<std::string> readUntil(const std::string &end);
    /** Returns fewer bytes when the connection ends before. */
    std::string readBytes(std::size_t count);
    std::string readToEnd();
    /** Whether the other side closed the connection without another byte. */
    bool closedByPeer();
    void shutdown();
    /** Closes with a reset instead of an orderly end. */
    void reset();

private:
    bool receive();

    int m_descriptor = -1;
    std::string m_buffer;
};

/** A received HTTP message, request or answer. */
struct TestMessage {
    /** Request line or status line. */
    std::string startLine;
    /** With the line ends. */
    std::string headerLines;
    std::string body;
    /** Whether the body was received up to its stated end. */
    bool complete = false;

    [[nodiscard]] int status() const;
    [[nodiscard]] std::string header(const std::string &name) const;
};

/** Reads one HTTP message; the start line is empty when the connection ends before. */
TestMessage readMessage(TestSocket &socket, bool bodyless = false);

} // namespace Filbertmount::Testing
