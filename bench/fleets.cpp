#include "fleets.h"

#include "announcer.h"
#include "core/time.h"
#include "processes/harness.h"
#include "samples.h"

#include <fmt/format.h>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace pimentoshed::bench
{

namespace
{

constexpr unsigned FirstNet = 160;
constexpr auto RestTime = std::chrono::seconds(5);
constexpr unsigned Changes = 5;
constexpr auto SettleLimit = std::chrono::seconds(20);
constexpr auto InForceLimit = std::chrono::seconds(10);

/** What a fleet is made of. */
struct FleetSize {
    unsigned entryHosts = 3;
    unsigned targets = 36;
    unsigned services = 4;
};

/** What one process has used so far. */
struct Usage {
    double cpuMicros = 0;
    double bytes = 0;
    double resident = 0;
};

/** What two readings of a process differ by, a second. */
struct Rates {
    double cpu = 0;
    double bytes = 0;
};

/** What was seen of one fleet. */
struct Observation {
    Rates controlRest;
    Rates controlChange;
    Rates entryRest;
    Rates entryChange;
    double controlResident = 0;
    double entryResident = 0;
    double inForceMillis = 0;
};

std::string metricsOf(const std::string &address)
{
    const auto answer = processes::ask(address, "/metrics");
    return core::ok(answer) ? core::value(answer).body : std::string();
}

Usage usageOf(const std::string &address)
{
    const auto page = metricsOf(address);
    return {sumSamples(page, "process_cpu_seconds_total") * 1e6,
            sumSamples(page, "pimentoshed_control_bytes_total"),
            sumSamples(page, "process_resident_memory_bytes")};
}

Rates ratesOf(const Usage &before, const Usage &after, double seconds)
{
    return {(after.cpuMicros - before.cpuMicros) / seconds, (after.bytes - before.bytes) / seconds};
}

/** One fleet with its targets, measured once. */
class Trial
{
public:
    Trial(unsigned net, FleetSize size)
        : m_size(size)
        , m_fleet(net, size.entryHosts)
        , m_announcer({size.targets, size.services, platforms()})
    {
    }

    Observation run()
    {
        applyNext();
        if (!processes::eventually(
                [this]() {
                    return settled();
                },
                SettleLimit)) {
            throw std::runtime_error("a fleet does not settle");
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
        Observation seen;
        std::tie(seen.controlRest, seen.entryRest) = during([]() {
            std::this_thread::sleep_for(RestTime);
        });
        std::tie(seen.controlChange, seen.entryChange) = during([&]() {
            seen.inForceMillis = changeEachSecond();
        });
        seen.controlResident = usageOf(m_fleet.operatorAddress()).resident;
        seen.entryResident = usageOf(m_fleet.platformAddress(0)).resident;
        return seen;
    }

private:
    std::vector<std::string> platforms() const
    {
        std::vector<std::string> addresses;
        for (unsigned i = 0; i < m_size.entryHosts; ++i) {
            addresses.push_back(m_fleet.platformAddress(i));
        }
        return addresses;
    }

    std::pair<Rates, Rates> during(const std::function<void()> &step) const
    {
        const auto controlBefore = usageOf(m_fleet.operatorAddress());
        const auto entryBefore = usageOf(m_fleet.platformAddress(0));
        const auto begin = core::steadyNow();
        step();
        const auto seconds = core::toSeconds(core::steadyNow() - begin);
        return {ratesOf(controlBefore, usageOf(m_fleet.operatorAddress()), seconds),
                ratesOf(entryBefore, usageOf(m_fleet.platformAddress(0)), seconds)};
    }

    void applyNext()
    {
        const auto answer = processes::ask(m_fleet.operatorAddress(),
                                           "/pimentoshed/v1/configuration",
                                           "POST",
                                           sampleFile(m_size.services, m_version),
                                           {{"Change-Id", fmt::format("change-{}", m_version)}});
        constexpr unsigned Ok = 200;
        if (!core::ok(answer) || core::value(answer).status != Ok) {
            throw std::runtime_error("a file is not accepted");
        }
        ++m_version;
    }

    bool inForce(unsigned entry) const
    {
        return sumSamples(metricsOf(m_fleet.platformAddress(entry)), "pimentoshed_revision ")
               >= static_cast<double>(m_version);
    }

    bool settled() const
    {
        for (unsigned i = 0; i < m_size.entryHosts; ++i) {
            const auto page = metricsOf(m_fleet.platformAddress(i));
            if (sumSamples(page, "pimentoshed_current ") < 1
                || sumSamples(page, "pimentoshed_targets{condition=\"warm\"}") < m_size.targets
                || sumSamples(page, "pimentoshed_entry_hosts ") < m_size.entryHosts) {
                return false;
            }
        }
        return true;
    }

    /** The longest time, in milliseconds, from an answer to in force at every entry host. */
    double changeEachSecond()
    {
        double longest = 0;
        const auto begin = core::steadyNow();
        for (unsigned i = 0; i < Changes; ++i) {
            std::this_thread::sleep_until(begin + std::chrono::seconds(i));
            applyNext();
            const auto accepted = core::steadyNow();
            for (unsigned entry = 0; entry < m_size.entryHosts; ++entry) {
                if (!processes::eventually(
                        [this, entry]() {
                            return inForce(entry);
                        },
                        InForceLimit)) {
                    throw std::runtime_error("a change is not in force in time");
                }
            }
            longest = std::max(longest, core::toSeconds(core::steadyNow() - accepted) * 1e3);
        }
        std::this_thread::sleep_until(begin + std::chrono::seconds(Changes));
        return longest;
    }

    const FleetSize m_size;
    std::uint64_t m_version = 0;
    processes::Fleet m_fleet;
    Announcer m_announcer;
};

Observation observe(unsigned net, FleetSize size)
{
    fmt::print("fleet: {} entry hosts, {} targets, {} services\n", size.entryHosts, size.targets, size.services);
    std::fflush(stdout);
    return Trial(net, size).run();
}

void addByHosts(Results &results, double size, const Observation &seen)
{
    results.add(Measure::ControlCpuByHosts, size, seen.controlRest.cpu);
    results.add(Measure::ControlResidentByHosts, size, seen.controlResident);
    results.add(Measure::ControlBytesByHosts, size, seen.controlRest.bytes);
    results.add(Measure::ControlChangeCpuByHosts, size, seen.controlChange.cpu);
    results.add(Measure::ControlChangeBytesByHosts, size, seen.controlChange.bytes);
    results.add(Measure::EntryCpuByHosts, size, seen.entryRest.cpu);
    results.add(Measure::EntryBytesByHosts, size, seen.entryRest.bytes);
    results.add(Measure::InForceByHosts, size, seen.inForceMillis);
}

void addByTargets(Results &results, double size, const Observation &seen)
{
    results.add(Measure::ControlCpuByTargets, size, seen.controlRest.cpu);
    results.add(Measure::ControlResidentByTargets, size, seen.controlResident);
    results.add(Measure::EntryCpuByTargets, size, seen.entryRest.cpu);
    results.add(Measure::EntryResidentByTargets, size, seen.entryResident);
    results.add(Measure::EntryBytesByTargets, size, seen.entryRest.bytes);
}

void addByServices(Results &results, double size, const Observation &seen)
{
    results.add(Measure::ControlCpuByServices, size, seen.controlRest.cpu);
    results.add(Measure::ControlResidentByServices, size, seen.controlResident);
    results.add(Measure::EntryCpuByServices, size, seen.entryRest.cpu);
    results.add(Measure::EntryResidentByServices, size, seen.entryResident);
    results.add(Measure::EntryChangeCpuByServices, size, seen.entryChange.cpu);
    results.add(Measure::EntryChangeBytesByServices, size, seen.entryChange.bytes);
    results.add(Measure::InForceByServices, size, seen.inForceMillis);
}

} // namespace

double sumSamples(const std::string &exposition, const std::string &prefix)
{
    std::istringstream lines(exposition);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        if (line.starts_with(prefix)) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

void measureFleets(Results &results)
{
    unsigned net = FirstNet;
    const auto smallest = observe(net++, {});
    addByHosts(results, 3, smallest);
    addByTargets(results, 36, smallest);
    addByServices(results, 4, smallest);
    for (const unsigned hosts : {9U, 17U, 50U}) {
        addByHosts(results, hosts, observe(net++, {.entryHosts = hosts}));
    }
    for (const unsigned targets : {300U, 1200U, 4100U}) {
        addByTargets(results, targets, observe(net++, {.targets = targets}));
    }
    for (const unsigned services : {40U, 150U, 430U}) {
        addByServices(results, services, observe(net++, {.services = services}));
    }
}

} // namespace pimentoshed::bench
