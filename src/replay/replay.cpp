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

/** Delay after which a late attempt is checked for a hedge, so that it already counts as late. */
constexpr core::Duration HedgeSlack = std::chrono::milliseconds(1);
/** Period in which the hosts' permission to send to cold targets is renewed. */
constexpr core::Duration ConfirmPeriod = std::chrono::milliseconds(500);

/** One run of a trace. Requests and attempts are kept until the end and referred to by index. Not thread-safe. */
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
        addSlowPeriods();
    }

    Summary run()
    {
        confirm();
        for (const auto &event : m_trace.events) {
            m_scheduler.advance(event.at);
            std::visit(
                [this](const auto &action) {
                    handle(action);
                },
                event.action);
        }
        m_scheduler.finish();
        std::sort(m_summary.latencies.begin(), m_summary.latencies.end());
        return std::move(m_summary);
    }

private:
    core::TimePoint now() const
    {
        return m_scheduler.now();
    }

    /** Sets all slow periods of the trace in advance, because the end of a request depends on later ones. */
    void addSlowPeriods()
    {
        for (const auto &event : m_trace.events) {
            if (const auto *slowdown = std::get_if<TargetSlowdown>(&event.action)) {
                targetOf(slowdown->target).addSlowPeriod(event.at, slowdown->length, slowdown->slowdown);
            }
        }
    }

    /** Gives every host the same settled ownership view, and renews its permission until the trace ends. */
    void confirm()
    {
        membership::OwnershipView view{1, {}};
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            view.members.push_back({hostId(i), 1, m_hosts[i].domain});
        }
        for (auto &host : m_hosts) {
            host.coldLimiter->confirmPermission(now(), now());
            host.coldLimiter->updateView(view);
            host.coldLimiter->settleView(view.number);
        }
        const auto end = m_trace.events.empty() ? now() : m_trace.events.back().at;
        if (now() < end) {
            m_scheduler.schedule(ConfirmPeriod, [this]() {
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
        request.attempts = std::make_unique<requests::RequestAttempts>(
            requests::RequestProperties{arrival.idempotent, true, deadline, {}}, *m_hosts[request.host].budget);
        const auto delay = request.relayDelay;
        m_requests.push_back(std::move(request));
        m_scheduler.schedule(delay, [this, index]() {
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
        targetOf(event.target).setReportedLoad(event.load);
    }
    void handle(const TargetConditionChange &event)
    {
        auto &fake = targetOf(event.target);
        fake.setCondition(event.condition);
        const bool serves = event.condition == targets::Condition::Warm || event.condition == targets::Condition::Cold;
        setClosed(event.target, !serves);
        for (auto &host : m_hosts) {
            m_scheduler.schedule(propagationDelay(), [this, &host, target = fake.target()]() {
                updateTarget(host, target, m_policy);
                serveQueue(host);
            });
        }
    }
    void handle(const DomainChange &event)
    {
        for (const auto &target : m_targets) {
            if (target.target().domain == event.domain) {
                setClosed(target.target().id, event.isOut);
            }
        }
        for (auto &host : m_hosts) {
            m_scheduler.schedule(propagationDelay(), [this, &host, event]() {
                event.isOut ? void(host.outDomains.insert(event.domain)) : void(host.outDomains.erase(event.domain));
                const std::vector<core::FailureDomain> out(host.outDomains.begin(), host.outDomains.end());
                host.router->setDomainsOutOfService(out);
                serveQueue(host);
            });
        }
    }

    void setClosed(const core::TargetId &target, bool closed)
    {
        if (closed) {
            m_closedSince[target] = now();
        } else {
            m_closedSince.erase(target);
        }
    }

    core::Duration propagationDelay() const
    {
        return core::Duration(
            static_cast<core::Duration::rep>(core::randomFraction(m_random) * MaxPropagationDelay.count()));
    }

    /** Returns the index of the first host in @p domain, to which the others relay under Placement::Owned. */
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
        host.queued[core::value(admitted).ticket] = index;
        // Capacity may have become free since the last request ended: lateness and probation requests depend on time.
        drain(host);
    }

    /** Starts an attempt if a target has capacity. Returns whether it did. */
    bool assign(std::size_t index)
    {
        auto &request = m_requests[index];
        auto &host = m_hosts[request.host];
        const auto assigned = host.router->assign(now(), request.attempts->triedTargets());
        if (!core::ok(assigned)) {
            return false;
        }
        const auto &assignment = core::value(assigned);
        const auto attempt = request.attempts->beginAttempt(assignment.target->id, now());
        m_summary.extraAttempts += attempt > 0 ? 1 : 0;
        ++(attempt > 0 ? m_extraAttempts : m_firstAttempts);
        check(Invariant::RetryBudget,
              static_cast<double>(m_extraAttempts)
                  <= m_trace.service.retryRatio * static_cast<double>(m_firstAttempts) + 1e-6);
        ++m_summary.messages;
        const auto sent = std::make_shared<SentAttempt>(SentAttempt{index, attempt, assignment, now(), false, false});
        request.sentAttempts[attempt] = sent;
        m_scheduler.schedule(delay(host, *assignment.target), [this, sent]() {
            arrive(sent);
        });
        if (m_policy.hasHedging && attempt == 0 && host.router->latency().known()) {
            m_scheduler.schedule(host.router->latency().lateThreshold() + HedgeSlack, [this, index]() {
                hedge(index);
            });
        }
        return true;
    }

    void hedge(std::size_t index)
    {
        auto &request = m_requests[index];
        const auto lateThreshold = m_hosts[request.host].router->latency().lateThreshold();
        if (!request.sentAttempts.empty() && request.attempts->tryHedge(now(), lateThreshold) && !assign(index)) {
            request.attempts->abandonRetry();
        }
    }

    /** Cancels an attempt. The target frees the slot after the one-way delay. */
    void cancel(const std::shared_ptr<SentAttempt> &sent)
    {
        sent->isCancelled = true;
        auto &host = m_hosts[m_requests[sent->request].host];
        ++m_summary.messages;
        host.router->release(
            sent->assignment, {routing::AttemptOutcome::Cancelled, now() - sent->start, std::nullopt}, now());
        m_scheduler.schedule(delay(host, *sent->assignment.target), [this, sent]() {
            if (std::exchange(sent->isRunning, false)) {
                targetOf(sent->assignment.target->id).finish();
            }
        });
    }

    core::Duration delay(const Host &host, const targets::Target &target) const
    {
        return host.domain == target.domain ? m_trace.localDelay : m_trace.remoteDelay;
    }

    /** Handles the arrival of an attempt at its target. */
    void arrive(const std::shared_ptr<SentAttempt> &sent)
    {
        const auto &id = sent->assignment.target->id;
        auto &target = targetOf(id);
        const auto closed = m_closedSince.find(id);
        check(Invariant::NoNewWorkAfterBound,
              closed == m_closedSince.end() || sent->start <= closed->second + MaxPropagationDelay);
        const auto result = target.receive(now());
        check(Invariant::ColdBound, result != ReceiveResult::ColdOverload);
        auto &request = m_requests[sent->request];
        if (result != ReceiveResult::Accepted) {
            m_summary.shed += result == ReceiveResult::Shed ? 1 : 0;
            sendResponse(
                sent, result == ReceiveResult::Shed ? routing::AttemptOutcome::Shed : routing::AttemptOutcome::Failed);
            return;
        }
        sent->isRunning = true;
        ++request.timesRun;
        check(Invariant::AtMostOnce, request.arrival.idempotent || request.timesRun == 1);
        m_scheduler.schedule(target.completionTime(request.arrival.serviceTime, now()) - now(),
                             [this, sent, &target]() {
                                 if (std::exchange(sent->isRunning, false)) {
                                     target.finish();
                                     sendResponse(sent, routing::AttemptOutcome::Answered);
                                 }
                             });
    }

    /** Sends the result of an attempt back to its host, together with the load that the target reports. */
    void sendResponse(const std::shared_ptr<SentAttempt> &sent, routing::AttemptOutcome outcome)
    {
        const auto &target = targetOf(sent->assignment.target->id);
        const auto responseDelay = delay(m_hosts[m_requests[sent->request].host], target.target());
        m_scheduler.schedule(responseDelay, [this, sent, outcome, load = target.reportedLoad()]() {
            if (!sent->isCancelled) {
                endAttempt(*sent, outcome, load);
            }
        });
    }

    /** Handles the end of an attempt at its host. */
    void endAttempt(const SentAttempt &sent, routing::AttemptOutcome outcome, unsigned load)
    {
        auto &request = m_requests[sent.request];
        auto &host = m_hosts[request.host];
        ++m_summary.messages;
        host.router->release(
            sent.assignment, {outcome, now() - sent.start, routing::LoadReport{load, 0, 0, 1, {}, true}}, now());
        requests::RequestOutcome result{RunState::Ran, std::nullopt};
        if (outcome != routing::AttemptOutcome::Answered) {
            result = {RunState::NotRun, core::Error{core::ErrorCode::TargetFailed, {}}};
        }
        auto step = request.attempts->endAttempt(sent.attempt, result, now());
        if (step.kind == NextActionKind::Retry && !assign(sent.request)) {
            step = request.attempts->abandonRetry();
        }
        if (step.kind == NextActionKind::Deliver) {
            ++m_summary.answered;
            m_summary.latencies.push_back(now() + request.relayDelay - request.start);
            for (const auto other : step.cancelled) {
                cancel(request.sentAttempts.at(other));
            }
        } else if (step.kind == NextActionKind::Refuse) {
            refuse(sent.request, step.outcome);
        }
        serveQueue(host);
    }

    void refuse(std::size_t index, const requests::RequestOutcome &outcome)
    {
        ++m_summary.refused;
        check(Invariant::RefusedMeansNotRun, outcome.run != RunState::NotRun || m_requests[index].timesRun == 0);
    }

    void serveQueue(Host &host)
    {
        host.queue->markReady(m_trace.service.name);
        drain(host);
    }

    /** Refuses queued requests that can't meet their deadline, and starts others while targets have capacity. */
    void drain(Host &host)
    {
        for (const auto ticket : host.queue->removeExpired(now())) {
            refuse(host.queued.at(ticket), {RunState::NotRun, {}});
            host.queued.erase(ticket);
        }
        while (const auto next = host.queue->dequeue(now())) {
            if (!assign(host.queued.at(next->ticket))) {
                host.queue->requeue(*next);
                return;
            }
            host.queued.erase(next->ticket);
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
    /** Since when targets get no new requests, because they are leaving or their domain is out of service. */
    std::map<core::TargetId, core::TimePoint> m_closedSince;
    Scheduler m_scheduler;
    std::size_t m_firstAttempts = 0;
    std::size_t m_extraAttempts = 0;
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
