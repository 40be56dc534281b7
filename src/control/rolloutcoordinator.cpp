#include "control/rolloutcoordinator.h"

#include "core/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace pimentoshed::control
{

namespace
{

/** Interval between decisions: half the period of entry hosts' reports. */
constexpr auto DecisionPeriod = std::chrono::milliseconds(100);
/** How long a submitted move may take before it is submitted again: some commits. */
constexpr auto MovePatience = std::chrono::milliseconds(500);
/** How long after the end of a rollout its order counts as sent again. Operators resend for some 4 s. */
constexpr auto ResendTime = std::chrono::seconds(10);
/** Limit on counts that wait to be relayed, above those of 1,000 entry hosts in one period. */
constexpr std::size_t MaxPending = 20'000;

rollouts::Room roomAt(const std::vector<targets::Target> &targets,
                      const changes::ActiveConfiguration &active,
                      const rollouts::Order &order)
{
    const auto *service =
        active.configuration ? configuration::findService(*active.configuration, order.service) : nullptr;
    rollouts::Room room;
    for (const auto &target : targets) {
        const bool hasRoom = target.service == order.service && target.condition == targets::Condition::Warm
                             && !target.version.withdrawn && !changes::isOutOfService(active, target.domain);
        if (hasRoom) {
            const auto slots = target.slots > 0 || service == nullptr ? target.slots : service->slots;
            (target.softwareVersion == order.softwareVersion ? room.newVersion : room.oldVersions) += slots;
        }
    }
    return room;
}

/** Describes the counts of each route: responses, failures and slow responses of the new version and the old ones. */
std::string describe(const rollouts::SequentialTest &test)
{
    std::string text;
    for (const auto &entry : test.routes()) {
        const auto &route = entry.second;
        const auto counts = [&route](const rollouts::Counts &any) {
            return fmt::format("{}/{}/{}", any.responses, any.failures, any.timedFrom(route.slowBucket));
        };
        text += fmt::format("{}{}: new {}, old {}, evidence {:.1f}/{:.1f}, recent {:.1f}/{:.1f}",
                            text.empty() ? "" : "; ",
                            entry.first.str(),
                            counts(route.counted.newVersion),
                            counts(route.counted.oldVersions),
                            route.failures.total,
                            route.durations.total,
                            route.failures.recent,
                            route.durations.recent);
    }
    return text;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void RolloutCoordinator::start(const changes::StartRollout &change,
                               const OrderAge &age,
                               const std::function<void(changes::Answer)> &done)
{
    m_dependencies.confirmCurrent([this, change, age, done](bool isCurrent) {
        if (!isCurrent) {
            done(core::Error{core::ErrorCode::NoQuorum, "the newest rollout of the service can't be confirmed"});
            return;
        }
        const auto active = m_dependencies.activeConfiguration();
        if (const auto repeated = findRepeated(*active, change.order)) {
            done(changes::Accepted{repeated->revision, repeated->version});
            return;
        }
        const auto found = active->rollouts.find(change.order.service);
        auto attempt = change;
        attempt.replaces = found == active->rollouts.end() ? 0 : found->second.number;
        if (age.mayBeStale()) {
            done(core::Error{core::ErrorCode::OrderStale, change.order.service.str()});
            return;
        }
        m_dependencies.submit(changes::Change(attempt), [change, done](const changes::Answer &answer) {
            core::log(core::LogLevel::Info,
                      "rollout-ordered",
                      {{"service", change.order.service.str()},
                       {"version", change.order.softwareVersion},
                       {"over_s", core::toSeconds(change.order.over)},
                       {"outcome", core::ok(answer) ? "accepted" : core::describe(core::error(answer))}});
            done(answer);
        });
    });
}

std::optional<rollouts::Rollout> RolloutCoordinator::findRepeated(const changes::ActiveConfiguration &active,
                                                                  const rollouts::Order &order)
{
    const auto now = m_dependencies.now();
    const auto found = active.rollouts.find(order.service);
    if (found == active.rollouts.end()) {
        return std::nullopt;
    }
    const auto &newest = found->second;
    if (newest.order.softwareVersion != order.softwareVersion) {
        return std::nullopt;
    }
    // What is in force already needs no rollout.
    if (newest.state == rollouts::State::Complete) {
        return newest;
    }
    const core::Lock lock(m_mutex);
    followRollouts(active, now);
    const auto endedAt = m_conductors.at(order.service).endedAt();
    const bool isRecent = !endedAt || now < *endedAt + ResendTime;
    return newest.order == order && isRecent ? std::optional(newest) : std::nullopt;
}

void RolloutCoordinator::record(const std::vector<rollouts::HostCounts> &counts, bool isRelayed)
{
    if (counts.empty()) {
        return;
    }
    const bool isLeader = m_dependencies.isLeader();
    const core::Lock lock(m_mutex);
    if (isLeader) {
        for (const auto &each : counts) {
            m_counts.record(each);
        }
    } else if (!isRelayed && m_pending.size() < MaxPending) {
        m_pending.insert(m_pending.end(), counts.begin(), counts.end());
    }
}

void RolloutCoordinator::tick(core::TimePoint now)
{
    const auto active = m_dependencies.activeConfiguration();
    if (active->rollouts.empty()) {
        return;
    }
    const bool isLeader = m_dependencies.isLeader();
    const bool isRunning = std::any_of(active->rollouts.begin(), active->rollouts.end(), [](const auto &entry) {
        return entry.second.state == rollouts::State::Running;
    });
    const auto targets = isLeader && isRunning ? m_dependencies.targets() : std::vector<targets::Target>();
    std::vector<Decision> decisions;
    std::vector<rollouts::HostCounts> relayed;
    {
        const core::Lock lock(m_mutex);
        followRollouts(*active, now);
        if (!isLeader) {
            relayed = std::exchange(m_pending, {});
        } else if (isRunning && now >= m_nextDecision) {
            m_nextDecision = now + DecisionPeriod;
            decisions = decide(*active, targets, now);
        }
    }
    if (!relayed.empty()) {
        m_dependencies.relay(relayed);
    }
    for (const auto &decision : decisions) {
        submit(decision);
    }
}

void RolloutCoordinator::followRollouts(const changes::ActiveConfiguration &active, core::TimePoint now)
{
    std::map<core::ServiceName, std::uint64_t> running;
    for (const auto &[service, rollout] : active.rollouts) {
        m_conductors.try_emplace(service, rollout, now).first->second.follow(rollout, now);
        if (rollout.state == rollouts::State::Running) {
            running.emplace(service, rollout.number);
        }
    }
    m_counts.keepOnly(running);
}

std::vector<RolloutCoordinator::Decision> RolloutCoordinator::decide(const changes::ActiveConfiguration &active,
                                                                     const std::vector<targets::Target> &targets,
                                                                     core::TimePoint now)
{
    std::vector<Decision> decisions;
    const auto permission =
        active.configuration ? active.configuration->limits.permission : configuration::Limits{}.permission;
    for (auto &[service, conductor] : m_conductors) {
        const auto &rollout = conductor.rollout();
        const auto room = roomAt(targets, active, rollout.order);
        const auto move = conductor.decide(m_counts.sum(service, rollout.number), {now, room, permission});
        auto &submitted = m_submitted[service];
        const bool isPending = submitted.move.number == rollout.number && submitted.move.step == rollout.step && move
                               && submitted.move.kind == move->kind && now < submitted.at + MovePatience;
        if (move && !isPending) {
            submitted = {*move, now};
            decisions.push_back({service, rollout.order.softwareVersion, *move, room, describe(conductor.test())});
        }
    }
    return decisions;
}

void RolloutCoordinator::submit(const Decision &decision) const
{
    m_dependencies.submit(
        changes::MoveRollout{decision.service, decision.move}, [decision](const changes::Answer &answer) {
            const auto &move = decision.move;
            core::log(move.kind == rollouts::MoveKind::RollBack ? core::LogLevel::Warning : core::LogLevel::Info,
                      "rollout-moved",
                      {{"service", decision.service.str()},
                       {"version", decision.softwareVersion},
                       {"rollout", move.number},
                       {"from_share", rollouts::Steps.at(move.step).permille / 1000.0},
                       {"move", core::nameOf(rollouts::MoveKindNames, move.kind)},
                       {"reason", core::nameOf(rollouts::ReasonNames, move.reason)},
                       {"after_s", core::toSeconds(move.elapsed)},
                       {"new_slots", decision.room.newVersion},
                       {"old_slots", decision.room.oldVersions},
                       {"counts", decision.counts},
                       {"outcome", core::ok(answer) ? "accepted" : core::describe(core::error(answer))}});
        });
}

void RolloutCoordinator::updateGauges(telemetry::Registry &metrics) const
{
    const core::Lock lock(m_mutex);
    for (const auto &[service, conductor] : m_conductors) {
        const auto &rollout = conductor.rollout();
        metrics.set(telemetry::Metric::RolloutShare, {{"service", service.str()}}, rollout.share());
        const auto set = [&metrics, &name = service](const char *version, const rollouts::Counts &counts) {
            const telemetry::Labels labels{{"service", name.str()}, {"version", version}};
            metrics.set(telemetry::Metric::RolloutResponses, labels, static_cast<double>(counts.responses));
            metrics.set(telemetry::Metric::RolloutFailures, labels, static_cast<double>(counts.failures));
        };
        set("new", conductor.test().newVersion());
        set("old", conductor.test().oldVersions());
    }
}

} // namespace pimentoshed::control
