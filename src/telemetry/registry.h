/**
 * @file
 * The metrics of one process.
 */
#pragma once

#include "core/error.h"
#include "core/time.h"
#include "telemetry/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pimentoshed::telemetry
{

using Labels = std::map<std::string, std::string>;

/** Outcome and durations of a caller's request that has ended. */
struct CompletedRequest {
    /** Empty if the request matched no service. */
    std::string service;
    /** Unset if the target's whole response reached the caller. */
    std::optional<core::ErrorCode> failure;
    core::Duration duration{};
    /** The part of the duration spent waiting for the target. */
    core::Duration targetWait{};
    /** Attempts that ended without any sign of the target. */
    unsigned silentAttempts = 0;
    /** Responses to other requests that its attempts skipped. */
    unsigned strayResponses = 0;
};

/** Holds the metrics of MetricTable; counters never decrease. Thread-safe, except for beforeExposition(). */
class Registry
{
public:
    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    /** Registers @p hook to be called at the start of each expose(). Must not be called after or during the first. */
    void beforeExposition(std::function<void(Registry &)> hook);

    void add(Metric counter, const Labels &labels, double amount);
    /** Raises @p counter to @p total; does nothing if the counter is already as high. */
    void raiseTo(Metric counter, const Labels &labels, double total);
    void set(Metric gauge, const Labels &labels, double value);
    void observe(Metric histogram, const Labels &labels, core::Duration duration);

    /** Counts a request by service and outcome, and records its durations. */
    void countRequest(const CompletedRequest &request);
    /** Counts a control message and its encoded size. */
    void countMessage(ControlMessage kind, Direction direction, std::size_t bytes);

    /** Calls the registered hooks, and returns all metrics in Prometheus's text format. */
    std::string expose();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pimentoshed::telemetry
