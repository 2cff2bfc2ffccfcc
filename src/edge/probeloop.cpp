#include "edge/probeloop.h"

#include "edge/upstreamsignals.h"

#include <algorithm>

namespace Filbertmount {

namespace {

// A probe's response is short.
constexpr std::size_t MaxProbeBodyBytes = std::size_t{64} << 10U;

} // namespace

ProbeLoop::ProbeLoop(IoLoop &loop, const HttpDialect &dialect, Router &router, Metrics &metrics, ProbeLoopOptions options)
    : m_dialect(dialect)
    , m_router(router)
    , m_metrics(metrics)
    , m_options(options)
    , m_pool(loop)
{
}

void ProbeLoop::setRoutes(const RouteSet &routes)
{
    m_healthPaths.clear();
    m_warmingServices.clear();
    for (const ServiceAccess &service : routes.services) {
        if (!service.healthPath.empty()) {
            m_healthPaths[service.name] = service.healthPath;
        }
        if (service.warmupRate > 0) {
            m_warmingServices.insert(service.name);
        }
    }
}

bool ProbeLoop::takeToken(Instant now)
{
    // Tokens of at most a tenth of a second limit the burst after an idle period.
    const double maxTokens = m_options.perSecond / 10.0;
    const double elapsed = std::chrono::duration<double>(now - m_lastRefill).count();
    m_tokens = std::min(maxTokens, m_tokens + std::min(elapsed, 1.0) * m_options.perSecond);
    m_lastRefill = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void ProbeLoop::tick(Instant now)
{
    m_pool.closeExpired(now);
    for (const auto &[service, upstream] : m_router.upstreamsToPoll(m_options.polling)) {
        const auto path = m_healthPaths.find(service);
        if (path == m_healthPaths.end() || m_activeProbes.contains(upstream.id)) {
            continue;
        }
        if (!takeToken(now)) {
            return;
        }
        probe(service, upstream, path->second);
    }
}

void ProbeLoop::closeIdle(const UpstreamId &upstream)
{
    m_pool.closeIdle(upstream);
}

void ProbeLoop::probe(const ServiceName &service, const RoutedUpstream &upstream, const std::string &path)
{
    std::shared_ptr<ClientConnection> connection = m_pool.take(upstream.id, upstream.address, {});
    if (!connection) {
        return;
    }
    m_activeProbes.insert(upstream.id);
    ClientExchangeOptions options{.request = "GET " + path + " HTTP/1.1\r\nHost: " + upstream.address + "\r\n\r\n",
                                  .timeout = m_options.timeout,
                                  .connectTimeout = m_options.timeout,
                                  .maxBodyBytes = MaxProbeBodyBytes};
    // Dereferenced here because the pointer is moved into the handler in the same call.
    ClientConnection &target = *connection;
    target.exchange(std::move(options), [this, service, upstream, kept = std::move(connection)](const ExchangeResult &result) {
        m_activeProbes.erase(upstream.id);
        m_pool.giveBack(upstream.id, upstream.address, kept);
        onResponse(service, upstream, result);
    });
}

void ProbeLoop::onResponse(const ServiceName &service, const RoutedUpstream &upstream, const ExchangeResult &result)
{
    const bool hasResponded = result.end == ExchangeEnd::Responded;
    m_metrics
        .counter(MetricNames::Probes,
                 {{"service", service.value()}, {"result", hasResponded ? std::to_string(result.response.status) : "lost"}})
        .Increment();
    if (!hasResponded) {
        return;
    }
    const std::string *identity = findHeader(result.response.headers, m_dialect.upstreamId);
    if (identity != nullptr && *identity != upstream.id.value()) {
        return;
    }
    UpstreamSignals signals = readSignals(result.response, m_dialect, upstream.incarnation);
    signals.isHealthReport = m_warmingServices.contains(service);
    m_router.recordSignals(service, upstream.id, signals);
    const std::string *loadHeader = findHeader(result.response.headers, m_dialect.upstreamLoad);
    const std::optional<UpstreamLoad> load = loadHeader != nullptr ? m_dialect.parseLoad(*loadHeader) : std::nullopt;
    if (load && load->pace) {
        m_router.recordPace(service, upstream.id, *load->pace);
    }
}

} // namespace Filbertmount
