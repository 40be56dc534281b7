/**
 * @file
 * Measures processor time, memory, traffic and latency of each role at growing sizes, and rewrites the generated parts
 * of docs/CAPACITY.md.
 */
#include "chain.h"
#include "estimates.h"
#include "fleets.h"
#include "load.h"
#include "report.h"
#include "tables.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <optional>
#include <thread>

namespace bench = pimentoshed::bench;
namespace core = pimentoshed::core;

namespace
{

/** Parts of the benchmark that can be run separately. */
enum class Part : std::uint8_t {
    Tables,
    Hop,
    Chains,
    Fleets,
};

constexpr std::array PartNames{
    core::EnumName<Part>{Part::Tables, "tables"},
    core::EnumName<Part>{Part::Hop, "hop"},
    core::EnumName<Part>{Part::Chains, "chains"},
    core::EnumName<Part>{Part::Fleets, "fleets"},
};

void measure(Part part, bench::Results &results)
{
    switch (part) {
    case Part::Tables:
        bench::measureTables(results);
        break;
    case Part::Hop:
        bench::measureHop(results);
        break;
    case Part::Chains:
        bench::measureChains(results);
        break;
    case Part::Fleets:
        bench::measureFleets(results);
        break;
    }
}

/** One line for the page: the build and the machine on which @p part is measured. */
std::string describeRun(Part part)
{
    double load = 0;
    getloadavg(&load, 1);
    return fmt::format("{}: {} build, {} processors, load {:.1f} at its start.\n",
                       core::nameOf(PartNames, part),
                       PIMENTOSHED_BUILD_TYPE,
                       std::thread::hardware_concurrency(),
                       load);
}

/** Measures @p part and replaces its results in @p folder; the results of the other parts stay. */
void remeasure(Part part, const std::string &folder, const std::string &page)
{
    fmt::print("{}\n", core::nameOf(PartNames, part));
    std::fflush(stdout);
    const auto run = describeRun(part);
    bench::Results measured;
    measure(part, measured);
    auto merged = bench::readResults(folder);
    merged.replace(measured);
    bench::writeResults(merged, folder);
    bench::rewriteBlock(page, fmt::format("run-{}", core::nameOf(PartNames, part)), run);
}

void rewritePage(const bench::Results &results, const std::string &page)
{
    bench::rewriteBlock(page, "slopes", bench::slopeTable(results));
    bench::rewriteBlock(page, "roles", bench::roleTables(results));
    bench::rewriteBlock(page, "limits", bench::limitTable(results));
    bench::rewriteBlock(page, "remedies", bench::remedyTable(results));
    bench::rewriteBlock(page, "chain", bench::chainTable(results));
    bench::rewriteBlock(page, "failures", bench::failureTable(results));
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures capacity on loopback");
    std::string docs;
    std::string only;
    bool pageOnly = false;
    app.add_option("--docs", docs, "Folder of CAPACITY.md")->required();
    app.add_option("--only", only, "Measures one part: tables, hop, chains or fleets");
    app.add_flag("--page-only", pageOnly, "Measures nothing; rewrites the page from the results of earlier runs");
    CLI11_PARSE(app, argc, argv);
    try {
        const auto folder = docs + "/capacity";
        const auto page = docs + "/CAPACITY.md";
        for (const auto &row : PartNames) {
            if (!pageOnly && (only.empty() || only == row.name)) {
                remeasure(row.value, folder, page);
            }
        }
        rewritePage(bench::readResults(folder), page);
    } catch (const std::exception &failure) {
        fmt::print(stderr, "capacity: {}\n", failure.what());
        return 1;
    }
    return 0;
}
