#include "fixture.h"
#include "routing/servicerouter.h"

#include <catch2/catch.hpp>
#include <deque>
#include <queue>

using namespace pimentoshed;
using namespace pimentoshed::routing::test;
using namespace std::chrono_literals;
using routing::AttemptOutcome;

namespace
{

constexpr unsigned HostCount = 142;
constexpr unsigned TargetCount = 223;
constexpr unsigned Slots = 2;
constexpr unsigned QueuePlaces = 4;
constexpr core::Duration WorkTime = 120ms;
/** One way between a host and a target. */
constexpr core::Duration Distance = 1ms;
constexpr core::Duration Objective = 400ms;
constexpr core::Duration Deadline = 1000ms;
constexpr core::Duration QueuePause = 15ms;
constexpr core::Duration Length = 1s;
/** After what the hosts have learnt before. */
const core::TimePoint RunStart = Start + 3s;

/** Gives @p router usual answers, and then a target that reported to be full and gave no sign. */
void learnThatFullTargetsHang(routing::ServiceRouter &router)
{
    routing::AssignOptions options;
    for (unsigned i = 0; i < 25; ++i) {
        router.release(core::value(router.assign(Start, options)), {AttemptOutcome::Answered, WorkTime, {}}, Start);
    }
    const auto assigned = core::value(router.assign(Start, options));
    routing::TargetSignals full;
    full.load = routing::LoadReport{Slots, QueuePlaces, Slots};
    router.recordSignals(*assigned.target, full, Start, Start);
    router.release(assigned, {AttemptOutcome::Cancelled, {}, {}}, Start);
    const std::vector ids{assigned.target->id};
    options.allowedTargets = ids;
    const auto later = Start + 1s;
    const auto silent = core::value(router.assign(later, options));
    REQUIRE(silent.silenceLimit);
    router.release(silent, {AttemptOutcome::Silent, Deadline, {}}, later + Deadline);
}

enum class WhenFull : std::uint8_t {
    Hang,
    Shed,
};

/** What the hosts suffer from. */
struct Conditions {
    /** One in so many rounds of probes brings no answer; 0 for none. */
    unsigned lostProbes = 0;
    /** The most time from a probe's answer to the decision: hosts share a processor. */
    core::Duration delay{};
};

struct Outcome {
    unsigned offered = 0;
    unsigned sent = 0;
    unsigned reachedFull = 0;
    /** Answered after the objective, or never. Requests that were refused before they were sent are not among them. */
    unsigned late = 0;
    /** Refused as not run. */
    unsigned refused = 0;
    /** Share of the targets' slots that worked, after the start. */
    double used = 0;
};

/** Hosts that decide by their routers and targets with a queue, connected by a queue of events. */
class Fleet
{
public:
    Fleet(double load, WhenFull whenFull, Conditions conditions, std::uint64_t seed)
        : m_random(core::seededRandom(seed))
        , m_rate(load * TargetCount * Slots / core::toSeconds(WorkTime))
        , m_whenFull(whenFull)
        , m_conditions(conditions)
        , m_targets(TargetCount)
    {
        for (unsigned host = 0; host < HostCount; ++host) {
            routing::RouterHooks hooks;
            hooks.picker = routing::makePicker(routing::PickerKind::NearInTime);
            hooks.random = core::seededRandom(seed * HostCount + host);
            m_hosts.push_back(
                {routing::ServiceRouter(makeService(Slots), core::FailureDomain("ravne"), hooks), {}, false});
            m_hosts.back().router.assumeObjective(Objective);
            for (unsigned target = 0; target < TargetCount; ++target) {
                m_hosts.back().router.update(makeTarget(std::to_string(target)));
            }
            if (whenFull == WhenFull::Hang) {
                learnThatFullTargetsHang(m_hosts.back().router);
            }
        }
    }

    Outcome run()
    {
        at(m_now, [this]() {
            arrive();
        });
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_outcome.used = core::toSeconds(m_worked) / (core::toSeconds(Length) * TargetCount * Slots);
        return m_outcome;
    }

private:
    struct Request {
        core::TimePoint arrival{};
        bool idempotent = false;
        bool isRetry = false;
    };
    struct Host {
        routing::ServiceRouter router;
        std::deque<Request> waiting;
        bool isBusy = false;
        double retryBudget = 2;
    };
    struct Target {
        unsigned running = 0;
        std::deque<std::function<void()>> queue;
    };
    struct Event {
        core::TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    void at(core::TimePoint time, std::function<void()> action)
    {
        m_events.push({time, ++m_order, std::move(action)});
    }

    void arrive()
    {
        if (m_now >= RunStart + Length) {
            return;
        }
        ++m_outcome.offered;
        const auto host = core::randomBelow(m_random, HostCount);
        m_hosts[host].waiting.push_back({m_now, core::randomBelow(m_random, 3) > 0, false});
        work(host);
        const double gap = -std::log(1 - core::randomFraction(m_random)) / m_rate;
        at(m_now + std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(gap)), [this]() {
            arrive();
        });
    }

    /** Probes two targets for the first request of the host, and sends it or waits. */
    void work(std::size_t host)
    {
        auto &self = m_hosts[host];
        if (self.isBusy) {
            return;
        }
        while (!self.waiting.empty() && m_now + WorkTime > self.waiting.front().arrival + Objective) {
            m_outcome.refused += self.waiting.front().isRetry ? 0 : 1;
            m_outcome.late += self.waiting.front().isRetry ? 1 : 0;
            self.waiting.pop_front();
        }
        if (self.waiting.empty()) {
            return;
        }
        self.isBusy = true;
        routing::AssignOptions options;
        options.objective = self.waiting.front().arrival + Objective - m_now;
        options.probationNeedsReport = true;
        const auto probed = self.router.shortlist(m_now, options, 2);
        const auto sent = m_now;
        at(m_now + Distance, [this, host, probed, sent]() {
            std::vector<routing::TargetSignals> signals;
            signals.reserve(probed.size());
            for (const auto &target : probed) {
                signals.push_back(signalsOf(m_targets[position(*target)]));
            }
            const bool isLost =
                m_conditions.lostProbes > 0 && core::randomBelow(m_random, m_conditions.lostProbes) == 0;
            at(m_now + Distance, [this, host, probed, signals, sent, isLost]() {
                if (isLost) {
                    decide(host, {});
                    return;
                }
                for (std::size_t i = 0; i < probed.size(); ++i) {
                    m_hosts[host].router.recordSignals(*probed[i], signals[i], sent, m_now);
                }
                const auto delay =
                    std::chrono::duration_cast<core::Duration>(m_conditions.delay * core::randomFraction(m_random));
                at(m_now + delay, [this, host, probed]() {
                    decide(host, probed);
                });
            });
        });
    }

    void decide(std::size_t host, const std::vector<std::shared_ptr<const targets::Target>> &probed)
    {
        auto &self = m_hosts[host];
        const auto request = self.waiting.front();
        std::vector<core::TargetId> ids;
        ids.reserve(probed.size());
        for (const auto &target : probed) {
            ids.push_back(target->id);
        }
        routing::AssignOptions options;
        options.allowedTargets = ids;
        options.objective = request.arrival + Objective - m_now;
        options.probationNeedsReport = true;
        const auto assigned = self.router.assign(m_now, options);
        self.isBusy = false;
        if (core::ok(assigned)) {
            self.waiting.pop_front();
            send(host, request, core::value(assigned));
            work(host);
            return;
        }
        self.isBusy = true;
        at(m_now + QueuePause, [this, host]() {
            m_hosts[host].isBusy = false;
            work(host);
        });
    }

    void send(std::size_t host, const Request &request, const routing::Assignment &assignment)
    {
        ++m_outcome.sent;
        m_hosts[host].retryBudget += 0.2;
        const auto started = m_now;
        at(m_now + Distance, [=, this]() {
            auto &target = m_targets[position(*assignment.target)];
            const auto begin = [=, this]() {
                start(host, request, assignment, started);
            };
            if (target.running < Slots) {
                begin();
            } else if (target.queue.size() < QueuePlaces) {
                target.queue.emplace_back(begin);
            } else {
                ++m_outcome.reachedFull;
                m_whenFull == WhenFull::Hang ? hang(host, request, assignment, started)
                                             : shed(host, request, assignment, started);
            }
        });
    }

    void start(std::size_t host, const Request &request, const routing::Assignment &assignment, core::TimePoint started)
    {
        auto &target = m_targets[position(*assignment.target)];
        ++target.running;
        const auto time =
            std::chrono::duration_cast<core::Duration>(WorkTime * (0.7 + 0.6 * core::randomFraction(m_random)));
        m_worked += std::clamp<core::Duration>(RunStart + Length - m_now, core::Duration{}, time);
        at(m_now + time, [=, this]() {
            auto &ended = m_targets[position(*assignment.target)];
            --ended.running;
            if (!ended.queue.empty()) {
                const auto next = std::move(ended.queue.front());
                ended.queue.pop_front();
                next();
            }
            const auto signals = signalsOf(ended);
            at(m_now + Distance, [=, this]() {
                m_hosts[host].router.release(assignment, {AttemptOutcome::Answered, m_now - started, signals}, m_now);
                m_outcome.late += m_now > request.arrival + Objective ? 1 : 0;
            });
        });
    }

    void hang(std::size_t host, const Request &request, const routing::Assignment &assignment, core::TimePoint started)
    {
        auto &budget = m_hosts[host].retryBudget;
        const bool isResent = request.idempotent && assignment.silenceLimit && !request.isRetry && budget >= 1;
        budget -= isResent ? 1 : 0;
        at(started + (isResent ? *assignment.silenceLimit : Deadline), [=, this]() {
            m_hosts[host].router.release(assignment, {AttemptOutcome::Silent, m_now - started, {}}, m_now);
            if (isResent) {
                m_hosts[host].waiting.push_back({request.arrival, true, true});
                work(host);
            } else {
                ++m_outcome.late;
            }
        });
    }

    void shed(std::size_t host, const Request &request, const routing::Assignment &assignment, core::TimePoint started)
    {
        at(m_now + Distance, [=, this]() {
            m_hosts[host].router.release(assignment, {AttemptOutcome::Shed, m_now - started, {}}, m_now);
            m_hosts[host].waiting.push_back({request.arrival, request.idempotent, true});
            work(host);
        });
    }

    static std::size_t position(const targets::Target &target)
    {
        return std::stoul(target.id.str());
    }

    static routing::TargetSignals signalsOf(const Target &target)
    {
        routing::TargetSignals signals;
        signals.load = routing::LoadReport{target.running, static_cast<unsigned>(target.queue.size()), Slots};
        return signals;
    }

    core::RandomSource m_random;
    const double m_rate;
    const WhenFull m_whenFull;
    const Conditions m_conditions;
    std::vector<Host> m_hosts;
    std::vector<Target> m_targets;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    core::TimePoint m_now = RunStart;
    core::Duration m_worked{};
    Outcome m_outcome;
};

} // namespace

TEST_CASE("hosts that share targets rarely reach a full one, and leave few slots unused")
{
    struct Expectation {
        double load;
        /** Of the requests sent: one that hangs costs its caller the deadline, and is lost if it must not run twice. */
        double mostAtFull;
        /** Of the requests offered: answered in time, so that callers need no second attempt. */
        double leastInTime;
        /** Of the slots. */
        double leastUsed;
    };
    // At half load a hang is as rare as an error of a healthy target, and at most as many as that are not in time.
    const std::vector<Expectation> healthy{{0.5, 0.001, 0.99, 0.4}, {1, 0.005, 0.9, 0.75}, {2, 0.01, 0.45, 0.8}};
    // Of hosts that lose half of their probes and decide up to 100 ms late, callers expect most of it.
    const std::vector<Expectation> starved{{0.5, 0.001, 0.95, 0.4}, {1, 0.01, 0.65, 0.6}, {2, 0.01, 0.25, 0.6}};
    const auto [conditions, expectations] =
        GENERATE_COPY(std::pair(Conditions{}, healthy), std::pair(Conditions{2, 100ms}, starved));
    for (const auto &expected : expectations) {
        const auto o = Fleet(expected.load, WhenFull::Hang, conditions, 7).run();
        CHECK(o.reachedFull <= expected.mostAtFull * o.sent);
        CHECK(o.offered - o.refused - o.late >= expected.leastInTime * o.offered);
        CHECK(o.used >= expected.leastUsed);
    }
}

TEST_CASE("hosts rarely reach full targets that shed, at twice the load")
{
    const auto o = Fleet(2, WhenFull::Shed, Conditions{}, 7).run();
    CHECK(o.reachedFull <= 0.01 * o.sent);
    CHECK(o.used >= 0.8);
}
