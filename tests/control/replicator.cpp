#include "control/replicator.h"

#include "support/files.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace pimentoshed;
using namespace std::chrono_literals;
using namespace consensus;
using control::Replicator;

namespace
{

const MemberId Self{core::HostId("c1"), DiskId("initial")};
const MemberId Peer{core::HostId("c2"), DiskId("initial")};

/** Hooks of a state machine without state; messages are lost. */
control::ReplicatorHooks emptyHooks()
{
    control::ReplicatorHooks hooks;
    hooks.apply = [](const std::string &payload) {
        return "applied " + payload;
    };
    hooks.restore = [](const std::string &) -> core::Status {
        return std::monostate{};
    };
    hooks.snapshot = []() {
        return std::string();
    };
    hooks.send = [](const Message &) {};
    hooks.applied = []() {};
    hooks.now = core::steadyNow;
    return hooks;
}

/** A replicator with two other members, which the test plays. */
class Fixture
{
public:
    Fixture()
    {
        const std::string data = m_folder.path() / "data";
        REQUIRE(core::ok(Replicator::createDataFolder(data, Self.host, {Self.host, Peer.host, core::HostId("c3")})));
        auto hooks = emptyHooks();
        hooks.send = [this](const Message &message) {
            const std::lock_guard lock(m_mutex);
            if (message.to == Peer) {
                m_sent.push_back(message);
                m_hasSent.notify_all();
            }
        };
        hooks.now = [this]() {
            return m_now;
        };
        auto opened = Replicator::open(data, Self.host, hooks, core::seededRandom(1));
        m_replicator = std::move(core::value(opened));
    }

    ~Fixture()
    {
        m_replicator->stop();
    }

    Replicator &replicator()
    {
        return *m_replicator;
    }

    void receive(MessageBody body)
    {
        m_replicator->receive({Peer, Self, std::move(body)});
    }

    /** Makes the replicator the leader with the votes of Peer. */
    void elect()
    {
        m_now += 3s;
        m_replicator->tick();
        const auto preVote = awaitSent<PreVoteRequest>();
        receive(PreVoteReply{{}, preVote.term, true});
        const auto vote = awaitSent<VoteRequest>();
        receive(VoteReply{vote.term, true});
        // The replicator's own vote counts once it is stored, which takes place in another thread.
        for (unsigned i = 0; i < 5000 && m_replicator->status().role != Role::Leader; ++i) {
            std::this_thread::sleep_for(1ms);
        }
        REQUIRE(m_replicator->status().role == Role::Leader);
    }

private:
    /** Returns the next message of type Body that the replicator sends to Peer. */
    template<typename Body>
    Body awaitSent()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            while (!m_sent.empty()) {
                const auto message = m_sent.front();
                m_sent.erase(m_sent.begin());
                if (const auto *body = std::get_if<Body>(&message.body)) {
                    return *body;
                }
            }
            REQUIRE(m_hasSent.wait_for(lock, 5s) == std::cv_status::no_timeout);
        }
    }

    const support::TemporaryFolder m_folder;
    core::TimePoint m_now{100s};
    std::mutex m_mutex;
    std::condition_variable m_hasSent;
    std::vector<Message> m_sent;
    std::unique_ptr<Replicator> m_replicator;
};

} // namespace

TEST_CASE("a submission whose log entry was replaced gets an answer when another takes its index")
{
    Fixture fixture;
    fixture.elect();
    std::vector<core::Result<std::string>> answers;
    const auto record = [&answers](const core::Result<std::string> &answer) {
        answers.push_back(answer);
    };
    fixture.replicator().submit("first", record);
    fixture.replicator().submit("second", record);
    const auto second = fixture.replicator().status().last;
    // Another leader replaces the whole log by one entry, and is lost again.
    const Term later(fixture.replicator().status().term.value() + 3);
    fixture.receive(AppendRequest{later, {}, {Entry{{LogIndex(1), later}, EntryKind::Noop, {}, {}}}, {}, Round(1)});
    REQUIRE(fixture.replicator().status().role == Role::Follower);
    fixture.elect();
    CHECK(answers.empty());
    fixture.replicator().submit("third", record);
    REQUIRE(fixture.replicator().status().last == second);
    REQUIRE(answers.size() == 1);
    CHECK(core::error(answers[0]).code == core::ErrorCode::NoQuorum);
}

TEST_CASE("closing answers pending submissions and confirmations, and refuses new ones")
{
    Fixture fixture;
    fixture.elect();
    std::vector<core::ErrorCode> errors;
    const auto submit = [&]() {
        fixture.replicator().submit("change", [&errors](const core::Result<std::string> &answer) {
            errors.push_back(core::error(answer).code);
        });
    };
    const auto confirm = [&]() {
        fixture.replicator().confirm([&errors](const core::Result<LogIndex> &index) {
            errors.push_back(core::error(index).code);
        });
    };
    submit();
    confirm();
    CHECK(errors.empty());
    fixture.replicator().close();
    // The leader hands over first, which fails its reads.
    CHECK(errors == std::vector{core::ErrorCode::NoQuorum, core::ErrorCode::ChangeNotCommitted});
    submit();
    confirm();
    CHECK(errors.size() == 4);
}

TEST_CASE("a control host whose snapshot can't be restored does not start")
{
    const support::TemporaryFolder folder;
    const std::string data = folder.path() / "data";
    REQUIRE(core::ok(Replicator::createDataFolder(data, Self.host, {Self.host})));
    {
        auto opened = Replicator::open(data, Self.host, emptyHooks(), core::seededRandom(1));
        REQUIRE(core::ok(opened));
        auto &replicator = *core::value(opened);
        std::atomic<unsigned> applied = 0;
        for (unsigned i = 0; i < 10000 && applied < 600; ++i) {
            replicator.tick();
            replicator.submit("change", [&applied](const core::Result<std::string> &answer) {
                applied += core::ok(answer) ? 1 : 0;
            });
            std::this_thread::sleep_for(1ms);
        }
        REQUIRE(applied >= 600);
        replicator.stop();
    }
    CHECK(core::ok(Replicator::open(data, Self.host, emptyHooks(), core::seededRandom(1))));
    auto hooks = emptyHooks();
    hooks.restore = [](const std::string &) -> core::Status {
        return core::Error{core::ErrorCode::SnapshotDamaged, "a file that this version refuses"};
    };
    const auto refused = Replicator::open(data, Self.host, hooks, core::seededRandom(1));
    REQUIRE_FALSE(core::ok(refused));
    CHECK(core::error(refused).code == core::ErrorCode::SnapshotDamaged);
}
