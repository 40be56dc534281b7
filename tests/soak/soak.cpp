#include "soak/soak.h"

#include "soak/callers.h"
#include "soak/fleet.h"
#include "soak/operators.h"
#include "soak/plan.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>

namespace pimentoshed::soak
{

namespace
{

using namespace std::chrono_literals;

/** How long the system may take to start, and to recover after the last fault. */
constexpr auto StartLimit = 20s;
constexpr auto RecoveryLimit = 20s;
constexpr auto CheckPeriod = 3s;
constexpr std::size_t LogLinesPerHost = 25;

class Soak
{
public:
    explicit Soak(const SoakSettings &settings)
        : m_settings(settings)
        , m_fleet(settings.subnet, fleetSize(settings.processes), m_folder.path())
    {
    }

    SoakResult run()
    {
        const auto plan = makePlan(m_settings.seed, m_settings.length, m_fleet.size());
        print(fmt::format("seed {}, {:.0f} s, {} control hosts, {} entry hosts, {} targets\n{}",
                          m_settings.seed,
                          core::toSeconds(m_settings.length),
                          m_fleet.size().control,
                          m_fleet.size().entry,
                          m_fleet.size().targets,
                          describe(plan)));
        if (!startService()) {
            report({{Promise::Recovery, "no service after the start: " + m_notServing, {"c0"}, core::steadyNow()}});
            return result();
        }
        m_start = core::steadyNow();
        m_observer.emplace(m_fleet);
        m_operator.emplace(m_fleet, calmOperator(), m_settings.seed);
        m_hastyOperator.emplace(m_fleet, hastyOperator(), ~m_settings.seed);
        m_callers.emplace(m_fleet, callerCount(), m_settings.seed);
        play(plan);
        recover();
        stop();
        report(findBrokenPromises(records()));
        return result();
    }

private:
    void print(const std::string &text) const
    {
        if (m_settings.isVerbose) {
            fmt::print("{}", text);
            std::fflush(stdout);
        }
    }

    unsigned callerCount() const
    {
        return 4 + m_settings.processes / 10;
    }

    /** Applies the first file and waits until every entry host can serve. */
    bool startService()
    {
        const auto applied = [this]() {
            const auto answer = http::fetch(
                m_fleet.operatorAddress(0),
                {"POST", "/pimentoshed/v1/configuration", {{"Change-Id", "first"}}, m_fleet.operatorFile(0)},
                2s);
            return core::ok(answer) && core::value(answer).status == 200;
        };
        const auto serves = [this]() {
            return isServing();
        };
        return processes::eventually(applied, StartLimit) && processes::eventually(serves, StartLimit);
    }

    /** Whether every entry host is current and knows all targets as warm; if not, sets m_notServing to the reason. */
    bool isServing()
    {
        for (unsigned i = 0; i < m_fleet.size().entry; ++i) {
            const auto answer = http::fetch(m_fleet.entryStateAddress(i), {"GET", "/pimentoshed/v1/state", {}, {}}, 1s);
            if (!core::ok(answer)) {
                m_notServing = m_fleet.entryName(i) + " does not answer";
                return false;
            }
            const auto &body = core::value(answer).body;
            if (!processes::isReady(body, m_fleet.size().targets)) {
                m_notServing = fmt::format("{}: {}", m_fleet.entryName(i), body);
                return false;
            }
        }
        return true;
    }

    /** Runs each event in a thread of its own, and checks the records meanwhile. Ends early if a promise is broken. */
    void play(const std::vector<Event> &plan)
    {
        std::vector<std::thread> events;
        auto next = plan.begin();
        auto nextCheck = m_start + CheckPeriod;
        while (core::steadyNow() < m_start + m_settings.length && m_broken.empty()) {
            const auto now = core::steadyNow();
            for (; next != plan.end() && m_start + next->at <= now; ++next) {
                events.emplace_back([this, &event = *next]() {
                    m_fleet.run(event);
                });
            }
            if (now >= nextCheck) {
                report(findBrokenPromises(records()));
                nextCheck = now + CheckPeriod;
            }
            std::this_thread::sleep_for(20ms);
        }
        for (auto &event : events) {
            event.join();
        }
    }

    void recover()
    {
        m_operator->stop();
        m_hastyOperator->stop();
        m_fleet.healAll();
        const auto serves = [this]() {
            return isServing();
        };
        const auto isComplete = [this]() {
            return hasAllChanges();
        };
        if (!processes::eventually(serves, RecoveryLimit)) {
            report({{Promise::Recovery,
                     "no service after the last fault: " + m_notServing,
                     allHosts(),
                     core::steadyNow()}});
        } else if (!processes::eventually(isComplete, RecoveryLimit)) {
            report({{Promise::Recovery,
                     "a control host lacks an acknowledged change after the last fault",
                     {"c0", "c1", "c2"},
                     core::steadyNow()}});
        }
    }

    std::vector<std::string> allHosts() const
    {
        std::vector<std::string> hosts;
        for (unsigned i = 0; i < m_fleet.size().control; ++i) {
            hosts.push_back(m_fleet.controlName(i));
        }
        for (unsigned i = 0; i < m_fleet.size().entry; ++i) {
            hosts.push_back(m_fleet.entryName(i));
        }
        return hosts;
    }

    std::vector<AcknowledgedChange> changes() const
    {
        auto changes = m_operator->changes();
        const auto more = m_hastyOperator->changes();
        changes.insert(changes.end(), more.begin(), more.end());
        return changes;
    }

    /** Whether every control host has every acknowledged change. */
    bool hasAllChanges() const
    {
        std::uint64_t newest = 0;
        for (const auto &change : changes()) {
            newest = std::max(newest, change.revision);
        }
        std::vector<std::uint64_t> revisions(m_fleet.size().control);
        for (const auto &read : m_observer->reads()) {
            for (unsigned i = 0; i < revisions.size(); ++i) {
                if (read.host == m_fleet.controlName(i)) {
                    revisions[i] = read.revision;
                }
            }
        }
        return std::all_of(revisions.begin(), revisions.end(), [newest](std::uint64_t revision) {
            return revision >= newest;
        });
    }

    void stop()
    {
        m_callers->stop();
        m_observer->stop();
        m_fleet.stopAll();
    }

    Records records() const
    {
        Records records;
        records.requests = m_callers->requests();
        m_fleet.readJournals(records);
        records.changes = changes();
        records.outages = m_operator->outages();
        records.reads = m_observer->reads();
        records.disturbances = m_fleet.disturbances();
        records.stops = m_fleet.stops();
        return records;
    }

    void report(const std::vector<BrokenPromise> &broken)
    {
        for (const auto &each : broken) {
            if (!addIfFirst(m_broken, each)) {
                continue;
            }
            fmt::print("BROKEN at {:.1f} s: {}: {}\n",
                       core::toSeconds(each.at - m_start),
                       core::nameOf(PromiseNames, each.promise),
                       each.detail);
            for (const auto &host : each.hosts) {
                const auto name = host.substr(0, host.find('#'));
                fmt::print("-- log of {}\n{}", name, processes::lastLines(m_fleet.logFile(name), LogLinesPerHost));
            }
        }
    }

    SoakResult result() const
    {
        SoakResult result;
        result.broken = m_broken;
        if (m_callers) {
            for (const auto &request : m_callers->requests()) {
                ++result.requests;
                result.answered += request.outcome == Outcome::Answered ? 1 : 0;
                result.refused += request.outcome == Outcome::RefusedAsNotRun ? 1 : 0;
                result.behindClose += request.outcome == Outcome::BehindClose ? 1 : 0;
            }
            result.changes = changes().size();
        }
        print(fmt::format(
            "seed {}: {} requests, {} answered, {} refused as not run, {} behind a close, {} changes, {} promises "
            "broken\n",
            m_settings.seed,
            result.requests,
            result.answered,
            result.refused,
            result.behindClose,
            result.changes,
            result.broken.size()));
        return result;
    }

    const SoakSettings m_settings;
    const support::TemporaryFolder m_folder;
    Fleet m_fleet;
    core::TimePoint m_start{};
    std::optional<Observer> m_observer;
    std::optional<Operator> m_operator;
    std::optional<Operator> m_hastyOperator;
    std::optional<Callers> m_callers;
    std::vector<BrokenPromise> m_broken;
    std::string m_notServing;
};

} // namespace

SoakResult runSoak(const SoakSettings &settings)
{
    return Soak(settings).run();
}

} // namespace pimentoshed::soak
