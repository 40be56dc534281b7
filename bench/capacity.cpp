/**
 * @file
 * Measures what each role needs as sizes grow and rewrites the generated parts of docs/CAPACITY.md.
 */
#include "estimates.h"
#include "fleets.h"
#include "load.h"
#include "report.h"
#include "tables.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace bench = pimentoshed::bench;

namespace
{

bench::Results measure()
{
    bench::Results results;
    fmt::print("tables and encodings\n");
    std::fflush(stdout);
    bench::measureTables(results);
    bench::measureHop(results);
    bench::measureFleets(results);
    return results;
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
    bool pageOnly = false;
    app.add_option("--docs", docs, "Folder of CAPACITY.md")->required();
    app.add_flag("--page-only", pageOnly, "Measures nothing; takes the results of the last run");
    CLI11_PARSE(app, argc, argv);
    try {
        const auto folder = docs + "/capacity";
        if (!pageOnly) {
            bench::writeResults(measure(), folder);
        }
        rewritePage(bench::readResults(folder), docs + "/CAPACITY.md");
    } catch (const std::exception &failure) {
        fmt::print(stderr, "capacity: {}\n", failure.what());
        return 1;
    }
    return 0;
}
