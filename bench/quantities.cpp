#include "quantities.h"

#include <cmath>

namespace pimentoshed::bench
{

namespace
{

constexpr double MicrosPerSecond = 1e6;
constexpr double SecondsPerDay = 86400;

} // namespace

std::array<Size, 2> bothSizes(const Results &results)
{
    auto expected = ExpectedSize;
    expected.entryHosts = std::ceil(expected.callsPerSecond * results.fitOf(Measure::EntryCpuByRate).slope
                                    / MicrosPerSecond / CoresUsedPerEntryHost);
    return {TodaySize, expected};
}

double followMessages(const Size &size)
{
    return 2 * size.entryHosts / LongPollSeconds;
}

double followMessagesPerEntryHost(const Size &)
{
    return 2 / LongPollSeconds;
}

double renewalMessages(const Size &size)
{
    return 2 * size.targets / size.entryHosts;
}

double reportMessages(const Size &size)
{
    return 2 * size.targetChangesPerDay / SecondsPerDay;
}

double targetChangeMessages(const Size &size)
{
    return size.entryHosts * size.targetChangesPerDay / SecondsPerDay;
}

double configurationMessages(const Size &size)
{
    return size.entryHosts * size.changesPerDay / SecondsPerDay;
}

double configurationMessagesPerEntryHost(const Size &size)
{
    return size.changesPerDay / SecondsPerDay;
}

double entryIdleCpu(const Results &results)
{
    return results.fitOf(Measure::EntryCpuByHosts).at(MaxMeasuredEntryHosts);
}

double controlCpu(const Results &results, const Size &size)
{
    const auto byServices = results.fitOf(Measure::ControlCpuByServices);
    const auto services = byServices.slope * (size.services - MeasuredServices);
    const auto serviceCost = services > 2 * byServices.residual ? services / MeasuredEntryHosts * size.entryHosts : 0;
    return results.fitOf(Measure::ControlCpuByHosts).at(size.entryHosts) + serviceCost;
}

double controlBytesAt(const Results &results, const Size &size, double changeBytes)
{
    const auto idle = results.fitOf(Measure::ControlBytesByHosts).slope * size.entryHosts;
    const auto targetChanges =
        results.fitOf(Measure::AllTargetsBytes).slope * (targetChangeMessages(size) + reportMessages(size) / 2);
    return idle + changeBytes * configurationMessages(size) + targetChanges;
}

double controlBytes(const Results &results, const Size &size)
{
    return controlBytesAt(results, size, results.fitOf(Measure::ConfigurationBytes).at(size.services));
}

double controlMemory(const Results &results, const Size &size)
{
    const auto hosts = results.fitOf(Measure::ControlResidentByHosts);
    return hosts.at(size.entryHosts)
           + results.fitOf(Measure::ControlResidentByTargets).slope * (size.targets - MeasuredTargets)
           + results.fitOf(Measure::ControlResidentByServices).slope * (size.services - MeasuredServices);
}

double entryCpu(const Results &results, const Size &size)
{
    const auto perRenewal =
        results.fitOf(Measure::EntryCpuByTargets).slope * MeasuredEntryHosts * MeasuredRenewalSeconds;
    const auto renewals = renewalMessages(size) / 2;
    const auto change =
        results.fitOf(Measure::ConfigurationDecodeCpu).at(size.services) * configurationMessagesPerEntryHost(size);
    return entryIdleCpu(results) + perRenewal * renewals + change;
}

double entryBytesAt(const Results &results, const Size &size, double changeBytes, double renewalSeconds)
{
    const auto perRenewal =
        results.fitOf(Measure::EntryBytesByTargets).slope * MeasuredEntryHosts * MeasuredRenewalSeconds;
    const auto targetChanges = results.fitOf(Measure::AllTargetsBytes).slope * size.targetChangesPerDay / SecondsPerDay;
    const auto follow = results.fitOf(Measure::ControlBytesByHosts).slope;
    return follow + perRenewal * renewalMessages(size) / 2 / renewalSeconds
           + changeBytes * configurationMessagesPerEntryHost(size) + targetChanges;
}

double entryBytes(const Results &results, const Size &size)
{
    return entryBytesAt(results, size, results.fitOf(Measure::ConfigurationBytes).at(size.services), 1);
}

double entryMemory(const Results &results, const Size &size)
{
    return results.fitOf(Measure::EntryResidentByTargets).at(size.targets)
           + results.fitOf(Measure::EntryResidentByServices).slope * (size.services - MeasuredServices);
}

} // namespace pimentoshed::bench
