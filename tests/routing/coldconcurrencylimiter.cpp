#include "routing/coldconcurrencylimiter.h"

#include "fixture.h"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace pimentoshed;
using namespace pimentoshed::routing::test;
using namespace std::chrono_literals;
using membership::Member;
using routing::ColdConcurrencyLimiter;
using targets::Condition;

namespace
{

constexpr unsigned HostCount = 4;
constexpr unsigned TargetCount = 6;
constexpr unsigned ColdSlots = 2;
/** Maximum number of messages of one host in transit at once. */
constexpr std::size_t MaxInTransit = 3;
constexpr core::Duration Deadline = 400ms;
constexpr core::Duration Permission = 1s;

std::shared_ptr<const configuration::Configuration> makeConfiguration()
{
    configuration::Configuration configuration;
    auto service = makeService(6);
    service.coldSlots = ColdSlots;
    service.deadline = Deadline;
    service.warmUp = 10s;
    configuration.services.push_back(service);
    configuration.limits.permission = Permission;
    return std::make_shared<const configuration::Configuration>(configuration);
}

/** One process of a host: its limiter, and its messages in transit. */
struct Host {
    struct Response {
        membership::OwnershipView view;
        std::optional<std::uint64_t> settled;
        core::TimePoint sentAt;
    };

    explicit Host(const Member &self, const std::shared_ptr<const configuration::Configuration> &configuration)
        : member(self)
        , limiter(std::make_unique<ColdConcurrencyLimiter>(self.id, self.incarnation))
    {
        limiter->configure(configuration);
    }

    Member member;
    core::TimePoint frozenUntil{};
    std::unique_ptr<ColdConcurrencyLimiter> limiter;
    std::deque<std::pair<std::uint64_t, core::TimePoint>> requests;
    std::deque<Response> responses;
    std::vector<unsigned> inFlight = std::vector<unsigned>(TargetCount);
};

/** Simulates several hosts and a coordinator. Each step is one event; random steps give random interleavings. */
class Simulation
{
public:
    Simulation()
        : m_configuration(makeConfiguration())
        , m_coordinator({1, {}}, {}, Start, Permission)
    {
        for (unsigned i = 0; i < HostCount; ++i) {
            m_hosts.emplace_back(member(i), m_configuration);
        }
        for (unsigned i = 0; i < TargetCount; ++i) {
            m_targets.push_back(makeTarget("t" + std::to_string(i), "ravne", Condition::Cold));
        }
    }

    void step(unsigned kind, unsigned index)
    {
        auto &host = m_hosts[index % HostCount];
        if (kind != 3 && host.frozenUntil > m_now) {
            return;
        }
        switch (kind) {
        case 0:
            if (host.requests.size() + host.responses.size() < MaxInTransit) {
                host.requests.emplace_back(host.limiter->acknowledgedView(), m_now);
            }
            break;
        case 1:
            handleRequest(host);
            break;
        case 2:
            handleResponse(host);
            break;
        case 3:
            m_now += 10ms * (index % 10);
            endRequests();
            break;
        case 4:
            propose(index);
            break;
        case 5:
            restart(host);
            break;
        case 7:
            host.frozenUntil = m_now + Permission + 10ms * (index % 100);
            break;
        default:
            send(host, index / HostCount);
            break;
        }
    }

    unsigned sentCount() const
    {
        return m_sentCount;
    }
    bool isOverLimit() const
    {
        return m_isOverLimit;
    }
    bool hasTwoOwners() const
    {
        return m_hasTwoOwners;
    }

private:
    struct Request {
        unsigned host = 0;
        std::uint64_t incarnation = 0;
        unsigned target = 0;
        core::TimePoint end;
    };

    Member member(unsigned index, std::uint64_t incarnation = 1) const
    {
        return {core::HostId("h" + std::to_string(index)), incarnation, core::FailureDomain("ravne")};
    }
    void handleRequest(Host &host)
    {
        if (host.requests.empty()) {
            return;
        }
        const auto [acknowledged, sentAt] = host.requests.front();
        host.requests.pop_front();
        m_coordinator.recordPoll(host.member, acknowledged, m_now);
        host.responses.push_back({m_coordinator.view(), m_coordinator.settled(m_now), sentAt});
    }
    void handleResponse(Host &host)
    {
        if (host.responses.empty()) {
            return;
        }
        const auto response = host.responses.front();
        host.responses.pop_front();
        host.limiter->confirmPermission(response.sentAt, m_now);
        host.limiter->updateView(response.view);
        if (response.settled) {
            host.limiter->settleView(*response.settled);
        }
    }
    void propose(unsigned bits)
    {
        std::vector<Member> members;
        for (unsigned i = 0; i < HostCount; ++i) {
            if (((bits >> i) & 1U) != 0) {
                members.push_back(m_hosts[i].member);
            }
        }
        m_coordinator.propose(members);
    }
    void restart(Host &host)
    {
        auto next = host.member;
        ++next.incarnation;
        host = Host(next, m_configuration);
    }
    void endRequests()
    {
        std::erase_if(m_running, [this](const Request &request) {
            if (request.end > m_now) {
                return false;
            }
            auto &host = m_hosts[request.host];
            if (host.member.incarnation == request.incarnation) {
                --host.inFlight[request.target];
            }
            return true;
        });
    }
    void send(Host &host, unsigned index)
    {
        const unsigned target = index % TargetCount;
        checkOwners(target);
        if (host.inFlight[target] >= host.limiter->limit(m_targets[target], m_now)) {
            return;
        }
        ++host.inFlight[target];
        ++m_sentCount;
        const auto position = static_cast<unsigned>(&host - m_hosts.data());
        m_running.push_back({position, host.member.incarnation, target, m_now + Deadline});
        const auto count = std::count_if(m_running.begin(), m_running.end(), [target](const auto &request) {
            return request.target == target;
        });
        m_isOverLimit = m_isOverLimit || count > ColdSlots;
    }
    void checkOwners(unsigned target)
    {
        const auto owners = std::count_if(m_hosts.begin(), m_hosts.end(), [&](auto &host) {
            return host.limiter->limit(m_targets[target], m_now) > 0;
        });
        m_hasTwoOwners = m_hasTwoOwners || owners > 1;
    }

    std::shared_ptr<const configuration::Configuration> m_configuration;
    membership::OwnershipCoordinator m_coordinator;
    std::vector<Host> m_hosts;
    std::vector<targets::Target> m_targets;
    std::vector<Request> m_running;
    core::TimePoint m_now = Start;
    unsigned m_sentCount = 0;
    bool m_isOverLimit = false;
    bool m_hasTwoOwners = false;
};

/** Kinds of steps; each kind is listed as often as its relative frequency. */
constexpr std::array<unsigned, 25> Kinds{0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 6, 6, 6, 6, 6, 6, 6, 6, 4, 5, 7};

Simulation run(std::uint64_t seed)
{
    Simulation simulation;
    const auto random = core::seededRandom(seed);
    for (unsigned i = 0; i < 3000; ++i) {
        const auto kind = Kinds[core::randomBelow(random, Kinds.size())];
        // Member changes, restarts and freezes are made rarer, so that views can settle between them.
        const bool rare = kind == 4 || kind == 5 || kind == 7;
        if (!rare || core::randomBelow(random, 12) == 0) {
            simulation.step(kind, static_cast<unsigned>(random() % 1024));
        }
    }
    return simulation;
}

constexpr std::uint64_t RecordedSeeds = 400;

} // namespace

TEST_CASE("under random interleavings, a cold target never has two owners or more requests than its cold slots")
{
    const auto isPassing = rc::check([](const std::uint64_t seed) {
        const auto simulation = run(seed);
        RC_ASSERT(!simulation.hasTwoOwners());
        RC_ASSERT(!simulation.isOverLimit());
    });
    CHECK(isPassing);
}

TEST_CASE("with recorded seeds, a cold target stays within its limit while hosts freeze, restart and change")
{
    unsigned sentCount = 0;
    for (std::uint64_t seed = 1; seed <= RecordedSeeds; ++seed) {
        const auto simulation = run(seed);
        INFO("seed " << seed);
        CHECK_FALSE(simulation.hasTwoOwners());
        CHECK_FALSE(simulation.isOverLimit());
        sentCount += simulation.sentCount();
    }
    // Guards against a simulation that sends no requests, in which the checks above would always pass.
    CHECK(sentCount > 10 * RecordedSeeds);
}

TEST_CASE("a host without permission or without a settled view has a limit of 0 for a cold target")
{
    ColdConcurrencyLimiter limiter(core::HostId("h0"), 1);
    const auto target = makeTarget("t0", "ravne", Condition::Cold);
    limiter.configure(makeConfiguration());
    limiter.updateView({1, {{core::HostId("h0"), 1, core::FailureDomain("ravne")}}});
    limiter.confirmPermission(Start, Start);
    CHECK(limiter.limit(target, Start) == 0);
    limiter.settleView(1);
    CHECK(limiter.limit(target, Start) == 0);
    CHECK(limiter.limit(target, Start + Deadline) == ColdSlots);
    CHECK(limiter.limit(target, Start + Permission) == 0);
    limiter.confirmPermission(Start + Permission, Start + Permission);
    CHECK(limiter.limit(target, Start + Permission) == 0);
}

TEST_CASE("a target that turns cold again counts as full of earlier requests")
{
    ColdConcurrencyLimiter limiter(core::HostId("h0"), 1);
    limiter.configure(makeConfiguration());
    limiter.updateView({1, {{core::HostId("h0"), 1, core::FailureDomain("ravne")}}});
    limiter.confirmPermission(Start, Start);
    limiter.settleView(1);
    limiter.limit(makeTarget("t0", "ravne", Condition::Cold, 0), Start);
    CHECK(limiter.limit(makeTarget("t0", "ravne", Condition::Cold, 2), Start + Deadline) == 0);
}

TEST_CASE("a warm target whose probation requests keep failing counts as cold")
{
    unsigned coldLimit = 0;
    const auto limit = [&coldLimit](const targets::Target &, core::TimePoint) {
        return coldLimit;
    };
    auto service = makeService();
    service.warmUp = 10s;
    routing::ServiceRouter router(
        service,
        core::FailureDomain("ravne"),
        {routing::makePicker(routing::PickerKind::LeastExpectedTime), limit, core::seededRandom(3), nullptr});
    router.update(makeTarget("t0"));
    router.update(makeTarget("t1"));
    core::TimePoint now = Start;
    const auto serve = [&](core::Duration span) {
        unsigned badCount = 0;
        for (const auto end = now + span; now < end; now += 1ms) {
            const auto assignment = core::value(router.assign(now));
            const bool isBad = assignment.target->id == core::TargetId("t0");
            badCount += isBad ? 1 : 0;
            const auto outcome = isBad ? routing::AttemptOutcome::Shed : routing::AttemptOutcome::Answered;
            router.release(assignment, {outcome, 5ms, {}}, now);
        }
        return badCount;
    };
    CHECK(serve(2s) <= 6);
    CHECK(router.status(core::TargetId("t0")).isAssumedCold);
    CHECK(serve(5s) == 0);
    coldLimit = 1;
    CHECK(serve(5s) > 0);
}
