#include "platform/controlhttphandler.h"

#include "core/workerpool.h"
#include "http/client.h"
#include "http/fakes.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

using namespace pimentoshed;
using namespace std::chrono_literals;

namespace
{

const core::FailureDomain Ravne("ravne");

/** A control host whose log is a ledger in the test. */
class FakeControl
{
public:
    FakeControl()
    {
        REQUIRE(core::ok(
            apply(changes::ApplyFile{core::ChangeId("file"), "replaces = 0\nfailure_domains = [\"ravne\"]\n"})));
        auto started = http::Server::Builder(m_pool.context())
                           .address("127.0.0.1:0")
                           .handler(platform::controlHttpHandlerFactory({})(dependencies()))
                           .start();
        REQUIRE(core::ok(started));
        m_server = core::value(started);
        m_stalls.beat();
    }

    ~FakeControl()
    {
        m_server->drain();
        m_pool.stop();
    }

    FakeControl(const FakeControl &) = delete;
    FakeControl &operator=(const FakeControl &) = delete;

    unsigned send(const std::string &method, const std::string &path, const std::string &body = {})
    {
        const auto answered = http::fetch(m_server->address(), {method, path, {}, body}, 5s);
        return core::ok(answered) ? core::value(answered).status : 0;
    }

    /** Sends an order, and closes the connection before it is processed. */
    void sendAndLeave(const std::string &method, const std::string &path)
    {
        auto caller = http::fakes::RawSocket::connect(m_server->address());
        caller.write(method + " " + path + " HTTP/1.1\r\nHost: control\r\n\r\n");
        caller.close();
    }

    /** Lets the process run for @p duration. */
    void run(core::Duration duration)
    {
        constexpr auto Beat = 50ms;
        for (auto passed = 0ms; passed < duration; passed += Beat) {
            freeze(Beat);
            m_stalls.beat();
        }
    }

    /** Lets the process stand still for @p duration. */
    void freeze(core::Duration duration)
    {
        const std::lock_guard lock(m_mutex);
        m_now += duration;
    }

    changes::Answer apply(const changes::Change &change)
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.apply(change);
    }

    /** Takes the failure domain out of service, or returns it, by way of another control host. */
    void moveElsewhere(bool isOut)
    {
        const auto count = domain().changeCount;
        const core::ChangeId id("elsewhere-" + std::to_string(count));
        REQUIRE(core::ok(apply(changes::SetDomainAvailability{id, Ravne, isOut, count})));
    }

    changes::DomainState domain()
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.activeConfiguration().domains.at(Ravne);
    }

    /** Called once, between the start of the next change here and its decision. */
    std::function<void()> beforeDecision;
    /** Called once, while the next confirmation by a quorum is awaited. */
    std::function<void()> beforeConfirmation;
    /** The known target, if any. */
    std::optional<targets::Target> known;
    std::atomic<unsigned> submissions{0};

private:
    control::HttpHandlerDependencies dependencies()
    {
        control::HttpHandlerDependencies dependencies;
        dependencies.submitChange = [this](const changes::Change &change,
                                           const std::function<void(changes::Answer)> &done) {
            ++submissions;
            if (const auto hook = std::exchange(beforeDecision, nullptr)) {
                hook();
            }
            done(apply(change));
        };
        dependencies.submitWithdrawal = [this](const targets::Target &,
                                               const std::function<void(changes::Answer)> &done) {
            ++submissions;
            done(changes::Accepted{});
        };
        dependencies.startRollout = [this](const changes::StartRollout &,
                                           const control::OrderAge &age,
                                           const std::function<void(changes::Answer)> &done) {
            submissions += age.mayBeStale() ? 0 : 1;
            done(age.mayBeStale() ? changes::Answer(core::Error{core::ErrorCode::OrderStale, {}})
                                  : changes::Accepted{});
        };
        dependencies.confirmCurrent = [this](const std::function<void(bool)> &done) {
            if (const auto hook = std::exchange(beforeConfirmation, nullptr)) {
                hook();
            }
            done(true);
        };
        dependencies.receiveOrder = [this]() {
            return control::OrderAge(m_stalls, clock());
        };
        dependencies.incarnationKnowledge = [](const core::TargetId &) {
            return membership::IncarnationKnowledge::Latest;
        };
        dependencies.findTarget = [this](const core::TargetId &) {
            return known;
        };
        dependencies.announce = [](const targets::Target &) {
            return targets::UpdateResult::Changed;
        };
        dependencies.activeConfiguration = [this]() {
            const std::lock_guard lock(m_mutex);
            return std::make_shared<const changes::ActiveConfiguration>(m_ledger.activeConfiguration());
        };
        return dependencies;
    }

    core::StallMonitor::BootClockHook clock()
    {
        return [this]() {
            const std::lock_guard lock(m_mutex);
            return m_now;
        };
    }

    std::mutex m_mutex;
    core::BootTime m_now{100s};
    core::StallMonitor m_stalls{control::LongestPause, clock()};
    changes::Ledger m_ledger;
    /** Two, so that an order can be sent while another one is decided. */
    core::WorkerPool m_pool{2};
    std::shared_ptr<http::Server> m_server;
};

} // namespace

// Guards against an order that is made anew on top of the newer orders that came first.
TEST_CASE("an order that newer ones overtake does not undo them")
{
    FakeControl control;
    REQUIRE(control.send("POST", "/evacuate/ravne") == 200);
    control.beforeDecision = [&control]() {
        control.moveElsewhere(false);
        control.moveElsewhere(true);
    };
    CHECK(control.send("DELETE", "/evacuate/ravne") == 503);
    CHECK(control.domain().out);
}

TEST_CASE("an order that the same one overtakes is acknowledged")
{
    FakeControl control;
    control.beforeDecision = [&control]() {
        control.moveElsewhere(true);
    };
    CHECK(control.send("POST", "/evacuate/ravne") == 200);
    CHECK(control.domain().changeCount == 1);
}

// Guards against an acknowledged evacuation that is undone by an order that was still on its way.
TEST_CASE("an order that changes nothing supersedes earlier ones too")
{
    FakeControl control;
    REQUIRE(control.send("POST", "/evacuate/ravne") == 200);
    control.beforeDecision = [&control]() {
        CHECK(control.send("POST", "/evacuate/ravne") == 200);
    };
    CHECK(control.send("DELETE", "/evacuate/ravne") == 503);
    CHECK(control.domain().out);
}

// Guards against orders that waited while this process was frozen and that their senders have given up.
TEST_CASE("an order that names no state and may have waited during a freeze is not carried out")
{
    FakeControl control;
    control.known.emplace();
    control.known->id = core::TargetId("i-1");
    control.known->version = {17, 4};
    const std::string rollout = R"({"service":"s","target_version":"v2","over":"10s"})";
    control.freeze(1200ms);
    CHECK(control.send("POST", "/evacuate/ravne") == 503);
    CHECK(control.send("DELETE", "/evacuate/ravne") == 503);
    CHECK(control.send("POST", "/rollouts", rollout) == 503);
    CHECK(control.send("DELETE", "/instances/i-1") == 503);
    CHECK(control.submissions == 0);
    // A removal that names the incarnation binds no other one, however late it is.
    CHECK(control.send("DELETE", "/instances/i-1", R"({"born":17})") == 200);
    control.run(2s);
    CHECK(control.send("POST", "/evacuate/ravne") == 200);
    CHECK(control.send("POST", "/rollouts", rollout) == 200);
    CHECK(control.send("DELETE", "/instances/i-1") == 200);
    CHECK(control.submissions == 4);
}

// Guards against an order that was read before a freeze and is based on what was ordered during it.
TEST_CASE("an order is not carried out after a freeze while it was processed")
{
    FakeControl control;
    control.beforeConfirmation = [&control]() {
        control.freeze(1200ms);
        control.moveElsewhere(true);
    };
    CHECK(control.send("DELETE", "/evacuate/ravne") == 503);
    CHECK(control.domain().out);
}

// Guards against an order that its operator gave up by closing the connection.
TEST_CASE("an order whose caller has left is not carried out")
{
    FakeControl control;
    std::atomic<bool> isConfirmed = false;
    control.beforeConfirmation = [&isConfirmed]() {
        // The end of the connection arrives meanwhile.
        std::this_thread::sleep_for(100ms);
        isConfirmed = true;
    };
    control.sendAndLeave("POST", "/evacuate/ravne");
    for (unsigned i = 0; i < 100 && !isConfirmed; ++i) {
        std::this_thread::sleep_for(20ms);
    }
    REQUIRE(isConfirmed);
    std::this_thread::sleep_for(100ms);
    CHECK(control.submissions == 0);
}
