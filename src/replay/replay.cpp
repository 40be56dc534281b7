#include "replay/replay.h"

#include "admission/queue.h"
#include "replay/faketarget.h"
#include "requests/retry.h"
#include "routing/coldtargets.h"
#include "routing/servicerouter.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace pimentoshed::replay
{

namespace
{

using requests::RunState;
using requests::StepKind;

constexpr std::size_t HostLimit = 10000;
constexpr core::Duration ConfirmPeriod = std::chrono::milliseconds(500);

/** The decisions of one entry host. */
struct Host {
    core::FailureDomain domain;
    std::unique_ptr<routing::ColdTargets> cold;
    std::unique_ptr<routing::ServiceRouter> router;
    std::unique_ptr<admission::Queue> queue;
    std::unique_ptr<requests::RetryBudget> budget;
    std::set<core::FailureDomain> out;
    std::map<admission::Ticket, std::size_t> waiting;
};

struct Request {
    RequestArrives arrival;
    core::TimePoint start{};
    core::Duration relayDelay{};
    std::size_t host = 0;
    std::unique_ptr<requests::RequestRun> run;
    unsigned timesRun = 0;
};

/** One attempt under way. */
struct Sent {
    std::size_t request = 0;
    requests::AttemptIndex attempt = 0;
    routing::Assignment assignment;
    core::TimePoint start{};
};

class Replay
{
public:
    Replay(const Trace &trace, const Policy &policy, std::uint64_t seed)
        : m_trace(trace)
        , m_policy(policy)
        , m_random(core::seededRandom(seed))
        , m_configuration(configurationOf(trace))
    {
        for (const auto &target : trace.targets) {
            m_positions[target.id] = m_targets.size();
            m_targets.emplace_back(target, trace.service.slots, trace.service.coldSlots);
        }
        for (std::size_t i = 0; i < trace.hosts.size(); ++i) {
            addHost(i);
        }
        learnSpells();
    }

    Summary run()
    {
        confirm();
        for (const auto &event : m_trace.events) {
            advance(event.at);
            std::visit(
                [this](const auto &what) {
                    handle(what);
                },
                event.what);
        }
        advance(core::TimePoint::max());
        std::sort(m_summary.latencies.begin(), m_summary.latencies.end());
        return std::move(m_summary);
    }

private:
    struct Later {
        core::TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Later &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static std::shared_ptr<const configuration::Configuration> configurationOf(const Trace &trace)
    {
        configuration::Configuration configuration;
        configuration.institutions.push_back({trace.service.institution, 1});
        configuration.services.push_back(trace.service);
        return std::make_shared<const configuration::Configuration>(configuration);
    }

    void addHost(std::size_t index)
    {
        Host host;
        host.domain = m_trace.hosts[index];
        host.cold = std::make_unique<routing::ColdTargets>(hostId(index), 1);
        host.cold->configure(m_configuration);
        host.queue = std::make_unique<admission::Queue>(HostLimit);
        host.queue->configure(*m_configuration);
        host.budget = std::make_unique<requests::RetryBudget>(m_trace.service.retryRatio);
        auto *cold = host.cold.get();
        const routing::RouterHooks hooks{
            routing::makePicker(m_policy.picker),
            [cold](const auto &target, core::TimePoint now) {
                return cold->limit(target, now);
            },
            m_random,
            [cold](const auto &target, const auto &end, core::Duration lateAfter, core::TimePoint now) {
                cold->finish(target, end, lateAfter, now);
            },
            m_policy.suspects};
        host.router = std::make_unique<routing::ServiceRouter>(m_trace.service, host.domain, hooks);
        m_hosts.push_back(std::move(host));
        for (const auto &target : m_trace.targets) {
            tell(m_hosts.back(), target);
        }
    }

    static core::HostId hostId(std::size_t index)
    {
        return core::HostId("entry-" + std::to_string(index));
    }

    void tell(Host &host, const targets::Target &target) const
    {
        if (m_policy.placement == Placement::Shared || target.domain == host.domain) {
            host.router->update(target);
        }
    }

    void learnSpells()
    {
        for (const auto &event : m_trace.events) {
            if (const auto *straggle = std::get_if<TargetStraggles>(&event.what)) {
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
            host.cold->confirm(m_now, m_now);
            host.cold->learn(view);
            host.cold->settle(view.number);
        }
        const auto end = m_trace.events.empty() ? m_now : m_trace.events.back().at;
        if (m_now < end) {
            later(ConfirmPeriod, [this]() {
                confirm();
            });
        }
    }

    void advance(core::TimePoint until)
    {
        while (!m_later.empty() && m_later.top().at <= until) {
            const auto next = m_later.top();
            m_later.pop();
            m_now = next.at;
            next.action();
        }
        if (until != core::TimePoint::max()) {
            m_now = until;
        }
    }

    void later(core::Duration delay, std::function<void()> action)
    {
        m_later.push({m_now + delay, m_order++, std::move(action)});
    }

    void handle(const RequestArrives &arrival)
    {
        ++m_summary.requests;
        const auto index = m_requests.size();
        Request request;
        request.arrival = arrival;
        request.start = m_now;
        request.host = arrival.host;
        if (m_policy.placement == Placement::Owned) {
            request.host = ownerOf(m_hosts[arrival.host].domain);
            request.relayDelay = request.host == arrival.host ? core::Duration{} : m_trace.nearDelay;
            m_summary.messages += request.host == arrival.host ? 0 : 2;
        }
        const auto deadline = m_now + m_trace.service.deadline;
        request.run = std::make_unique<requests::RequestRun>(
            requests::RequestTerms{arrival.idempotent, true, deadline, {}}, *m_hosts[request.host].budget);
        const auto delay = request.relayDelay;
        m_requests.push_back(std::move(request));
        later(delay, [this, index]() {
            accept(index);
        });
    }

    void handle(const TargetStraggles &)
    {
    }
    void handle(const TargetFailsFast &event)
    {
        targetOf(event.target).failUntil(m_now + event.length);
    }
    void handle(const TargetMisreports &event)
    {
        targetOf(event.target).misreport(event.load);
    }
    void handle(const TargetChanges &event)
    {
        auto &fake = targetOf(event.target);
        fake.change(event.condition);
        const bool serves = event.condition == targets::Condition::Warm || event.condition == targets::Condition::Cold;
        setClosed(event.target, !serves);
        for (auto &host : m_hosts) {
            later(wordDelay(), [this, &host, target = fake.target()]() {
                tell(host, target);
                wake(host);
            });
        }
    }
    void handle(const DomainMoves &event)
    {
        for (const auto &target : m_targets) {
            if (target.target().domain == event.domain) {
                setClosed(target.target().id, event.out);
            }
        }
        for (auto &host : m_hosts) {
            later(wordDelay(), [this, &host, event]() {
                event.out ? void(host.out.insert(event.domain)) : void(host.out.erase(event.domain));
                const std::vector<core::FailureDomain> out(host.out.begin(), host.out.end());
                host.router->setOutDomains(out);
                wake(host);
            });
        }
    }

    void setClosed(const core::TargetId &target, bool closed)
    {
        if (closed) {
            m_closed[target] = m_now;
        } else {
            m_closed.erase(target);
        }
    }

    core::Duration wordDelay() const
    {
        return core::Duration(static_cast<core::Duration::rep>(core::unit(m_random) * WordBound.count()));
    }

    std::size_t ownerOf(const core::FailureDomain &domain) const
    {
        const auto found = std::find(m_trace.hosts.begin(), m_trace.hosts.end(), domain);
        return static_cast<std::size_t>(found - m_trace.hosts.begin());
    }

    void accept(std::size_t index)
    {
        auto &host = m_hosts[m_requests[index].host];
        if (host.queue->waiting(m_trace.service.name) == 0 && assign(index)) {
            return;
        }
        if (!m_policy.queues) {
            refuse(index, {RunState::NotRun, {}});
            return;
        }
        const auto deadline = m_requests[index].start + m_trace.service.deadline;
        const auto admitted = host.queue->offer(m_trace.service.name, deadline, host.router->latency().mean(), m_now);
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
        const auto assigned = host.router->assign(m_now, request.run->tried());
        if (!core::ok(assigned)) {
            return false;
        }
        const auto &assignment = core::value(assigned);
        const auto attempt = request.run->begin(assignment.target->id, m_now);
        m_summary.repeats += attempt > 0 ? 1 : 0;
        ++(attempt > 0 ? m_repeats : m_firstTries);
        check(Invariant::RetryBudget,
              static_cast<double>(m_repeats) <= m_trace.service.retryRatio * static_cast<double>(m_firstTries) + 1e-6);
        ++m_summary.messages;
        later(delay(host, *assignment.target), [this, sent = Sent{index, attempt, assignment, m_now}]() {
            reach(sent);
        });
        return true;
    }

    core::Duration delay(const Host &host, const targets::Target &target) const
    {
        return host.domain == target.domain ? m_trace.nearDelay : m_trace.farDelay;
    }

    void reach(const Sent &sent)
    {
        const auto &id = sent.assignment.target->id;
        auto &target = targetOf(id);
        const auto closed = m_closed.find(id);
        check(Invariant::NoNewWorkAfterBound, closed == m_closed.end() || sent.start <= closed->second + WordBound);
        const auto reception = target.receive(m_now);
        check(Invariant::ColdBound, reception != Reception::FellOver);
        auto &request = m_requests[sent.request];
        const auto back = delay(m_hosts[request.host], target.target());
        if (reception != Reception::Runs) {
            m_summary.shed += reception == Reception::Shed ? 1 : 0;
            const auto outcome =
                reception == Reception::Shed ? routing::AttemptOutcome::Shed : routing::AttemptOutcome::Failed;
            later(back, [this, sent, outcome, load = target.reportedLoad()]() {
                end(sent, outcome, load);
            });
            return;
        }
        ++request.timesRun;
        check(Invariant::AtMostOnce, request.arrival.idempotent || request.timesRun == 1);
        later(target.endOf(request.arrival.work, m_now) - m_now, [this, sent, &target, back]() {
            target.finish();
            later(back, [this, sent, load = target.reportedLoad()]() {
                end(sent, routing::AttemptOutcome::Answered, load);
            });
        });
    }

    void end(const Sent &sent, routing::AttemptOutcome outcome, unsigned load)
    {
        auto &request = m_requests[sent.request];
        auto &host = m_hosts[request.host];
        ++m_summary.messages;
        host.router->release(sent.assignment, {outcome, m_now - sent.start, load}, m_now);
        requests::Outcome known{RunState::Ran, std::nullopt};
        if (outcome != routing::AttemptOutcome::Answered) {
            known = {RunState::NotRun, core::Error{core::ErrorCode::TargetFailed, {}}};
        }
        auto step = request.run->end(sent.attempt, known, m_now);
        if (step.kind == StepKind::Retry && !assign(sent.request)) {
            step = request.run->abandon();
        }
        if (step.kind == StepKind::Deliver) {
            ++m_summary.answered;
            m_summary.latencies.push_back(m_now + request.relayDelay - request.start);
        } else if (step.kind == StepKind::Refuse) {
            refuse(sent.request, step.outcome);
        }
        wake(host);
    }

    void refuse(std::size_t index, const requests::Outcome &outcome)
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
        for (const auto ticket : host.queue->expire(m_now)) {
            refuse(host.waiting.at(ticket), {RunState::NotRun, {}});
            host.waiting.erase(ticket);
        }
        while (const auto turn = host.queue->next(m_now)) {
            if (!assign(host.waiting.at(turn->ticket))) {
                host.queue->putBack(*turn);
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
    const std::shared_ptr<const configuration::Configuration> m_configuration;
    std::vector<FakeTarget> m_targets;
    std::map<core::TargetId, std::size_t> m_positions;
    std::vector<Host> m_hosts;
    std::vector<Request> m_requests;
    std::map<core::TargetId, core::TimePoint> m_closed;
    std::priority_queue<Later, std::vector<Later>, std::greater<>> m_later;
    std::uint64_t m_order = 0;
    core::TimePoint m_now{};
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
