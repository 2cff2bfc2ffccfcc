#include <filbertmount/telemetry/metrics.h>

#include <prometheus/text_serializer.h>

namespace Filbertmount {

namespace {

const prometheus::Histogram::BucketBoundaries
    SecondsBuckets{0.0001, 0.0003, 0.001, 0.0019, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>(prometheus::Registry::InsertBehavior::Merge))
{
}

Metrics::~Metrics() = default;

prometheus::Counter &Metrics::counter(const MetricInfo &info, const MetricLabels &labels)
{
    return prometheus::BuildCounter().Name(info.name).Help(info.help).Register(*m_registry).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const MetricInfo &info, const MetricLabels &labels)
{
    return prometheus::BuildGauge().Name(info.name).Help(info.help).Register(*m_registry).Add(labels);
}

prometheus::Histogram &Metrics::histogram(const MetricInfo &info, const MetricLabels &labels)
{
    return prometheus::BuildHistogram().Name(info.name).Help(info.help).Register(*m_registry).Add(labels, SecondsBuckets);
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Filbertmount
