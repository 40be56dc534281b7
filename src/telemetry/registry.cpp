#include "telemetry/registry.h"

#include "telemetry/process.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <utility>

namespace pimentoshed::telemetry
{

namespace
{

/** Upper bounds of the buckets, in seconds; 0.00082 is the users' limit for the latency that one hop adds. */
const prometheus::Histogram::BucketBoundaries DurationBuckets{
    0.0001, 0.0002, 0.0004, 0.00082, 0.0016, 0.0032, 0.0064, 0.0128, 0.0256, 0.0512, 0.1, 0.2, 0.5, 1, 2, 5, 10};

} // namespace

class Registry::Impl
{
public:
    Impl()
    {
        for (const auto &row : MetricTable) {
            registerMetric(row);
        }
    }

    prometheus::Counter &counter(Metric metric, const Labels &labels)
    {
        return m_counters.at(metric)->Add(labels);
    }

    prometheus::Gauge &gauge(Metric metric, const Labels &labels)
    {
        return m_gauges.at(metric)->Add(labels);
    }

    prometheus::Histogram &histogram(Metric metric, const Labels &labels)
    {
        return m_histograms.at(metric)->Add(labels, DurationBuckets);
    }

    std::string expose() const
    {
        return prometheus::TextSerializer().Serialize(m_registry.Collect());
    }

    std::vector<std::function<void(Registry &)>> hooks;

private:
    void registerMetric(const MetricRow &row)
    {
        const std::string name(row.name);
        const std::string help(row.help);
        switch (row.kind) {
        case MetricKind::Counter:
            m_counters[row.metric] = &prometheus::BuildCounter().Name(name).Help(help).Register(m_registry);
            break;
        case MetricKind::Gauge:
            m_gauges[row.metric] = &prometheus::BuildGauge().Name(name).Help(help).Register(m_registry);
            break;
        case MetricKind::Histogram:
            m_histograms[row.metric] = &prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry);
            break;
        }
    }

    prometheus::Registry m_registry;
    std::map<Metric, prometheus::Family<prometheus::Counter> *> m_counters;
    std::map<Metric, prometheus::Family<prometheus::Gauge> *> m_gauges;
    std::map<Metric, prometheus::Family<prometheus::Histogram> *> m_histograms;
};

Registry::Registry()
    : m_impl(std::make_unique<Impl>())
{
    beforeExposition([](Registry &registry) {
        const auto usage = processUsage();
        registry.raiseTo(Metric::ProcessCpu, {}, core::toSeconds(usage.cpu));
        registry.set(Metric::ProcessResidentMemory, {}, static_cast<double>(usage.residentBytes));
    });
}

Registry::~Registry() = default;

void Registry::beforeExposition(std::function<void(Registry &)> hook)
{
    m_impl->hooks.push_back(std::move(hook));
}

void Registry::add(Metric counter, const Labels &labels, double amount)
{
    m_impl->counter(counter, labels).Increment(amount);
}

void Registry::raiseTo(Metric counter, const Labels &labels, double total)
{
    auto &found = m_impl->counter(counter, labels);
    if (const auto missing = total - found.Value(); missing > 0) {
        found.Increment(missing);
    }
}

void Registry::set(Metric gauge, const Labels &labels, double value)
{
    m_impl->gauge(gauge, labels).Set(value);
}

void Registry::observe(Metric histogram, const Labels &labels, core::Duration duration)
{
    m_impl->histogram(histogram, labels).Observe(core::toSeconds(duration));
}

void Registry::countRequest(const CompletedRequest &request)
{
    const std::string outcome(request.failure ? core::errorName(*request.failure) : "answered");
    add(Metric::Requests, {{"service", request.service}, {"outcome", outcome}}, 1);
    if (request.silentAttempts > 0) {
        add(Metric::SilentAttempts, {{"service", request.service}}, request.silentAttempts);
    }
    if (request.strayResponses > 0) {
        add(Metric::StrayResponses, {{"service", request.service}}, request.strayResponses);
    }
    observe(Metric::RequestDuration, {{"service", request.service}}, request.duration);
    observe(Metric::RequestAddedLatency, {{"service", request.service}}, request.duration - request.targetWait);
}

void Registry::countMessage(ControlMessage kind, Direction direction, std::size_t bytes)
{
    const Labels labels{{"kind", std::string(core::nameOf(ControlMessageNames, kind))},
                        {"direction", std::string(core::nameOf(DirectionNames, direction))}};
    add(Metric::ControlMessages, labels, 1);
    add(Metric::ControlBytes, labels, static_cast<double>(bytes));
}

std::string Registry::expose()
{
    for (const auto &hook : m_impl->hooks) {
        hook(*this);
    }
    return m_impl->expose();
}

} // namespace pimentoshed::telemetry
