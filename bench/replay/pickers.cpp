#include "replay/replay.h"
#include "replay/workload.h"

#include <cstdlib>
#include <fmt/format.h>
#include <span>
#include <string_view>

using namespace pimentoshed;

namespace
{

/** One compared policy and its label in the tables. */
struct ComparedPolicy {
    std::string_view name;
    replay::Policy policy;
};

double millis(core::Duration duration)
{
    return core::toSeconds(duration) * 1000;
}

void print(const ComparedPolicy &compared, const replay::Summary &summary)
{
    const auto requests = static_cast<double>(summary.requests);
    fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {:.2f} | {} |\n",
               compared.name,
               millis(summary.quantile(0.5)),
               millis(summary.quantile(0.99)),
               millis(summary.quantile(0.999)),
               100 * static_cast<double>(summary.refused) / requests,
               100 * static_cast<double>(summary.shed) / requests,
               static_cast<double>(summary.messages) / requests,
               summary.violations.size());
}

void compare(const replay::Workload &workload, std::span<const ComparedPolicy> policies, std::uint64_t seed)
{
    const auto trace = replay::makeTrace(workload, seed);
    fmt::print("\n{} targets of {} slots, load {}\n\n", workload.targets, workload.slots, workload.load);
    fmt::print("| policy | median ms | 99% | 99.9% | refused % | shed % | messages | violations |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &compared : policies) {
        print(compared, replay::run(trace, compared.policy, seed));
    }
}

} // namespace

/**
 * Prints one table for each size and load, with all policies on the same trace and seed. Usage: compare_pickers [SEED]
 */
int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    using routing::PickerKind;
    const std::array policies{
        ComparedPolicy{"random", {PickerKind::Random, false, false}},
        ComparedPolicy{"round robin", {PickerKind::RoundRobin, false, false}},
        ComparedPolicy{"least requests", {PickerKind::LeastRequests, false, false}},
        ComparedPolicy{"two choices by report", {PickerKind::TwoChoices, false, false}},
        ComparedPolicy{"least requests, outliers ejected", {PickerKind::LeastRequests, true, true}},
        ComparedPolicy{"default, no ejection", {PickerKind::LeastExpectedTime, false, true}},
        ComparedPolicy{"default", {PickerKind::LeastExpectedTime, true, true}},
    };
    for (const auto &[targets, slots] : {std::pair(20U, 6U), std::pair(10U, 3U)}) {
        for (const double load : {0.4, 0.55}) {
            replay::Workload workload;
            workload.targets = targets;
            workload.slots = slots;
            workload.load = load;
            compare(workload, policies, seed);
        }
    }
    return EXIT_SUCCESS;
}
