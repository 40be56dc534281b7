#include "replay/replay.h"
#include "replay/workload.h"

#include <cstdlib>
#include <fmt/format.h>
#include <span>
#include <string_view>

using namespace pimentoshed;

namespace
{

struct Row {
    std::string_view name;
    replay::Policy policy;
};

double millis(core::Duration duration)
{
    return core::toSeconds(duration) * 1000;
}

void print(const Row &row, const replay::Summary &summary)
{
    const auto requests = static_cast<double>(summary.requests);
    fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {:.2f} | {} |\n",
               row.name,
               millis(summary.quantile(0.5)),
               millis(summary.quantile(0.99)),
               millis(summary.quantile(0.999)),
               100 * static_cast<double>(summary.refused) / requests,
               100 * static_cast<double>(summary.shed) / requests,
               static_cast<double>(summary.messages) / requests,
               summary.violations.size());
}

void compare(const replay::Workload &workload, std::span<const Row> rows, std::uint64_t seed)
{
    const auto trace = replay::makeTrace(workload, seed);
    fmt::print("\n{} targets of {} slots, load {}\n\n", workload.targets, workload.slots, workload.load);
    fmt::print("| way | median ms | 99% | 99.9% | refused % | shed % | messages | violations |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &row : rows) {
        print(row, replay::run(trace, row.policy, seed));
    }
}

} // namespace

/** Prints one table for each size and load: all ways on the same trace and seed. Usage: compare_pickers [SEED] */
int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    using replay::Placement;
    using routing::PickerKind;
    const std::array rows{
        Row{"random", {PickerKind::Random, Placement::Shared, false, false, false}},
        Row{"round robin", {PickerKind::RoundRobin, Placement::Shared, false, false, false}},
        Row{"least requests", {PickerKind::LeastRequests, Placement::Shared, false, false, false}},
        Row{"two choices by report", {PickerKind::TwoChoices, Placement::Shared, false, false, false}},
        Row{"least requests, suspects held", {PickerKind::LeastRequests, Placement::Shared, true, true, false}},
        Row{"default, no hedges", {PickerKind::LeastExpectedTime, Placement::Shared, true, true, false}},
        Row{"default", {PickerKind::LeastExpectedTime, Placement::Shared, true, true, true}},
        Row{"default, owned, none held, no hedges",
            {PickerKind::LeastExpectedTime, Placement::Owned, false, true, false}},
        Row{"default, owned, no hedges", {PickerKind::LeastExpectedTime, Placement::Owned, true, true, false}},
        Row{"default, owned", {PickerKind::LeastExpectedTime, Placement::Owned, true, true, true}},
    };
    for (const auto &[targets, slots] : {std::pair(20U, 6U), std::pair(10U, 3U)}) {
        for (const double load : {0.4, 0.55}) {
            replay::Workload workload;
            workload.targets = targets;
            workload.slots = slots;
            workload.load = load;
            compare(workload, rows, seed);
        }
    }
    return EXIT_SUCCESS;
}
