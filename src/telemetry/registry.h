/**
 * @file
 * One process's metrics.
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

/** A caller's request that ended. */
struct CompletedRequest {
    /** Empty where no service was found. */
    std::string service;
    /** Nothing where the target's whole answer reached the caller. */
    std::optional<core::ErrorCode> failure;
    core::Duration duration{};
    /** The part of the duration in which the target was waited for. */
    core::Duration targetWait{};
};

/** Holds every metric of MetricTable; a counter never goes down. Thread-safe. */
class Registry
{
public:
    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    /** Has @p hook called before each exposition. Must come before the first. */
    void beforeExposition(std::function<void(Registry &)> hook);

    void add(Metric counter, const Labels &labels, double amount);
    /** Raises a counter to @p total. */
    void raise(Metric counter, const Labels &labels, double total);
    void set(Metric gauge, const Labels &labels, double value);
    void observe(Metric histogram, const Labels &labels, core::Duration duration);

    void countRequest(const CompletedRequest &end);
    void countMessage(ControlMessage kind, Direction direction, std::size_t bytes);

    /** Prometheus's text format. */
    std::string expose();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pimentoshed::telemetry
