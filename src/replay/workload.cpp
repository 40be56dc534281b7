#include "replay/workload.h"

#include "core/random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace pimentoshed::replay
{

namespace
{

constexpr std::array DomainNames{"ravne", "dravograd", "mezica"};

core::FailureDomain domainOf(std::size_t index)
{
    return core::FailureDomain(DomainNames.at(index % DomainNames.size()));
}

core::Duration exponential(core::Duration mean, const core::RandomSource &random)
{
    const double drawn = -std::log(1 - core::randomFraction(random));
    return core::Duration(static_cast<core::Duration::rep>(drawn * static_cast<double>(mean.count())));
}

configuration::Service makeService(const Workload &workload)
{
    configuration::Service service;
    service.name = core::ServiceName("search");
    service.institution = core::InstitutionName("library");
    service.slots = workload.slots;
    service.coldSlots = 1;
    service.warmUp = std::chrono::seconds(10);
    service.deadline = std::chrono::seconds(1);
    service.queueLimit = 200;
    service.shedIsNotRun = true;
    service.retryRatio = 0.1;
    return service;
}

void addSlowPeriods(Trace &trace, const Workload &workload, const core::RandomSource &random)
{
    const core::TimePoint end{workload.length};
    for (const auto &target : trace.targets) {
        core::TimePoint at{exponential(workload.meanSlowPeriodInterval, random)};
        while (at < end) {
            const auto length = exponential(workload.meanSlowPeriod, random);
            trace.events.push_back({at, TargetSlowdown{target.id, length, workload.slowdown}});
            at += length + exponential(workload.meanSlowPeriodInterval, random);
        }
    }
}

} // namespace

Trace makeTrace(const Workload &workload, std::uint64_t seed)
{
    const auto random = core::seededRandom(seed);
    Trace trace;
    trace.service = makeService(workload);
    trace.localDelay = std::chrono::microseconds(50);
    trace.remoteDelay = std::chrono::microseconds(500);
    for (std::size_t i = 0; i < workload.hosts; ++i) {
        trace.hosts.push_back(domainOf(i));
    }
    for (std::size_t i = 0; i < workload.targets; ++i) {
        targets::Target target;
        target.id = core::TargetId("target-" + std::to_string(i));
        target.service = trace.service.name;
        target.domain = domainOf(i);
        target.condition = targets::Condition::Warm;
        trace.targets.push_back(target);
    }
    addSlowPeriods(trace, workload, random);
    const double meanSlotsInUse = workload.load * static_cast<double>(workload.targets * workload.slots);
    const core::Duration interval(
        static_cast<core::Duration::rep>(static_cast<double>(workload.meanServiceTime.count()) / meanSlotsInUse));
    const core::TimePoint end{workload.length};
    for (core::TimePoint at{}; at < end; at += exponential(interval, random)) {
        const auto host = core::randomBelow(random, workload.hosts);
        trace.events.push_back({at, RequestArrival{host, true, exponential(workload.meanServiceTime, random)}});
    }
    std::stable_sort(trace.events.begin(), trace.events.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    });
    return trace;
}

} // namespace pimentoshed::replay
