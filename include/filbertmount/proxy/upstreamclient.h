#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/types/instant.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** One request to one upstream. */
struct TransferRequest {
    /** "IP:port". */
    std::string address;
    RequestHead head;
    /** Non-repeatable requests get a new connection, so that no stale one can eat them. */
    bool freshConnection = false;
    /** Time for the connection alone. */
    Duration connectTimeout = std::chrono::seconds(1);
    /** Time for the whole transfer. */
    Duration timeout = std::chrono::seconds(10);
    /** Time after which the listener is told that the transfer is slow; nothing when it need not know. */
    std::optional<Duration> slowAfter{};
};

enum class TransferResult : std::uint8_t {
    /** The whole answer arrived. */
    Complete,
    /** No connection was made, so no byte was sent. */
    NotConnected,
    /** The connection broke before the answer was whole. */
    ConnectionLost,
    /** The upstream sent something that is not HTTP/1.x. */
    InvalidResponse,
    TimedOut,
    /** cancel() was called or the listener gave the transfer up. */
    Cancelled,
};

struct TransferEnd {
    TransferResult result = TransferResult::Cancelled;
    /** Whether a byte of the request may have left this process. */
    bool sent = false;
    std::string reason;
};

enum class FlowControl : std::uint8_t {
    Continue,
    /** The same data is offered again after Transfer::resume(). */
    Pause,
    /** The transfer is cancelled. */
    Cancel,
};

struct BodyReadResult {
    FlowControl control = FlowControl::Continue;
    /** Bytes copied; 0 with Continue is the end of the body. */
    std::size_t size = 0;
};

/**
 * Receives the events of one transfer, on the worker thread of the transfer. No lock of the client is held.
 */
class TransferListener
{
public:
    TransferListener() = default;
    TransferListener(const TransferListener &) = delete;
    TransferListener &operator=(const TransferListener &) = delete;
    virtual ~TransferListener() = default;

    /** The connection stands and the first byte of the request is about to be sent; Cancel keeps it from being sent. */
    virtual FlowControl beforeSend() = 0;
    virtual BodyReadResult readRequestBody(std::span<char> buffer) = 0;
    virtual FlowControl responseHeadReceived(ResponseHead head) = 0;
    virtual FlowControl responseBodyReceived(std::string_view data) = 0;
    /** The transfer has not ended after TransferRequest::slowAfter. */
    virtual void transferSlow() = 0;
    /** The last event; runs exactly once. */
    virtual void transferEnded(const TransferEnd &end) = 0;
};

class TransferWorker;
class Transfer;

/** A started transfer. Copies stand for the same transfer; all calls are thread-safe and have no effect after its end. */
class TransferHandle
{
public:
    TransferHandle() = default;
    TransferHandle(std::shared_ptr<Transfer> transfer, TransferWorker *worker);

    void cancel();
    /** Goes on after an FlowControl::Pause in either direction. */
    void resume();

private:
    std::shared_ptr<Transfer> m_transfer;
    TransferWorker *m_worker = nullptr;
};

struct UpstreamClientOptions {
    int workers = 2;
};

/**
 * Sends requests to upstreams over kept-alive connections, on its own threads. Thread-safe.
 *
 * All requests to one address run on the same worker, so that they share its connections.
 */
class UpstreamClient
{
public:
    explicit UpstreamClient(const UpstreamClientOptions &options);
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;
    /** Cancels what is still running; every listener gets its transferEnded. */
    ~UpstreamClient();

    TransferHandle start(TransferRequest request, std::shared_ptr<TransferListener> listener);

private:
    std::vector<std::unique_ptr<TransferWorker>> m_workers;
};

} // namespace Filbertmount
