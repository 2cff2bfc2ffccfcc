#include "proxy/testsocket.h"

#include <filbertmount/proxy/httpmessage.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdlib>

namespace Filbertmount::Testing {

namespace {

// The thread sanitizer does not know that sending and receiving bytes over a socket synchronizes two threads. A release and
// an acquire of this counter show it.
std::atomic<unsigned> sendCount = 0;

void publishSend()
{
    sendCount.fetch_add(1, std::memory_order_release);
}

void observeSends()
{
    static_cast<void>(sendCount.load(std::memory_order_acquire));
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void readChunks(TestSocket &socket, TestMessage &message)
{
    while (const auto line = socket.readUntil("\r\n")) {
        const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
        const std::string data = socket.readBytes(size);
        message.body += data;
        if (data.size() < size || !socket.readUntil("\r\n")) {
            return;
        }
        if (size == 0) {
            message.complete = true;
            return;
        }
    }
}

} // namespace

TestSocket::TestSocket(int descriptor)
    : m_descriptor(descriptor)
{
    const timeval limit{.tv_sec = 20, .tv_usec = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

TestSocket::~TestSocket()
{
    if (valid()) {
        close(m_descriptor);
    }
}

TestSocket TestSocket::connectTo(std::uint16_t port)
{
    TestSocket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = loopback(port);
    if (connect(result.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return {};
    }
    return result;
}

TestSocket TestSocket::listening()
{
    TestSocket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval forever{};
    setsockopt(result.m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &forever, sizeof forever);
    const sockaddr_in address = loopback(0);
    static_cast<void>(bind(result.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    listen(result.m_descriptor, 256);
    return result;
}

std::uint16_t TestSocket::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

TestSocket TestSocket::accept()
{
    const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    return descriptor < 0 ? TestSocket() : TestSocket(descriptor);
}

bool TestSocket::send(const std::string &data)
{
    publishSend();
    std::size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t count = ::send(m_descriptor, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool TestSocket::receive()
{
    std::array<char, 16384> block{};
    const ssize_t count = recv(m_descriptor, block.data(), block.size(), 0);
    observeSends();
    if (count <= 0) {
        return false;
    }
    m_buffer.append(block.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> TestSocket::readUntil(const std::string &end)
{
    std::size_t found = m_buffer.find(end);
    while (found == std::string::npos) {
        if (!receive()) {
            return std::nullopt;
        }
        found = m_buffer.find(end);
    }
    std::string text = m_buffer.substr(0, found + end.size());
    m_buffer.erase(0, text.size());
    return text;
}

std::string TestSocket::readBytes(std::size_t count)
{
    while (m_buffer.size() < count && receive()) { }
    std::string text = m_buffer.substr(0, count);
    m_buffer.erase(0, text.size());
    return text;
}

std::string TestSocket::readToEnd()
{
    while (receive()) { }
    return std::exchange(m_buffer, {});
}

bool TestSocket::closedByPeer()
{
    char byte = 0;
    const ssize_t count = m_buffer.empty() ? recv(m_descriptor, &byte, 1, 0) : 1;
    return count == 0 || (count < 0 && errno == ECONNRESET);
}

void TestSocket::shutdown()
{
    publishSend();
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void TestSocket::reset()
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(std::exchange(m_descriptor, -1));
}

int TestMessage::status() const
{
    return startLine.size() < 12 ? 0 : std::atoi(startLine.substr(9, 3).c_str());
}

std::string TestMessage::header(const std::string &name) const
{
    std::size_t start = 0;
    while (start < headerLines.size()) {
        const std::size_t end = headerLines.find("\r\n", start);
        const std::string line = headerLines.substr(start, end - start);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && equalsIgnoringCase(line.substr(0, colon), name)) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            return value == std::string::npos ? "" : line.substr(value);
        }
        start = end + 2;
    }
    return {};
}

TestMessage readMessage(TestSocket &socket, bool bodyless)
{
    TestMessage message;
    const auto head = socket.readUntil("\r\n\r\n");
    if (!head) {
        return message;
    }
    const std::size_t line = head->find("\r\n");
    message.startLine = head->substr(0, line);
    message.headerLines = head->substr(line + 2, head->size() - line - 4);
    if (bodyless) {
        message.complete = true;
    } else if (equalsIgnoringCase(message.header("Transfer-Encoding"), "chunked")) {
        readChunks(socket, message);
    } else {
        const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        message.body = socket.readBytes(length);
        message.complete = message.body.size() == length;
    }
    return message;
}

} // namespace Filbertmount::Testing
