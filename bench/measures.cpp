#include "measures.h"

#include <cmath>

namespace pimentoshed::bench
{

namespace
{

constexpr std::array Table{
    MeasureRow{Measure::TargetTableHeap, "target-table-heap", Dimension::Targets, "B", "heap of TargetTable"},
    MeasureRow{
        Measure::FeedTargetHeap, "hub-target-heap", Dimension::Targets, "B", "heap of MembershipFeed for targets"},
    MeasureRow{
        Measure::FeedHostHeap, "hub-host-heap", Dimension::EntryHosts, "B", "heap of MembershipFeed for entry hosts"},
    MeasureRow{Measure::ConfigurationHeap,
               "configuration-heap",
               Dimension::Services,
               "B",
               "heap of a decoded ActiveConfiguration"},
    MeasureRow{
        Measure::AllTargetsBytes, "full-feed-bytes", Dimension::Targets, "B", "encoded follow reply with all targets"},
    MeasureRow{Measure::HostListBytes,
               "host-list-bytes",
               Dimension::EntryHosts,
               "B",
               "encoded follow reply with the entry hosts"},
    MeasureRow{Measure::ConfigurationBytes,
               "standing-bytes",
               Dimension::Services,
               "B",
               "encoded follow reply with the whole configuration"},
    MeasureRow{Measure::AnnounceCpu, "announce-cpu", Dimension::Targets, "us", "TargetTable::announce of a renewal"},
    MeasureRow{Measure::ExpireCpu, "expire-cpu", Dimension::Targets, "us", "TargetTable::expire, every 500 ms"},
    MeasureRow{Measure::FeedAnswerCpu,
               "feed-answer-cpu",
               Dimension::Targets,
               "us",
               "MembershipFeed::updateTarget, updateSince and encoding of one changed target"},
    MeasureRow{Measure::RoutingCpu,
               "routing-cpu",
               Dimension::ServiceTargets,
               "us",
               "TargetTable::ofService, Router::assign and release"},
    MeasureRow{Measure::AddressCpu, "address-cpu", Dimension::EntryHosts, "us", "chooseAddresses for one caller"},
    MeasureRow{Measure::ParseCpu, "parse-cpu", Dimension::Services, "us", "configuration::parse of a whole file"},
    MeasureRow{Measure::ConfigurationDecodeCpu,
               "standing-decode-cpu",
               Dimension::Services,
               "us",
               "rpc::decode of an ActiveConfiguration"},
    MeasureRow{Measure::ControlCpuByHosts,
               "control-cpu-by-hosts",
               Dimension::EntryHosts,
               "us/s",
               "control host at rest, processor time"},
    MeasureRow{Measure::ControlResidentByHosts,
               "control-resident-by-hosts",
               Dimension::EntryHosts,
               "B",
               "control host, resident memory"},
    MeasureRow{Measure::ControlBytesByHosts,
               "control-bytes-by-hosts",
               Dimension::EntryHosts,
               "B/s",
               "control host at rest, encoded bytes in and out"},
    MeasureRow{Measure::ControlChangeCpuByHosts,
               "control-change-cpu-by-hosts",
               Dimension::EntryHosts,
               "us/s",
               "control host at one change a second, processor time"},
    MeasureRow{Measure::ControlChangeBytesByHosts,
               "control-change-bytes-by-hosts",
               Dimension::EntryHosts,
               "B/s",
               "control host at one change a second, bytes in and out"},
    MeasureRow{Measure::EntryCpuByHosts,
               "entry-cpu-by-hosts",
               Dimension::EntryHosts,
               "us/s",
               "one entry host at rest, processor time"},
    MeasureRow{Measure::EntryBytesByHosts,
               "entry-bytes-by-hosts",
               Dimension::EntryHosts,
               "B/s",
               "one entry host at rest, encoded bytes in and out"},
    MeasureRow{Measure::InForceByHosts,
               "in-force-by-hosts",
               Dimension::EntryHosts,
               "ms",
               "time from accepting a change to its being in force at all entry hosts"},
    MeasureRow{Measure::ControlCpuByTargets,
               "control-cpu-by-targets",
               Dimension::Targets,
               "us/s",
               "control host at rest, processor time"},
    MeasureRow{Measure::ControlResidentByTargets,
               "control-resident-by-targets",
               Dimension::Targets,
               "B",
               "control host, resident memory"},
    MeasureRow{Measure::EntryCpuByTargets,
               "entry-cpu-by-targets",
               Dimension::Targets,
               "us/s",
               "one of three entry hosts, renewals every 2 s, processor time"},
    MeasureRow{Measure::EntryResidentByTargets,
               "entry-resident-by-targets",
               Dimension::Targets,
               "B",
               "one of three entry hosts, resident memory"},
    MeasureRow{Measure::EntryBytesByTargets,
               "entry-bytes-by-targets",
               Dimension::Targets,
               "B/s",
               "one of three entry hosts, renewals every 2 s, bytes in and out"},
    MeasureRow{Measure::ControlCpuByServices,
               "control-cpu-by-services",
               Dimension::Services,
               "us/s",
               "control host at rest, three entry hosts, processor time"},
    MeasureRow{Measure::ControlResidentByServices,
               "control-resident-by-services",
               Dimension::Services,
               "B",
               "control host, resident memory"},
    MeasureRow{Measure::EntryCpuByServices,
               "entry-cpu-by-services",
               Dimension::Services,
               "us/s",
               "one entry host at rest, processor time"},
    MeasureRow{Measure::EntryResidentByServices,
               "entry-resident-by-services",
               Dimension::Services,
               "B",
               "one entry host, resident memory"},
    MeasureRow{Measure::EntryChangeCpuByServices,
               "entry-change-cpu-by-services",
               Dimension::Services,
               "us/s",
               "one entry host at one change a second, processor time"},
    MeasureRow{Measure::EntryChangeBytesByServices,
               "entry-change-bytes-by-services",
               Dimension::Services,
               "B/s",
               "one entry host at one change a second, bytes in and out"},
    MeasureRow{Measure::InForceByServices,
               "in-force-by-services",
               Dimension::Services,
               "ms",
               "time from accepting a change to its being in force at three entry hosts"},
    MeasureRow{Measure::EntryCpuByRate,
               "entry-cpu-by-rate",
               Dimension::Rate,
               "us/s",
               "one entry host under requests, processor time"},
    MeasureRow{Measure::AddedMedianByRate,
               "added-median-by-rate",
               Dimension::Rate,
               "us",
               "median latency through one hop minus median of direct requests"},
    MeasureRow{Measure::AddedTailByRate,
               "added-tail-by-rate",
               Dimension::Rate,
               "us",
               "99th percentile of the latency through one hop minus that of direct requests"},
    MeasureRow{Measure::ChainByDepth,
               "chain-by-depth",
               Dimension::Depth,
               "ms",
               "median latency of a chain, each call through one entry host, on new connections"},
    MeasureRow{Measure::ChainDirectByDepth,
               "chain-direct-by-depth",
               Dimension::Depth,
               "ms",
               "median latency of a chain of direct calls, on new connections"},
};

} // namespace

std::vector<MeasureRow> measureTable()
{
    return {Table.begin(), Table.end()};
}

const MeasureRow &rowOf(Measure measure)
{
    return Table.at(static_cast<std::size_t>(measure));
}

Fit fit(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const auto &point : points) {
        meanSize += point.size / count;
        meanValue += point.value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &point : points) {
        covariance += (point.size - meanSize) * (point.value - meanValue);
        variance += (point.size - meanSize) * (point.size - meanSize);
    }
    Fit found;
    found.slope = variance > 0 ? covariance / variance : 0;
    found.intercept = meanValue - found.slope * meanSize;
    double squares = 0;
    for (const auto &point : points) {
        const auto distance = point.value - found.at(point.size);
        squares += distance * distance;
    }
    found.residual = std::sqrt(squares / count);
    return found;
}

void Results::add(Measure measure, double size, double value)
{
    m_points[measure].push_back({size, value});
}

void Results::replace(const Results &fresh)
{
    for (const auto &[measure, points] : fresh.m_points) {
        m_points[measure] = points;
    }
}

const std::map<Measure, std::vector<Point>> &Results::all() const
{
    return m_points;
}

bool Results::has(Measure measure) const
{
    return m_points.contains(measure);
}

Fit Results::fitOf(Measure measure) const
{
    return fit(m_points.at(measure));
}

} // namespace pimentoshed::bench
