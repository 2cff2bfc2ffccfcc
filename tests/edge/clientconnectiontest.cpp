#include "edge/clientconnection.h"

#include "proxy/testsocket.h"
#include "support/invalidheads.h"
#include "support/loopserver.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

ClientExchangeOptions request(const std::string &id)
{
    return {.request = "GET /a/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n",
            .timeout = 400ms,
            .matchesRequest = [id](const Headers &headers) {
                const std::string *responseId = findHeader(headers, "Id");
                return responseId != nullptr && *responseId == id;
            }};
}

std::string response(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Result of one exchange, and whether the connection is reusable after it. */
struct Outcome {
    ExchangeResult result;
    bool isReusable = false;
};

/** Runs one exchange with a server that sends @p text and then calls @p then. */
Outcome exchangeWith(const std::string &text, const std::function<void(ScriptedPeer &)> &then = {})
{
    IoLoop loop;
    ScriptedServer server(loop, [&](ScriptedPeer &peer) {
        peer.send(text);
        if (then) {
            then(peer);
        }
    });
    auto connection = std::make_shared<ClientConnection>(loop, server.endpoint());
    std::optional<ExchangeResult> result;
    connection->exchange(request("1"), [&](ExchangeResult ended) {
        result = std::move(ended);
    });
    REQUIRE(runUntil(loop, [&] {
        return result.has_value();
    }));
    Outcome outcome{.result = std::move(*result), .isReusable = connection->isReusable()};
    connection->close();
    return outcome;
}

const auto Close = [](ScriptedPeer &peer) {
    peer.close();
};
const auto Reset = [](ScriptedPeer &peer) {
    peer.reset();
};

} // namespace

// A listing of the store has a timeout of 300 ms, so that one of 476 KB was cut off over each link with 10 Mbit/s.
TEST_CASE("client connection: a long response may take longer than the timeout while it arrives")
{
    constexpr std::size_t partBytes = 2000;
    const struct {
        const char *name;
        TransferProgress progress;
        Duration pause;
        ExchangeEnd end;
    } rows[] = {
        {"fixed timeout", {}, 30ms, ExchangeEnd::TimedOut},
        {"fast enough", {.minBytesPerSecond = 10'000, .stallTimeout = 500ms}, 30ms, ExchangeEnd::Responded},
        {"slower than the lowest rate", {.minBytesPerSecond = 200'000, .stallTimeout = 500ms}, 30ms, ExchangeEnd::TimedOut},
        {"stalls", {.minBytesPerSecond = 100, .stallTimeout = 500ms}, 1200ms, ExchangeEnd::TimedOut},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        IoLoop loop;
        const std::string text = response("1", std::string(20 * partBytes, 'x'));
        ScriptedServer server(loop, [&](ScriptedPeer &peer) {
            sendSlowly(peer.shared_from_this(), text, partBytes, row.pause);
        });
        auto connection = std::make_shared<ClientConnection>(loop, server.endpoint());
        ClientExchangeOptions options = request("1");
        options.timeout = 200ms;
        options.progress = row.progress;
        std::optional<ExchangeResult> result;
        connection->exchange(std::move(options), [&](ExchangeResult ended) {
            result = std::move(ended);
        });
        REQUIRE(runUntil(loop, [&] {
            return result.has_value();
        }));
        CHECK(result->end == row.end);
        connection->close();
    }
}

TEST_CASE("client connection: only a complete response to its own request is accepted")
{
    struct Row {
        const char *name;
        std::string text;
        std::function<void(ScriptedPeer &)> then;
        ExchangeEnd end;
        std::string body;
        bool isReusable;
    };
    const Row rows[] = {
        {"whole", response("1", "body"), {}, ExchangeEnd::Responded, "body", true},
        {"cut short", response("1", "body").substr(0, 40), Close, ExchangeEnd::Broken, "", false},
        {"no length, ended in order", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", Close, ExchangeEnd::Responded, "body", false},
        {"no length, reset", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", Reset, ExchangeEnd::Broken, "", false},
        {"chunks",
         "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
         {},
         ExchangeEnd::Responded,
         "body",
         true},
        {"chunks without end",
         "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
         Close,
         ExchangeEnd::Broken,
         "",
         false},
        {"garbage", "\x01\x02nonsense\r\n\r\n", {}, ExchangeEnd::Malformed, "", false},
        {"two lengths",
         "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx",
         {},
         ExchangeEnd::Malformed,
         "",
         false},
        {"late response to another request first",
         response("0", "old") + response("1", "body"),
         {},
         ExchangeEnd::Responded,
         "body",
         false},
        {"only a response to another request", response("0", "old"), Close, ExchangeEnd::Broken, "", false},
        {"two responses", response("1", "body") + response("1", "again"), {}, ExchangeEnd::Responded, "body", false},
        {"interim response first",
         "HTTP/1.1 100 Continue\r\n\r\n" + response("1", "body"),
         {},
         ExchangeEnd::Responded,
         "body",
         true},
        {"asks to close",
         "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
         {},
         ExchangeEnd::Responded,
         "body",
         false},
        {"silence", "", {}, ExchangeEnd::TimedOut, "", false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const Outcome outcome = exchangeWith(row.text, row.then);
        CHECK(outcome.result.end == row.end);
        CHECK(outcome.result.response.body == row.body);
        CHECK(outcome.isReusable == row.isReusable);
    }
}

// A status that is no HTTP was passed on as an answer, or taken for an interim response.
TEST_CASE("client connection: a response whose status is not valid is rejected")
{
    for (const std::string &status : invalidStatuses()) {
        CAPTURE(status);
        const std::string response = "HTTP/1.1 " + status + " OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n";
        for (const std::string rest : {"body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"}) {
            const Outcome outcome = exchangeWith(response + rest, Close);
            CHECK(outcome.result.end == ExchangeEnd::Malformed);
        }
    }
}

// A line whose field name is no HTTP was passed on, or hid the length of the body that followed.
TEST_CASE("client connection: a response whose head has a line that is not valid is rejected")
{
    const std::string start = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    std::vector<InvalidLine> lines = invalidLines();
    lines.push_back(
        {"trailer with a blank in its name", "Transfer-Encoding: chunked\r\n", "\r\n4\r\nbody\r\n0\r\nOwn name: value\r\n\r\n"});
    for (const InvalidLine &row : lines) {
        CAPTURE(row.name);
        CHECK(exchangeWith(start + row.line + row.end, Close).result.end == ExchangeEnd::Malformed);
    }
    CHECK(exchangeWith("HTTP/1.1 200 OK\r\n Id: 1\r\nContent-Length: 4\r\n\r\nbody", Close).result.end == ExchangeEnd::Malformed);
}

// The part of an early response to a long upload was taken for the whole response: the failed write took the socket's error, so
// that the read saw an orderly end, and its handler ran before that of the write. The upstream has a thread of its own, since the
// order depends on when the reset arrives.
TEST_CASE("client connection: a response without a length that is reset during the upload is not complete")
{
    constexpr int tries = 50;
    constexpr std::size_t uploadBytes = std::size_t{4} << 20U;
    Testing::TestSocket listener = Testing::TestSocket::listening();
    std::thread upstream([&listener] {
        for (int count = 0; count < tries; ++count) {
            Testing::TestSocket socket = listener.accept();
            socket.readUntil("\r\n\r\n");
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart");
            // While this reads, the client goes on sending.
            socket.readBytes(static_cast<std::size_t>(count % 10) << 16U);
            socket.reset();
        }
    });
    int complete = 0;
    for (int count = 0; count < tries; ++count) {
        IoLoop loop{1};
        const Tcp::endpoint server(Asio::ip::address_v4::loopback(), listener.port());
        auto connection = std::make_shared<ClientConnection>(loop, server);
        ClientExchangeOptions options = request("1");
        options.request = "POST /a/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n"
            + std::string(uploadBytes, 'u');
        std::optional<ExchangeResult> result;
        connection->exchange(std::move(options), [&](ExchangeResult ended) {
            result = std::move(ended);
        });
        CHECK(runUntil(loop, [&] {
            return result.has_value();
        }));
        complete += result && result->end == ExchangeEnd::Responded ? 1 : 0;
        connection->close();
    }
    upstream.join();
    CHECK(complete == 0);
}

// An early response that ends in order is the upstream's whole response, also while the upload is not finished.
TEST_CASE("client connection: a response without a length that ends in order during the upload is complete")
{
    IoLoop loop;
    ScriptedServer server(loop, [](ScriptedPeer &peer) {
        if (peer.received.size() < 8192) {
            error_code ignored;
            peer.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody");
            peer.socket.shutdown(Tcp::socket::shutdown_send, ignored);
        }
    });
    auto connection = std::make_shared<ClientConnection>(loop, server.endpoint());
    ClientExchangeOptions options = request("1");
    options.request.append(std::size_t{8} << 20U, 'u');
    std::optional<ExchangeResult> result;
    connection->exchange(std::move(options), [&](ExchangeResult ended) {
        result = std::move(ended);
    });
    REQUIRE(runUntil(loop, [&] {
        return result.has_value();
    }));
    CHECK(result->end == ExchangeEnd::Responded);
    CHECK(result->response.body == "body");
    connection->close();
}

// Guards against a success that is framed as whole although the upstream stopped in the middle of the head or body.
TEST_CASE("client connection: a response that ends in order at any byte before its end is not taken for a complete one")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nX-Stamp: s\r\n";
    struct Row {
        const char *name;
        std::string text;
        /** From this length on, the response may count as complete: without a length, it ends with the connection. */
        std::size_t completeFrom;
    };
    const std::string withLength = head + "Content-Length: 4\r\n\r\nbody";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    const std::string withoutLength = head + "\r\n";
    const std::string afterInterim = "HTTP/1.1 100 Continue\r\n\r\n" + withLength;
    const Row rows[] = {
        {"with a length", withLength, withLength.size()},
        {"in chunks", chunked, chunked.size()},
        {"without a length", withoutLength, withoutLength.size()},
        {"after an interim response", afterInterim, afterInterim.size()},
    };
    for (const Row &row : rows) {
        for (std::size_t length = 1; length <= row.text.size(); ++length) {
            CAPTURE(row.name);
            CAPTURE(length);
            const Outcome outcome = exchangeWith(row.text.substr(0, length), Close);
            CHECK((outcome.result.end == ExchangeEnd::Responded) == (length >= row.completeFrom));
        }
    }
}

// Guards against a server whose response does not end: it must neither fill the memory nor hold the exchange.
TEST_CASE("client connection: a response without end is rejected within a bounded number of bytes")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Row {
        const char *name;
        std::string start;
        std::string repeated;
    };
    const Row rows[] = {
        {"body of a stated length", head + "Content-Length: 999999999999\r\n\r\n", "body"},
        {"body without length", head + "\r\n", "body"},
        {"chunks", chunked, "4\r\nbody\r\n"},
        {"one chunk", chunked + "ffffffff\r\n", "body"},
        {"chunk extension", chunked + "4;", "extension"},
        {"trailers", chunked + "0\r\n", "Trailer: value\r\n"},
        {"header fields", head, "Name: value\r\n"},
        {"one header field", head + "Name: ", "value"},
        {"status line", "HTTP/1.1 200 ", "reason"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"responses to another request", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
        {"empty lines", "", "\r\n"},
        {"no HTTP", "", "nonsense "},
    };
    constexpr std::size_t maxBodyBytes = std::size_t{256} << 10U;
    constexpr std::size_t burstBytes = std::size_t{16} << 10U;
    // Body, head, and what the two sockets hold.
    constexpr std::size_t mostBytes = std::size_t{16} << 20U;
    for (const Row &row : rows) {
        CAPTURE(row.name);
        IoLoop loop;
        ScriptedServer server(loop, [](ScriptedPeer & /*peer*/) {});
        auto connection = std::make_shared<ClientConnection>(loop, server.endpoint());
        ClientExchangeOptions options = request("1");
        options.timeout = 4s;
        options.maxBodyBytes = maxBodyBytes;
        std::optional<ExchangeResult> result;
        connection->exchange(std::move(options), [&](ExchangeResult ended) {
            result = std::move(ended);
        });
        std::string burst;
        while (burst.size() < burstBytes) {
            burst += row.repeated;
        }
        std::size_t sent = 0;
        REQUIRE(runUntil(loop, [&] {
            if (!result && !server.peers.empty() && sent < mostBytes) {
                ScriptedPeer &peer = *server.peers[0];
                error_code ignored;
                peer.socket.non_blocking(true, ignored);
                const std::string text = sent == 0 ? row.start + burst : burst;
                sent += Asio::write(peer.socket, Asio::buffer(text), ignored);
            }
            return result.has_value();
        }));
        CHECK(result->end == ExchangeEnd::Malformed);
        CHECK(sent < mostBytes);
        CHECK_FALSE(connection->isReusable());
    }
}

TEST_CASE("client connection: all buffered responses together stay under the budget")
{
    constexpr std::size_t budgetBytes = std::size_t{1} << 20U;
    constexpr int connections = 40;
    IoLoop loop;
    ScriptedServer server(loop, [](ScriptedPeer &peer) {
        peer.send(response("1", std::string(std::size_t{200} << 10U, 'x')));
    });
    BufferBudget budget(budgetBytes);
    std::vector<ExchangeResult> results;
    for (int index = 0; index < connections; ++index) {
        ClientExchangeOptions options = request("1");
        options.timeout = 4s;
        options.budget = &budget;
        std::make_shared<ClientConnection>(loop, server.endpoint())->exchange(std::move(options), [&](ExchangeResult ended) {
            results.push_back(std::move(ended));
        });
    }
    REQUIRE(runUntil(loop, [&] {
        CHECK(budget.used() <= budgetBytes);
        return results.size() == connections;
    }));
    const auto whole = std::count_if(results.begin(), results.end(), [](const ExchangeResult &result) {
        return result.end == ExchangeEnd::Responded;
    });
    CHECK(whole > 0);
    CHECK(whole < connections);
    results.clear();
    CHECK(budget.used() == 0);
}

TEST_CASE("client connection: a closed port is reported as a failed connect")
{
    IoLoop loop;
    Tcp::endpoint closed;
    {
        const Tcp::acceptor acceptor(loop, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
        closed = acceptor.local_endpoint();
    }
    std::optional<ExchangeResult> result;
    std::make_shared<ClientConnection>(loop, closed)->exchange(request("1"), [&](ExchangeResult ended) {
        result = std::move(ended);
    });
    REQUIRE(runUntil(loop, [&] {
        return result.has_value();
    }));
    CHECK(result->end == ExchangeEnd::ConnectFailed);
}

TEST_CASE("client connection: bytes that arrive between two requests close the connection")
{
    IoLoop loop;
    ScriptedServer server(loop, [](ScriptedPeer &peer) {
        peer.send(response("1", "body"));
    });
    auto connection = std::make_shared<ClientConnection>(loop, server.endpoint());
    bool hasResponded = false;
    connection->exchange(request("1"), [&](const ExchangeResult &) {
        hasResponded = true;
    });
    REQUIRE(runUntil(loop, [&] {
        return hasResponded;
    }));
    CHECK(connection->isReusable());
    server.peers.at(0)->send("HTTP/1.1 200 OK\r\n");
    CHECK(runUntil(loop, [&] {
        return !connection->isReusable();
    }));
}

// After a suspension of the process, the established connection and the expired connect timeout are handled in the same turn of
// the loop. The request was then sent but reported as not sent: four orders were refused as not run although they had run.
TEST_CASE("client connection: a connection that is established just before its timeout is used and not reported as failed")
{
    IoLoop loop;
    ScriptedServer server(loop, [](ScriptedPeer &peer) {
        peer.send(response("1", "body"));
    });
    auto connection = std::make_shared<ClientConnection>(loop, server.endpoint());
    ClientExchangeOptions options = request("1");
    options.connectTimeout = 1ms;
    options.timeout = 4s;
    std::optional<ExchangeResult> result;
    connection->exchange(std::move(options), [&result](ExchangeResult ended) {
        result = std::move(ended);
    });
    for (const Instant end = ProcessClock::now() + 20ms; ProcessClock::now() < end;) { }
    REQUIRE(runUntil(loop, [&result] {
        return result.has_value();
    }));
    CHECK(result->end == ExchangeEnd::Responded);
    connection->close();
}
