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
/** Messages of one host that may be under way at once. */
constexpr std::size_t MaxUnderWay = 3;
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

/** A host as a process: its decisions, and messages under way to it. */
struct Host {
    struct Answer {
        membership::OwnershipView view;
        std::optional<std::uint64_t> settled;
        core::TimePoint asked;
    };

    explicit Host(const Member &self, const std::shared_ptr<const configuration::Configuration> &configuration)
        : member(self)
        , cold(std::make_unique<ColdConcurrencyLimiter>(self.id, self.incarnation))
    {
        cold->configure(configuration);
    }

    Member member;
    core::TimePoint frozenUntil{};
    std::unique_ptr<ColdConcurrencyLimiter> cold;
    std::deque<std::pair<std::uint64_t, core::TimePoint>> questions;
    std::deque<Answer> answers;
    std::vector<unsigned> inFlight = std::vector<unsigned>(TargetCount);
};

/** Several hosts and a coordinator under random interleavings: each step is one event. */
class World
{
public:
    World()
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
            if (host.questions.size() + host.answers.size() < MaxUnderWay) {
                host.questions.emplace_back(host.cold->acknowledgedView(), m_now);
            }
            break;
        case 1:
            hear(host);
            break;
        case 2:
            answer(host);
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

    unsigned sent() const
    {
        return m_sent;
    }
    bool overBound() const
    {
        return m_overBound;
    }
    bool twoOwners() const
    {
        return m_twoOwners;
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
    void hear(Host &host)
    {
        if (host.questions.empty()) {
            return;
        }
        const auto [acknowledged, asked] = host.questions.front();
        host.questions.pop_front();
        m_coordinator.recordPoll(host.member, acknowledged, m_now);
        host.answers.push_back({m_coordinator.view(), m_coordinator.settled(m_now), asked});
    }
    void answer(Host &host)
    {
        if (host.answers.empty()) {
            return;
        }
        const auto answer = host.answers.front();
        host.answers.pop_front();
        host.cold->confirmPermission(answer.asked, m_now);
        host.cold->updateView(answer.view);
        if (answer.settled) {
            host.cold->settleView(*answer.settled);
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
        if (host.inFlight[target] >= host.cold->limit(m_targets[target], m_now)) {
            return;
        }
        ++host.inFlight[target];
        ++m_sent;
        const auto position = static_cast<unsigned>(&host - m_hosts.data());
        m_running.push_back({position, host.member.incarnation, target, m_now + Deadline});
        const auto count = std::count_if(m_running.begin(), m_running.end(), [target](const auto &request) {
            return request.target == target;
        });
        m_overBound = m_overBound || count > ColdSlots;
    }
    void checkOwners(unsigned target)
    {
        const auto owners = std::count_if(m_hosts.begin(), m_hosts.end(), [&](auto &host) {
            return host.cold->limit(m_targets[target], m_now) > 0;
        });
        m_twoOwners = m_twoOwners || owners > 1;
    }

    std::shared_ptr<const configuration::Configuration> m_configuration;
    membership::OwnershipCoordinator m_coordinator;
    std::vector<Host> m_hosts;
    std::vector<targets::Target> m_targets;
    std::vector<Request> m_running;
    core::TimePoint m_now = Start;
    unsigned m_sent = 0;
    bool m_overBound = false;
    bool m_twoOwners = false;
};

/** Kinds of steps by how often they come. */
constexpr std::array<unsigned, 25> Kinds{0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 6, 6, 6, 6, 6, 6, 6, 6, 4, 5, 7};

World run(std::uint64_t seed)
{
    World world;
    const auto random = core::seededRandom(seed);
    for (unsigned i = 0; i < 3000; ++i) {
        const auto kind = Kinds[core::randomBelow(random, Kinds.size())];
        // Changes come in spells, so that views settle between them.
        const bool rare = kind == 4 || kind == 5 || kind == 7;
        if (!rare || core::randomBelow(random, 12) == 0) {
            world.step(kind, static_cast<unsigned>(random() % 1024));
        }
    }
    return world;
}

constexpr std::uint64_t RecordedSeeds = 400;

} // namespace

TEST_CASE("no interleaving gives a cold target two owners or more than its cold slots")
{
    const auto holds = rc::check([](const std::uint64_t seed) {
        const auto world = run(seed);
        RC_ASSERT(!world.twoOwners());
        RC_ASSERT(!world.overBound());
    });
    CHECK(holds);
}

TEST_CASE("recorded seeds keep a cold target within its bound while hosts freeze, restart and change")
{
    unsigned sent = 0;
    for (std::uint64_t seed = 1; seed <= RecordedSeeds; ++seed) {
        const auto world = run(seed);
        INFO("seed " << seed);
        CHECK_FALSE(world.twoOwners());
        CHECK_FALSE(world.overBound());
        sent += world.sent();
    }
    // The worlds do work: a test in which nothing is ever sent would prove nothing.
    CHECK(sent > 10 * RecordedSeeds);
}

TEST_CASE("a host without permission or without a settled view gives a cold target nothing")
{
    ColdConcurrencyLimiter cold(core::HostId("h0"), 1);
    const auto target = makeTarget("t0", "ravne", Condition::Cold);
    cold.configure(makeConfiguration());
    cold.updateView({1, {{core::HostId("h0"), 1, core::FailureDomain("ravne")}}});
    cold.confirmPermission(Start, Start);
    CHECK(cold.limit(target, Start) == 0);
    cold.settleView(1);
    CHECK(cold.limit(target, Start) == 0);
    CHECK(cold.limit(target, Start + Deadline) == ColdSlots);
    CHECK(cold.limit(target, Start + Permission) == 0);
    cold.confirmPermission(Start + Permission, Start + Permission);
    CHECK(cold.limit(target, Start + Permission) == 0);
}

TEST_CASE("a target that turns cold again is taken to be full of earlier requests")
{
    ColdConcurrencyLimiter cold(core::HostId("h0"), 1);
    cold.configure(makeConfiguration());
    cold.updateView({1, {{core::HostId("h0"), 1, core::FailureDomain("ravne")}}});
    cold.confirmPermission(Start, Start);
    cold.settleView(1);
    cold.limit(makeTarget("t0", "ravne", Condition::Cold, 0), Start);
    CHECK(cold.limit(makeTarget("t0", "ravne", Condition::Cold, 2), Start + Deadline) == 0);
}

TEST_CASE("a warm target whose trials keep going wrong is taken to be cold")
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
        unsigned bad = 0;
        for (const auto end = now + span; now < end; now += 1ms) {
            const auto assignment = core::value(router.assign(now));
            const bool atBad = assignment.target->id == core::TargetId("t0");
            bad += atBad ? 1 : 0;
            const auto outcome = atBad ? routing::AttemptOutcome::Shed : routing::AttemptOutcome::Answered;
            router.release(assignment, {outcome, 5ms, {}}, now);
        }
        return bad;
    };
    CHECK(serve(2s) <= 6);
    CHECK(router.status(core::TargetId("t0")).isAssumedCold);
    CHECK(serve(5s) == 0);
    coldLimit = 1;
    CHECK(serve(5s) > 0);
}
