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

using requests::RunState;

/** The most attempts of one request, including the first. */
constexpr unsigned MaxAttempts = 3;
/** Period in which the hosts' permission to send to cold targets is renewed. */
constexpr core::Duration ConfirmPeriod = std::chrono::milliseconds(500);
constexpr core::Duration Permission = 2 * ConfirmPeriod;

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

    /** Gives every host the list of all hosts, and renews its permission until the trace ends. */
    void confirm()
    {
        std::vector<membership::Member> members;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            members.push_back(memberOf(m_trace, i));
        }
        for (auto &host : m_hosts) {
            host.coldLimiter->setHosts(members, now(), {now() + Permission, Permission + m_trace.service.deadline});
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
        m_requests.push_back({arrival, now(), {}, RunState::NotRun, 0});
        m_hosts[arrival.host].retryBudgets->earn(m_trace.service);
        accept(m_requests.size() - 1);
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
        setClosed(event.target, !targets::takesRequests(event.condition));
        for (auto &host : m_hosts) {
            m_scheduler.schedule(propagationDelay(), [this, &host, target = fake.target()]() {
                host.router->update(target);
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

    void accept(std::size_t index)
    {
        auto &host = hostOf(index);
        if (host.queue->waitingCount(m_trace.service.name) == 0 && assign(index)) {
            return;
        }
        if (!m_policy.hasQueues) {
            refuse(index);
            return;
        }
        const auto deadline = m_requests[index].start + m_trace.service.deadline;
        const auto admitted = host.queue->enqueue(m_trace.service.name, deadline, host.router->latency().mean(), now());
        if (!core::ok(admitted)) {
            refuse(index);
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
        auto &host = hostOf(index);
        const auto assigned = host.router->assign(now(), request.triedTargets);
        if (!core::ok(assigned)) {
            return false;
        }
        const auto &assignment = core::value(assigned);
        ++(request.triedTargets.empty() ? m_firstAttempts : m_summary.retries);
        check(Invariant::RetryBudget,
              static_cast<double>(m_summary.retries)
                  <= m_trace.service.retryRatio * static_cast<double>(m_firstAttempts) + 1e-6);
        request.triedTargets.push_back(assignment.target->id);
        ++m_summary.messages;
        m_scheduler.schedule(delay(host, *assignment.target), [this, sent = SentAttempt{index, assignment, now()}]() {
            arrive(sent);
        });
        return true;
    }

    core::Duration delay(const Host &host, const targets::Target &target) const
    {
        return host.domain == target.domain ? m_trace.localDelay : m_trace.remoteDelay;
    }

    /** Handles the arrival of an attempt at its target. */
    void arrive(const SentAttempt &sent)
    {
        const auto &id = sent.assignment.target->id;
        auto &target = targetOf(id);
        const auto closed = m_closedSince.find(id);
        check(Invariant::NoNewWorkAfterBound,
              closed == m_closedSince.end() || sent.start <= closed->second + MaxPropagationDelay);
        const auto result = target.receive(now());
        check(Invariant::ColdBound, result != ReceiveResult::ColdOverload);
        if (result != ReceiveResult::Accepted) {
            m_summary.shed += result == ReceiveResult::Shed ? 1 : 0;
            sendResponse(
                sent, result == ReceiveResult::Shed ? routing::AttemptOutcome::Shed : routing::AttemptOutcome::Failed);
            return;
        }
        auto &request = m_requests[sent.request];
        ++request.timesRun;
        check(Invariant::AtMostOnce, request.arrival.idempotent || request.timesRun == 1);
        m_scheduler.schedule(target.completionTime(request.arrival.serviceTime, now()) - now(),
                             [this, sent, &target]() {
                                 target.finish();
                                 sendResponse(sent, routing::AttemptOutcome::Answered);
                             });
    }

    /** Sends the result of an attempt back to its host, together with the load that the target reports. */
    void sendResponse(const SentAttempt &sent, routing::AttemptOutcome outcome)
    {
        const auto &target = targetOf(sent.assignment.target->id);
        m_scheduler.schedule(delay(hostOf(sent.request), target.target()),
                             [this, sent, outcome, load = target.reportedLoad()]() {
                                 endAttempt(sent, outcome, load);
                             });
    }

    /** Handles the end of an attempt at its host. */
    void endAttempt(const SentAttempt &sent, routing::AttemptOutcome outcome, unsigned load)
    {
        auto &request = m_requests[sent.request];
        auto &host = hostOf(sent.request);
        ++m_summary.messages;
        host.router->release(
            sent.assignment,
            {outcome, now() - sent.start, routing::TargetSignals{routing::LoadReport{load, 0, 0, 1, {}, true}}},
            now());
        const bool isAnswered = outcome == routing::AttemptOutcome::Answered;
        request.runState = requests::combineRunStates(request.runState, isAnswered ? RunState::Ran : RunState::NotRun);
        if (isAnswered) {
            ++m_summary.answered;
            m_summary.latencies.push_back(now() - request.start);
        } else if (!retry(sent.request)) {
            refuse(sent.request);
        }
        serveQueue(host);
    }

    /** Makes another attempt if it is allowed and a target has capacity. Returns whether it did. */
    bool retry(std::size_t index)
    {
        const auto &request = m_requests[index];
        const requests::FailedAttempt failed{m_trace.service,
                                             request.arrival.idempotent,
                                             request.runState,
                                             static_cast<unsigned>(request.triedTargets.size()),
                                             MaxAttempts,
                                             request.start + m_trace.service.deadline - now()};
        return requests::canRetry(failed) && hostOf(index).retryBudgets->spend(m_trace.service) && assign(index);
    }

    void refuse(std::size_t index)
    {
        const auto &request = m_requests[index];
        ++m_summary.refused;
        check(Invariant::RefusedMeansNotRun, request.runState != RunState::NotRun || request.timesRun == 0);
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
            refuse(host.queued.at(ticket));
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

    Host &hostOf(std::size_t request)
    {
        return m_hosts[m_requests[request].arrival.host];
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
