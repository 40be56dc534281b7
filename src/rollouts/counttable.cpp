#include "rollouts/counttable.h"

namespace pimentoshed::rollouts
{

namespace
{

/** Limit on the rows of one service, far above the routes of a service times the processes of entry hosts. */
constexpr std::size_t MaxRows = 100'000;

std::uint64_t total(const ComparedCounts &counts)
{
    return counts.newVersion.responses + counts.oldVersions.responses;
}

} // namespace

void CountTable::record(const HostCounts &reported)
{
    auto &service = m_services[reported.service];
    if (reported.number < service.number) {
        return;
    }
    if (reported.number > service.number) {
        service = {reported.number, {}};
    }
    if (service.rows.size() >= MaxRows) {
        return;
    }
    auto &known = service.rows[{reported.host, reported.incarnation, reported.route}];
    if (total(reported.counts) > total(known)) {
        known = reported.counts;
    }
}

RouteCounts CountTable::sum(const core::ServiceName &service, std::uint64_t number) const
{
    RouteCounts sums;
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.number != number) {
        return sums;
    }
    for (const auto &[key, counts] : found->second.rows) {
        auto &sum = sums[std::get<core::RouteName>(key)];
        sum.newVersion += counts.newVersion;
        sum.oldVersions += counts.oldVersions;
    }
    return sums;
}

void CountTable::keepOnly(const std::map<core::ServiceName, std::uint64_t> &running)
{
    std::erase_if(m_services, [&running](const auto &entry) {
        const auto found = running.find(entry.first);
        return found == running.end() || entry.second.number < found->second;
    });
}

} // namespace pimentoshed::rollouts
