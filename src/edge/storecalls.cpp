#include "edge/storecalls.h"

namespace Filbertmount {

namespace {

// A link that is slower than this, with all that shares it, counts as broken.
constexpr std::size_t MinTransferBytesPerSecond = std::size_t{32} << 10U;

std::string serializeRequest(const StoreRequest &request, const Tcp::endpoint &store)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + store.address().to_string() + ":"
        + std::to_string(store.port()) + "\r\n";
    if (!request.body.empty()) {
        text.append("Content-Type: application/json\r\nContent-Length: ")
            .append(std::to_string(request.body.size()))
            .append("\r\n");
    }
    return text.append("\r\n").append(request.body);
}

} // namespace

StoreCalls::StoreCalls(IoLoop &loop, Tcp::endpoint store, EraReader eraReader, Metrics &metrics, StateKind kind)
    : m_loop(loop)
    , m_store(std::move(store))
    , m_eraReader(std::move(eraReader))
    , m_metrics(metrics)
    , m_kind(kind)
{
}

StoreCalls::~StoreCalls()
{
    cancel();
}

void StoreCalls::cancel()
{
    if (m_connection) {
        m_connection->close();
        m_connection.reset();
    }
}

void StoreCalls::call(const StoreRequest &request, const std::string &operation, Duration timeout, Handler handler)
{
    if (!m_connection || !m_connection->isReusable()) {
        cancel();
        m_connection = std::make_shared<ClientConnection>(m_loop, m_store);
    }
    m_connection->exchange({.request = serializeRequest(request, m_store),
                            .timeout = timeout,
                            .progress = {.minBytesPerSecond = MinTransferBytesPerSecond}},
                           [this, operation, handler = std::move(handler)](ExchangeResult result) {
                               countCall(operation, result);
                               const bool hasResponded = result.end == ExchangeEnd::Responded;
                               const StoreEra era = hasResponded ? m_eraReader(result.response.headers) : StoreEra();
                               handler(CallResult{.exchange = std::move(result), .era = era});
                           });
}

void StoreCalls::countCall(const std::string &operation, const ExchangeResult &result)
{
    const std::string outcome = result.end == ExchangeEnd::Responded ? std::to_string(result.response.status) : "lost";
    m_metrics
        .counter(MetricNames::StoreCalls,
                 {{"kind", std::string(stateKindName(m_kind))}, {"operation", operation}, {"outcome", outcome}})
        .Increment();
}

} // namespace Filbertmount
