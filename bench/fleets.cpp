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

constexpr unsigned FirstSubnet = 160;
constexpr auto IdleTime = std::chrono::seconds(5);
constexpr unsigned Changes = 5;
constexpr auto ReadyLimit = std::chrono::seconds(20);
constexpr auto InForceLimit = std::chrono::seconds(10);

/** Numbers of hosts, targets and services of a fleet. */
struct FleetSize {
    unsigned entryHosts = 3;
    unsigned targets = 36;
    unsigned services = 4;
};

/** Processor time, traffic and memory of one process since its start. */
struct Usage {
    double cpuMicros = 0;
    double bytes = 0;
    double resident = 0;
};

/** Difference of two readings of a process, per second. */
struct Rates {
    double cpu = 0;
    double bytes = 0;
};

/** Measurements of one fleet, at rest and under one change a second. */
struct Observation {
    Rates controlIdle;
    Rates controlChange;
    Rates entryIdle;
    Rates entryChange;
    double controlResident = 0;
    double entryResident = 0;
    double inForceMillis = 0;
};

std::string metricsOf(const std::string &address)
{
    const auto answer = processes::sendRequest(address, "/metrics");
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

/** Starts one fleet with its targets and measures it. */
class FleetMeasurement
{
public:
    FleetMeasurement(unsigned subnet, FleetSize size)
        : m_size(size)
        , m_fleet(subnet, size.entryHosts)
        , m_announcer({size.targets, size.services, platformAddresses()})
    {
    }

    Observation run()
    {
        applyNextVersion();
        if (!processes::eventually(
                [this]() {
                    return isReady();
                },
                ReadyLimit)) {
            throw std::runtime_error("the entry hosts of a fleet did not receive all targets and hosts in time");
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
        Observation observation;
        std::tie(observation.controlIdle, observation.entryIdle) = ratesDuring([]() {
            std::this_thread::sleep_for(IdleTime);
        });
        std::tie(observation.controlChange, observation.entryChange) = ratesDuring([&]() {
            observation.inForceMillis = changeEachSecond();
        });
        observation.controlResident = usageOf(m_fleet.operatorAddress()).resident;
        observation.entryResident = usageOf(m_fleet.platformAddress(0)).resident;
        return observation;
    }

private:
    std::vector<std::string> platformAddresses() const
    {
        std::vector<std::string> addresses;
        for (unsigned i = 0; i < m_size.entryHosts; ++i) {
            addresses.push_back(m_fleet.platformAddress(i));
        }
        return addresses;
    }

    std::pair<Rates, Rates> ratesDuring(const std::function<void()> &step) const
    {
        const auto controlBefore = usageOf(m_fleet.operatorAddress());
        const auto entryBefore = usageOf(m_fleet.platformAddress(0));
        const auto begin = core::steadyNow();
        step();
        const auto seconds = core::toSeconds(core::steadyNow() - begin);
        return {ratesOf(controlBefore, usageOf(m_fleet.operatorAddress()), seconds),
                ratesOf(entryBefore, usageOf(m_fleet.platformAddress(0)), seconds)};
    }

    void applyNextVersion()
    {
        const auto answer = processes::sendRequest(m_fleet.operatorAddress(),
                                                   "/pimentoshed/v1/configuration",
                                                   "POST",
                                                   sampleFile(m_size.services, m_version),
                                                   {{"Change-Id", fmt::format("change-{}", m_version)}});
        constexpr unsigned Ok = 200;
        if (!core::ok(answer) || core::value(answer).status != Ok) {
            throw std::runtime_error("the control host did not accept a configuration file");
        }
        ++m_version;
    }

    bool isInForce(unsigned entry) const
    {
        return sumSamples(metricsOf(m_fleet.platformAddress(entry)), "pimentoshed_revision ")
               >= static_cast<double>(m_version);
    }

    bool isReady() const
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

    /**
     * Applies one change a second. Returns the longest time, in milliseconds, from the response to a change until it is
     * in force at every entry host.
     */
    double changeEachSecond()
    {
        double longest = 0;
        const auto begin = core::steadyNow();
        for (unsigned i = 0; i < Changes; ++i) {
            std::this_thread::sleep_until(begin + std::chrono::seconds(i));
            applyNextVersion();
            const auto accepted = core::steadyNow();
            for (unsigned entry = 0; entry < m_size.entryHosts; ++entry) {
                if (!processes::eventually(
                        [this, entry]() {
                            return isInForce(entry);
                        },
                        InForceLimit)) {
                    throw std::runtime_error("a change was not in force at an entry host in time");
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

Observation measureFleet(unsigned subnet, FleetSize size)
{
    fmt::print("fleet: {} entry hosts, {} targets, {} services\n", size.entryHosts, size.targets, size.services);
    std::fflush(stdout);
    return FleetMeasurement(subnet, size).run();
}

void addByHosts(Results &results, double size, const Observation &observation)
{
    results.add(Measure::ControlCpuByHosts, size, observation.controlIdle.cpu);
    results.add(Measure::ControlResidentByHosts, size, observation.controlResident);
    results.add(Measure::ControlBytesByHosts, size, observation.controlIdle.bytes);
    results.add(Measure::ControlChangeCpuByHosts, size, observation.controlChange.cpu);
    results.add(Measure::ControlChangeBytesByHosts, size, observation.controlChange.bytes);
    results.add(Measure::EntryCpuByHosts, size, observation.entryIdle.cpu);
    results.add(Measure::EntryBytesByHosts, size, observation.entryIdle.bytes);
    results.add(Measure::InForceByHosts, size, observation.inForceMillis);
}

void addByTargets(Results &results, double size, const Observation &observation)
{
    results.add(Measure::ControlCpuByTargets, size, observation.controlIdle.cpu);
    results.add(Measure::ControlResidentByTargets, size, observation.controlResident);
    results.add(Measure::EntryCpuByTargets, size, observation.entryIdle.cpu);
    results.add(Measure::EntryResidentByTargets, size, observation.entryResident);
    results.add(Measure::EntryBytesByTargets, size, observation.entryIdle.bytes);
}

void addByServices(Results &results, double size, const Observation &observation)
{
    results.add(Measure::ControlCpuByServices, size, observation.controlIdle.cpu);
    results.add(Measure::ControlResidentByServices, size, observation.controlResident);
    results.add(Measure::EntryCpuByServices, size, observation.entryIdle.cpu);
    results.add(Measure::EntryResidentByServices, size, observation.entryResident);
    results.add(Measure::EntryChangeCpuByServices, size, observation.entryChange.cpu);
    results.add(Measure::EntryChangeBytesByServices, size, observation.entryChange.bytes);
    results.add(Measure::InForceByServices, size, observation.inForceMillis);
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
    unsigned subnet = FirstSubnet;
    const auto smallest = measureFleet(subnet++, {});
    addByHosts(results, 3, smallest);
    addByTargets(results, 36, smallest);
    addByServices(results, 4, smallest);
    for (const unsigned hosts : {9U, 17U, 50U}) {
        addByHosts(results, hosts, measureFleet(subnet++, {.entryHosts = hosts}));
    }
    for (const unsigned targets : {300U, 1200U, 4100U}) {
        addByTargets(results, targets, measureFleet(subnet++, {.targets = targets}));
    }
    for (const unsigned services : {40U, 150U, 430U}) {
        addByServices(results, services, measureFleet(subnet++, {.services = services}));
    }
}

} // namespace pimentoshed::bench
