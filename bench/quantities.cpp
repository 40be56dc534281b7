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
    return 2 * size.entryHosts / HoldSeconds;
}

double followMessagesOfOne(const Size &)
{
    return 2 / HoldSeconds;
}

double renewalMessages(const Size &size)
{
    return 2 * size.targets / size.entryHosts;
}

double reportMessages(const Size &size)
{
    return 2 * size.targetWordsPerDay / SecondsPerDay;
}

double newsMessages(const Size &size)
{
    return size.entryHosts * size.targetWordsPerDay / SecondsPerDay;
}

double standingMessages(const Size &size)
{
    return size.entryHosts * size.changesPerDay / SecondsPerDay;
}

double standingMessagesOfOne(const Size &size)
{
    return size.changesPerDay / SecondsPerDay;
}

double entryRestCpu(const Results &results)
{
    return results.fitOf(Measure::EntryCpuByHosts).at(LargestTrialFleet);
}

double controlCpu(const Results &results, const Size &size)
{
    const auto byServices = results.fitOf(Measure::ControlCpuByServices);
    const auto services = byServices.slope * (size.services - TrialServices);
    const auto copied = services > 2 * byServices.residual ? services / TrialEntryHosts * size.entryHosts : 0;
    return results.fitOf(Measure::ControlCpuByHosts).at(size.entryHosts) + copied;
}

double controlBytesAt(const Results &results, const Size &size, double changeBytes)
{
    const auto rest = results.fitOf(Measure::ControlBytesByHosts).slope * size.entryHosts;
    const auto words = results.fitOf(Measure::FullFeedBytes).slope * (newsMessages(size) + reportMessages(size) / 2);
    return rest + changeBytes * standingMessages(size) + words;
}

double controlBytes(const Results &results, const Size &size)
{
    return controlBytesAt(results, size, results.fitOf(Measure::StandingBytes).at(size.services));
}

double controlMemory(const Results &results, const Size &size)
{
    const auto hosts = results.fitOf(Measure::ControlResidentByHosts);
    return hosts.at(size.entryHosts)
           + results.fitOf(Measure::ControlResidentByTargets).slope * (size.targets - TrialTargets)
           + results.fitOf(Measure::ControlResidentByServices).slope * (size.services - TrialServices);
}

double entryCpu(const Results &results, const Size &size)
{
    const auto perRenewal = results.fitOf(Measure::EntryCpuByTargets).slope * TrialEntryHosts * TrialRenewalSeconds;
    const auto renewals = renewalMessages(size) / 2;
    const auto change = results.fitOf(Measure::StandingDecodeCpu).at(size.services) * standingMessagesOfOne(size);
    return entryRestCpu(results) + perRenewal * renewals + change;
}

double entryBytesAt(const Results &results, const Size &size, double changeBytes, double renewalSeconds)
{
    const auto perRenewal = results.fitOf(Measure::EntryBytesByTargets).slope * TrialEntryHosts * TrialRenewalSeconds;
    const auto words = results.fitOf(Measure::FullFeedBytes).slope * size.targetWordsPerDay / SecondsPerDay;
    const auto follow = results.fitOf(Measure::ControlBytesByHosts).slope;
    return follow + perRenewal * renewalMessages(size) / 2 / renewalSeconds + changeBytes * standingMessagesOfOne(size)
           + words;
}

double entryBytes(const Results &results, const Size &size)
{
    return entryBytesAt(results, size, results.fitOf(Measure::StandingBytes).at(size.services), 1);
}

double entryMemory(const Results &results, const Size &size)
{
    return results.fitOf(Measure::EntryResidentByTargets).at(size.targets)
           + results.fitOf(Measure::EntryResidentByServices).slope * (size.services - TrialServices);
}

} // namespace pimentoshed::bench
