#include "platform/controlhttphandler.h"

#include "core/workerpool.h"
#include "http/client.h"

#include <catch2/catch.hpp>
#include <functional>
#include <mutex>

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
    }

    ~FakeControl()
    {
        m_server->drain();
        m_pool.stop();
    }

    FakeControl(const FakeControl &) = delete;
    FakeControl &operator=(const FakeControl &) = delete;

    unsigned send(const std::string &method, const std::string &path)
    {
        const auto answered = http::fetch(m_server->address(), {method, path, {}, {}}, 5s);
        return core::ok(answered) ? core::value(answered).status : 0;
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

private:
    control::HttpHandlerDependencies dependencies()
    {
        control::HttpHandlerDependencies dependencies;
        dependencies.submitChange = [this](const changes::Change &change,
                                           const std::function<void(changes::Answer)> &done) {
            if (const auto hook = std::exchange(beforeDecision, nullptr)) {
                hook();
            }
            done(apply(change));
        };
        dependencies.confirmCurrent = [](const std::function<void(bool)> &done) {
            done(true);
        };
        dependencies.activeConfiguration = [this]() {
            const std::lock_guard lock(m_mutex);
            return std::make_shared<const changes::ActiveConfiguration>(m_ledger.activeConfiguration());
        };
        return dependencies;
    }

    std::mutex m_mutex;
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
