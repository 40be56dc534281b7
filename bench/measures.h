/**
 * @file
 * The quantities that the capacity benchmark measures, and the results.
 */
#pragma once

#include "core/enumtable.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace pimentoshed::bench
{

/** The size that is varied while a quantity is measured. */
enum class Dimension : std::uint8_t {
    Targets,
    ServiceTargets,
    Services,
    EntryHosts,
    Rate,
    Depth,
};

inline constexpr std::array DimensionNames{
    core::EnumName<Dimension>{Dimension::Targets, "targets"},
    core::EnumName<Dimension>{Dimension::ServiceTargets, "targets of one service"},
    core::EnumName<Dimension>{Dimension::Services, "services"},
    core::EnumName<Dimension>{Dimension::EntryHosts, "entry hosts"},
    core::EnumName<Dimension>{Dimension::Rate, "requests/s"},
    core::EnumName<Dimension>{Dimension::Depth, "calls deep"},
};

/** The measured quantities. By... names the varied size of those that are measured on whole processes. */
enum class Measure : std::uint8_t {
    TargetTableHeap,
    FeedTargetHeap,
    FeedHostHeap,
    ConfigurationHeap,
    AllTargetsBytes,
    HostListBytes,
    ConfigurationBytes,
    AnnounceCpu,
    ExpireCpu,
    FeedAnswerCpu,
    RoutingCpu,
    AddressCpu,
    ParseCpu,
    ConfigurationDecodeCpu,
    ControlCpuByHosts,
    ControlResidentByHosts,
    ControlBytesByHosts,
    ControlChangeCpuByHosts,
    ControlChangeBytesByHosts,
    EntryCpuByHosts,
    EntryBytesByHosts,
    InForceByHosts,
    ControlCpuByTargets,
    ControlResidentByTargets,
    EntryCpuByTargets,
    EntryResidentByTargets,
    EntryBytesByTargets,
    ControlCpuByServices,
    ControlResidentByServices,
    EntryCpuByServices,
    EntryResidentByServices,
    EntryChangeCpuByServices,
    EntryChangeBytesByServices,
    InForceByServices,
    EntryCpuByRate,
    AddedMedianByRate,
    AddedTailByRate,
    ChainByDepth,
    ChainDirectByDepth,
};

/** One row of the table of measures. */
struct MeasureRow {
    Measure measure;
    std::string_view name;
    Dimension dimension;
    std::string_view unit;
    std::string_view meaning;
};

/** Every measure, in the order of the enumeration. */
std::vector<MeasureRow> measureTable();

/** The row of @p measure. */
const MeasureRow &rowOf(Measure measure);

/** One measured value at one size. */
struct Point {
    double size = 0;
    double value = 0;
};

/** A line fitted by least squares, and the distance of the points from it. */
struct Fit {
    double slope = 0;
    double intercept = 0;
    /** Root of the mean squared distance, in the measure's unit. */
    double residual = 0;

    double at(double size) const
    {
        return intercept + slope * size;
    }
};

Fit fit(const std::vector<Point> &points);

/** The points of each measure. */
class Results
{
public:
    void add(Measure measure, double size, double value);
    /** Replaces the points of every measure that @p fresh contains. */
    void replace(const Results &fresh);
    const std::map<Measure, std::vector<Point>> &all() const;
    bool has(Measure measure) const;
    Fit fitOf(Measure measure) const;

private:
    std::map<Measure, std::vector<Point>> m_points;
};

} // namespace pimentoshed::bench
