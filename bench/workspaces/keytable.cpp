/**
 * @file
 * Measures what a host spends on keys: a look-up for each request, and parsing and the table for each new file.
 */
#include "workspaces/keytable.h"

#include "configuration/keydigest.h"
#include "configuration/parser.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace
{

using namespace pimentoshed;

constexpr unsigned KeysPerWorkspace = 4;

std::string keyName(std::int64_t workspace, unsigned key)
{
    return fmt::format("key-{}-of-workspace-{}", key, workspace);
}

std::shared_ptr<const configuration::Configuration> makeConfiguration(std::int64_t workspaces)
{
    auto made = std::make_shared<configuration::Configuration>();
    for (std::int64_t i = 0; i < workspaces; ++i) {
        auto &workspace = made->workspaces.emplace_back();
        workspace.name = core::WorkspaceName(fmt::format("workspace-{}", i));
        workspace.keys.reserve(KeysPerWorkspace);
        for (unsigned j = 0; j < KeysPerWorkspace; ++j) {
            workspace.keys.push_back(configuration::digestOfKey(keyName(i, j)));
        }
    }
    return made;
}

/** The digest of a request's key, which is made once for each request. */
void digestKey(benchmark::State &state)
{
    const auto key = keyName(0, 0);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(configuration::digestOfKey(key));
    }
}

/** Look-ups of all keys in turn. */
void findKey(benchmark::State &state)
{
    const auto configuration = makeConfiguration(state.range(0));
    const workspaces::KeyTable table(configuration);
    std::size_t next = 0;
    while (state.KeepRunning()) {
        const auto &workspace = configuration->workspaces[next % configuration->workspaces.size()];
        benchmark::DoNotOptimize(table.find(workspace.keys[next % KeysPerWorkspace]));
        // Steps through the workspaces in an order that no cache line foresees.
        next += 7919;
    }
}

/** A whole file, as a host parses it for each change, whatever the change is. */
void parseFile(benchmark::State &state)
{
    std::string text = "replaces = 0\nfailure_domains = [\"a\"]\n";
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        text += fmt::format("[workspace.w{}]\nkeys = [", i);
        for (unsigned j = 0; j < KeysPerWorkspace; ++j) {
            text += fmt::format("\"{}\", ", keyName(i, j));
        }
        text += "]\nrequests_per_second = 2.5\nburst = 5\n";
    }
    while (state.KeepRunning()) {
        const auto parsed = configuration::parse(text);
        if (!std::holds_alternative<configuration::Configuration>(parsed)) {
            state.SkipWithError("the file is not valid");
            break;
        }
    }
    state.SetComplexityN(state.range(0));
    state.counters["file_bytes"] = static_cast<double>(text.size());
}

void buildTable(benchmark::State &state)
{
    const auto configuration = makeConfiguration(state.range(0));
    while (state.KeepRunning()) {
        const workspaces::KeyTable table(configuration);
        benchmark::DoNotOptimize(&table);
    }
    state.SetComplexityN(state.range(0));
    state.counters["bytes_per_key"] = sizeof(configuration::KeyDigest) + workspaces::KeyTable::BytesPerKey;
}

} // namespace

BENCHMARK(digestKey);
BENCHMARK(findKey)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK(parseFile)->RangeMultiplier(10)->Range(10, 10000)->Complexity(benchmark::oN)->Unit(benchmark::kMillisecond);
BENCHMARK(buildTable)->RangeMultiplier(10)->Range(10, 10000)->Complexity(benchmark::oN);
