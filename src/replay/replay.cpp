#include "replay/replay.h"

#include "replay/faketarget.h"
#include "replay/host.h"
#include "replay/request.h"
#include "replay/scheduler.h"

#include <algorithm>
#include <memory>

namespace pimentoshed::replay
{

namespace
{

using requests::NextActionKind;
using requests::RunState;

/** A hedge is looked at just after an attempt becomes late. */
constexpr core::Duration HedgeSlack = std::chrono::milliseconds(1);
constexpr core::Duration ConfirmPeriod = std::chrono::milliseconds(500);

class Replay
{
public:
    Replay(const Trace &trace, const Policy &policy, std::uint64_t seed)
        : m_trace(trace)
        , m_policy(policy)
        , m_random(core::seededRandom(seed))
    {
        for (const auto &target : trace.targets) {
            m_positions[target.id] = m_targets.size();
            m_targets.emplace_back(target, trace.service.slots, trace.service.coldSlots);
        }
        for (std::size_t i = 0; i < trace.hosts.size(); ++i) {
            m_hosts.push_back(makeHost(trace, i, policy, m_random));
        }
        learnSpells();
    }

    Summary run()
    {
        confirm();
        for (const auto &event : m_trace.events) {
            m_time.advance(event.at);
            std::visit(
                [this](const auto &what) {
                    handle(what);
                },
                event.action);
        }
        m_time.finish();
        std::sort(m_summary.latencies.begin(), m_summary.latencies.end());
        return std::move(m_summary);
    }

private:
    core::TimePoint now() const
    {
        return m_time.now();
    }

    void learnSpells()
    {
        for (const auto &event : m_trace.events) {
            if (const auto *straggle = std::get_if<TargetSlowdown>(&event.action)) {
                targetOf(straggle->target).straggle(event.at, straggle->length, straggle->slowdown);
            }
        }
    }

    /** Every host is a member of one settled view, and has permission all along. */
    void confirm()
    {
        membership::OwnershipView view{1, {}};
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            view.members.push_back({hostId(i), 1, m_hosts[i].domain});
        }
        for (auto &host : m_hosts) {
            host.cold->confirmPermission(now(), now());
            host.cold->updateView(view);
            host.cold->settleView(view.number);
        }
        const auto end = m_trace.events.empty() ? now() : m_trace.events.back().at;
        if (now() < end) {
            m_time.schedule(ConfirmPeriod, [this]() {
                confirm();
            });
        }
    }

    void handle(const RequestArrival &arrival)
    {
        ++m_summary.requests;
        const auto index = m_requests.size();
        Request request;
        request.arrival = arrival;
        request.start = now();
        request.host = arrival.host;
        if (m_policy.placement == Placement::Owned) {
            request.host = ownerOf(m_hosts[arrival.host].domain);
            request.relayDelay = request.host == arrival.host ? core::Duration{} : m_trace.localDelay;
            m_summary.messages += request.host == arrival.host ? 0 : 2;
        }
        const auto deadline = now() + m_trace.service.deadline;
        request.run = std::make_unique<requests::RequestAttempts>(
            requests::RequestProperties{arrival.idempotent, true, deadline, {}}, *m_hosts[request.host].budget);
        const auto delay = request.relayDelay;
        m_requests.push_back(std::move(request));
        m_time.schedule(delay, [this, index]() {
            accept(index);
        });
    }

    void handle(const TargetSlowdown &)
    {
    }
    void handle(const TargetFailure &event)
    {
        targetOf(event.target).failUntil(now() + event.length);
    }
    void handle(const TargetMisreport &event)
    {
        targetOf(event.target).misreport(event.load);
    }
    void handle(const TargetConditionChange &event)
    {
        auto &fake = targetOf(event.target);
        fake.change(event.condition);
        const bool serves = event.condition == targets::Condition::Warm || event.condition == targets::Condition::Cold;
        setClosed(event.target, !serves);
        for (auto &host : m_hosts) {
            m_time.schedule(wordDelay(), [this, &host, target = fake.target()]() {
                updateTarget(host, target, m_policy);
                wake(host);
            });
        }
    }
    void handle(const DomainChange &event)
    {
        for (const auto &target : m_targets) {
            if (target.target().domain == event.domain) {
                setClosed(target.target().id, event.out);
            }
        }
        for (auto &host : m_hosts) {
            m_time.schedule(wordDelay(), [this, &host, event]() {
                event.out ? void(host.out.insert(event.domain)) : void(host.out.erase(event.domain));
                const std::vector<core::FailureDomain> out(host.out.begin(), host.out.end());
                host.router->setDomainsOutOfService(out);
                wake(host);
            });
        }
    }

    void setClosed(const core::TargetId &target, bool closed)
    {
        if (closed) {
            m_closed[target] = now();
        } else {
            m_closed.erase(target);
        }
    }

    core::Duration wordDelay() const
    {
        return core::Duration(
            static_cast<core::Duration::rep>(core::randomFraction(m_random) * MaxPropagationDelay.count()));
    }

    std::size_t ownerOf(const core::FailureDomain &domain) const
    {
        const auto found = std::find(m_trace.hosts.begin(), m_trace.hosts.end(), domain);
        return static_cast<std::size_t>(found - m_trace.hosts.begin());
    }

    void accept(std::size_t index)
    {
        auto &host = m_hosts[m_requests[index].host];
        if (host.queue->waitingCount(m_trace.service.name) == 0 && assign(index)) {
            return;
        }
        if (!m_policy.hasQueues) {
            refuse(index, {RunState::NotRun, {}});
            return;
        }
        const auto deadline = m_requests[index].start + m_trace.service.deadline;
        const auto admitted = host.queue->enqueue(m_trace.service.name, deadline, host.router->latency().mean(), now());
        if (!core::ok(admitted)) {
            refuse(index, {RunState::NotRun, core::error(admitted)});
            return;
        }
        host.waiting[core::value(admitted).ticket] = index;
        // Late detection and trials depend on time, not only on ends.
        drain(host);
    }

    bool assign(std::size_t index)
    {
        auto &request = m_requests[index];
        auto &host = m_hosts[request.host];
        const auto assigned = host.router->assign(now(), request.run->triedTargets());
        if (!core::ok(assigned)) {
            return false;
        }
        const auto &assignment = core::value(assigned);
        const auto attempt = request.run->beginAttempt(assignment.target->id, now());
        m_summary.extraAttempts += attempt > 0 ? 1 : 0;
        ++(attempt > 0 ? m_repeats : m_firstTries);
        check(Invariant::RetryBudget,
              static_cast<double>(m_repeats) <= m_trace.service.retryRatio * static_cast<double>(m_firstTries) + 1e-6);
        ++m_summary.messages;
        const auto sent =
            std::make_shared<AttemptInFlight>(AttemptInFlight{index, attempt, assignment, now(), false, false});
        request.sent[attempt] = sent;
        m_time.schedule(delay(host, *assignment.target), [this, sent]() {
            reach(sent);
        });
        if (m_policy.hasHedging && attempt == 0 && host.router->latency().known()) {
            m_time.schedule(host.router->latency().lateThreshold() + HedgeSlack, [this, index]() {
                hedge(index);
            });
        }
        return true;
    }

    void hedge(std::size_t index)
    {
        auto &request = m_requests[index];
        const auto lateAfter = m_hosts[request.host].router->latency().lateThreshold();
        if (!request.sent.empty() && request.run->tryHedge(now(), lateAfter) && !assign(index)) {
            request.run->abandonRetry();
        }
    }

    /** The target hears of it after the way there and frees the slot. */
    void cancel(const std::shared_ptr<AttemptInFlight> &sent)
    {
        sent->cancelled = true;
        auto &host = m_hosts[m_requests[sent->request].host];
        ++m_summary.messages;
        host.router->release(
            sent->assignment, {routing::AttemptOutcome::Cancelled, now() - sent->start, std::nullopt}, now());
        m_time.schedule(delay(host, *sent->assignment.target), [this, sent]() {
            if (std::exchange(sent->runs, false)) {
                targetOf(sent->assignment.target->id).finish();
            }
        });
    }

    core::Duration delay(const Host &host, const targets::Target &target) const
    {
        return host.domain == target.domain ? m_trace.localDelay : m_trace.remoteDelay;
    }

    void reach(const std::shared_ptr<AttemptInFlight> &sent)
    {
        const auto &id = sent->assignment.target->id;
        auto &target = targetOf(id);
        const auto closed = m_closed.find(id);
        check(Invariant::NoNewWorkAfterBound,
              closed == m_closed.end() || sent->start <= closed->second + MaxPropagationDelay);
        const auto reception = target.receive(now());
        check(Invariant::ColdBound, reception != ReceiveResult::FellOver);
        auto &request = m_requests[sent->request];
        if (reception != ReceiveResult::Runs) {
            m_summary.shed += reception == ReceiveResult::Shed ? 1 : 0;
            answer(sent,
                   reception == ReceiveResult::Shed ? routing::AttemptOutcome::Shed : routing::AttemptOutcome::Failed);
            return;
        }
        sent->runs = true;
        ++request.timesRun;
        check(Invariant::AtMostOnce, request.arrival.idempotent || request.timesRun == 1);
        m_time.schedule(target.endOf(request.arrival.work, now()) - now(), [this, sent, &target]() {
            if (std::exchange(sent->runs, false)) {
                target.finish();
                answer(sent, routing::AttemptOutcome::Answered);
            }
        });
    }

    void answer(const std::shared_ptr<AttemptInFlight> &sent, routing::AttemptOutcome outcome)
    {
        const auto &target = targetOf(sent->assignment.target->id);
        const auto back = delay(m_hosts[m_requests[sent->request].host], target.target());
        m_time.schedule(back, [this, sent, outcome, load = target.reportedLoad()]() {
            if (!sent->cancelled) {
                end(*sent, outcome, load);
            }
        });
    }

    void end(const AttemptInFlight &sent, routing::AttemptOutcome outcome, unsigned load)
    {
        auto &request = m_requests[sent.request];
        auto &host = m_hosts[request.host];
        ++m_summary.messages;
        host.router->release(
            sent.assignment, {outcome, now() - sent.start, routing::LoadReport{load, 0, 0, 1, {}, true}}, now());
        requests::RequestOutcome known{RunState::Ran, std::nullopt};
        if (outcome != routing::AttemptOutcome::Answered) {
            known = {RunState::NotRun, core::Error{core::ErrorCode::TargetFailed, {}}};
        }
        auto step = request.run->endAttempt(sent.attempt, known, now());
        if (step.kind == NextActionKind::Retry && !assign(sent.request)) {
            step = request.run->abandonRetry();
        }
        if (step.kind == NextActionKind::Deliver) {
            ++m_summary.answered;
            m_summary.latencies.push_back(now() + request.relayDelay - request.start);
            for (const auto other : step.cancelled) {
                cancel(request.sent.at(other));
            }
        } else if (step.kind == NextActionKind::Refuse) {
            refuse(sent.request, step.outcome);
        }
        wake(host);
    }

    void refuse(std::size_t index, const requests::RequestOutcome &outcome)
    {
        ++m_summary.refused;
        check(Invariant::RefusedMeansNotRun, outcome.run != RunState::NotRun || m_requests[index].timesRun == 0);
    }

    void wake(Host &host)
    {
        host.queue->markReady(m_trace.service.name);
        drain(host);
    }

    void drain(Host &host)
    {
        for (const auto ticket : host.queue->removeExpired(now())) {
            refuse(host.waiting.at(ticket), {RunState::NotRun, {}});
            host.waiting.erase(ticket);
        }
        while (const auto turn = host.queue->dequeue(now())) {
            if (!assign(host.waiting.at(turn->ticket))) {
                host.queue->requeue(*turn);
                return;
            }
            host.waiting.erase(turn->ticket);
        }
    }

    FakeTarget &targetOf(const core::TargetId &id)
    {
        return m_targets[m_positions.at(id)];
    }

    void check(Invariant invariant, bool holds)
    {
        if (!holds) {
            ++m_summary.violations[invariant];
        }
    }

    const Trace &m_trace;
    const Policy m_policy;
    const core::RandomSource m_random;
    std::vector<FakeTarget> m_targets;
    std::map<core::TargetId, std::size_t> m_positions;
    std::vector<Host> m_hosts;
    std::vector<Request> m_requests;
    std::map<core::TargetId, core::TimePoint> m_closed;
    Scheduler m_time;
    std::size_t m_firstTries = 0;
    std::size_t m_repeats = 0;
    Summary m_summary;
};

} // namespace

core::Duration Summary::quantile(double share) const
{
    if (latencies.empty()) {
        return {};
    }
    const auto position = static_cast<std::size_t>(share * static_cast<double>(latencies.size()));
    return latencies[std::min(position, latencies.size() - 1)];
}

Summary run(const Trace &trace, const Policy &policy, std::uint64_t seed)
{
    return Replay(trace, policy, seed).run();
}

} // namespace pimentoshed::replay
