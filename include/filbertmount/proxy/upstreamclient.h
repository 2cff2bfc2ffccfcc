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

/** A request to one upstream. */
struct TransferRequest {
    /** "IP:port". */
    std::string address;
    RequestHead head;
    /** Opens a new connection. Set for requests that may not be repeated: a reused connection may close just as they are sent. */
    bool freshConnection = false;
    /** Limit for establishing the connection. */
    Duration connectTimeout = std::chrono::seconds(1);
    /** Limit for the whole transfer, including the connection. */
    Duration timeout = std::chrono::seconds(10);
    /** Delay until TransferListener::transferSlow(); no value if the listener does not need that event. */
    std::optional<Duration> slowAfter{};
};

enum class TransferResult : std::uint8_t {
    /** The response was received completely. */
    Complete,
    /** No connection could be established, so no byte was sent. */
    NotConnected,
    /** The connection was lost before the response was complete. */
    ConnectionLost,
    /** The response is not valid HTTP/1.x, or its head exceeds the limit. */
    InvalidResponse,
    TimedOut,
    /** cancel() was called or the listener returned FlowControl::Cancel. */
    Cancelled,
};

struct TransferEnd {
    TransferResult result = TransferResult::Cancelled;
    /** Whether a byte of the request may have left this process. */
    bool sent = false;
    /** Error text; part of the error response to the caller. */
    std::string reason;
};

/** What a transfer does after an event of its listener. */
enum class FlowControl : std::uint8_t {
    Continue,
    /** Pauses until TransferHandle::resume(); the same data is then offered again. */
    Pause,
    /** Cancels the transfer. */
    Cancel,
};

struct BodyReadResult {
    FlowControl control = FlowControl::Continue;
    /** Bytes copied; 0 with Continue marks the end of the body. */
    std::size_t size = 0;
};

/**
 * Receives the events of one transfer, on the thread of its worker and without a lock of the client held.
 */
class TransferListener
{
public:
    TransferListener() = default;
    TransferListener(const TransferListener &) = delete;
    TransferListener &operator=(const TransferListener &) = delete;
    virtual ~TransferListener() = default;

    /** The connection is established and the request is about to be sent. It is sent only if this returns Continue. */
    virtual FlowControl beforeSend() = 0;
    /** Copies the next part of the request body to @p buffer. */
    virtual BodyReadResult readRequestBody(std::span<char> buffer) = 0;
    virtual FlowControl responseHeadReceived(ResponseHead head) = 0;
    virtual FlowControl responseBodyReceived(std::string_view data) = 0;
    /** The transfer is still running after TransferRequest::slowAfter. */
    virtual void transferSlow() = 0;
    /** The last event; called exactly once. */
    virtual void transferEnded(const TransferEnd &end) = 0;
};

class TransferWorker;
class Transfer;

/** Refers to a started transfer, as do its copies. All calls are thread-safe and have no effect after the transfer ended. */
class TransferHandle
{
public:
    TransferHandle() = default;
    TransferHandle(std::shared_ptr<Transfer> transfer, TransferWorker *worker);

    void cancel();
    /** Continues a transfer that is paused in either direction. */
    void resume();

private:
    std::shared_ptr<Transfer> m_transfer;
    TransferWorker *m_worker = nullptr;
};

struct UpstreamClientOptions {
    int workers = 2;
};

/**
 * Sends requests to upstreams over persistent connections, on its own threads. Thread-safe.
 *
 * All requests to one address run on the same worker and share its connection pool.
 */
class UpstreamClient
{
public:
    explicit UpstreamClient(const UpstreamClientOptions &options);
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;
    /** Cancels the running transfers; each listener still receives transferEnded(). */
    ~UpstreamClient();

    TransferHandle start(TransferRequest request, std::shared_ptr<TransferListener> listener);

private:
    std::vector<std::unique_ptr<TransferWorker>> m_workers;
};

} // namespace Filbertmount
