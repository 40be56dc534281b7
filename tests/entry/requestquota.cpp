#include "entry/requestquota.h"

#include "core/workerpool.h"
#include "http/fakes.h"
#include "http/jsonreply.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <nlohmann/json.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using core::ErrorCode;
using entry::ActiveRequest;
using entry::RequestQuota;

namespace
{

/** Runs a step of a request on a server, with decisions that the test makes. */
class Fixture
{
    core::WorkerPool m_pool{2};
    core::TimerService m_timers{m_pool.context()};

protected:
    Fixture()
    {
        workspace->name = core::WorkspaceName("bakery");
        workspace->requestsPerSecond = 10;
        quota = std::make_unique<RequestQuota>(
            m_timers,
            [this](const auto &, core::TimePoint latest, const auto &callback) {
                ++spent;
                wait = latest - m_timers.now();
                // From another thread, as the answer of a control host.
                m_pool.post([this, callback]() {
                    callback(decision);
                });
            },
            [this](const auto &, const quotas::Token &token) {
                ++givenBack;
                CHECK(token.call == decision.token.call);
            });
    }

    ~Fixture()
    {
        m_pool.stop();
    }

    /** Runs @p step with a request of the workspace. */
    void run(const std::function<void(ActiveRequest &)> &step, core::Duration objective = {})
    {
        auto server = http::Server::Builder(m_pool.context())
                          .address("127.0.0.1:0")
                          .handler([&](http::Exchange &exchange) {
                              ActiveRequest request{exchange, requests::WaitingRequest(m_timers.now())};
                              request.waiting.setDeadline(m_timers.now() + 2s, 2s);
                              request.waiting.follow(objective, true);
                              request.caller.workspace = workspace;
                              step(request);
                              exchange.send(http::jsonReply(boost::beast::http::status::ok, {}));
                          })
                          .start();
        REQUIRE(core::ok(server));
        auto caller = http::fakes::RawSocket::connect(core::value(server)->address());
        caller.write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        CHECK(caller.readAll().substr(0, 12) == "HTTP/1.1 200");
    }

    core::TimePoint now() const
    {
        return m_timers.now();
    }

    std::shared_ptr<configuration::Workspace> workspace = std::make_shared<configuration::Workspace>();
    quotas::Decision decision{quotas::Verdict::Admitted, {7, core::TimePoint::max()}, {}};
    std::atomic<int> spent{0};
    std::atomic<int> givenBack{0};
    core::Duration wait{};
    std::unique_ptr<RequestQuota> quota;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A request keeps its token while that is valid, and gives it back once", "[quotas]")
{
    run([this](ActiveRequest &request) {
        CHECK(core::ok(quota->take(request)));
        CHECK(core::ok(quota->take(request)));
        CHECK(spent == 1);
        quota->giveBack(request);
        quota->giveBack(request);
        CHECK(givenBack == 1);
    });
}

TEST_CASE_METHOD(Fixture, "A request that waited beyond the end of its token takes another one", "[quotas]")
{
    decision.token.validUntil = now();
    run([this](ActiveRequest &request) {
        CHECK(core::ok(quota->take(request)));
        CHECK(core::ok(quota->take(request)));
        CHECK(spent == 2);
    });
}

TEST_CASE_METHOD(Fixture, "Refusals name the time at which the caller may return", "[quotas]")
{
    decision = {quotas::Verdict::OverQuota, {}, 700ms};
    run([this](ActiveRequest &request) {
        const auto refused = quota->take(request);
        REQUIRE(!core::ok(refused));
        CHECK(core::error(refused).code == ErrorCode::OverQuota);
        CHECK(request.retryAfter == 700ms);
        quota->giveBack(request);
        CHECK(givenBack == 0);
        decision.verdict = quotas::Verdict::Unknown;
        CHECK(core::error(quota->take(request)).code == ErrorCode::QuotaUnknown);
    });
}

TEST_CASE_METHOD(Fixture, "The decision takes a small part of the objective at most", "[quotas]")
{
    run(
        [this](ActiveRequest &request) {
            CHECK(core::ok(quota->take(request)));
            CHECK(wait <= 250ms);
            CHECK(wait > 200ms);
        },
        1s);
}

TEST_CASE_METHOD(Fixture, "Requests without a limited workspace need no token", "[quotas]")
{
    run([this](ActiveRequest &request) {
        workspace->requestsPerSecond = 0;
        CHECK(core::ok(quota->take(request)));
        request.caller.workspace = nullptr;
        CHECK(core::ok(quota->take(request)));
        CHECK(spent == 0);
    });
}

TEST_CASE_METHOD(Fixture,
                 "A request is covered while its token is valid, or if its workspace is not limited",
                 "[quotas]")
{
    run([this](ActiveRequest &request) {
        CHECK_FALSE(quota->isCovered(request));
        CHECK(core::ok(quota->take(request)));
        CHECK(quota->isCovered(request));
        request.quotaToken->token.validUntil = now();
        CHECK_FALSE(quota->isCovered(request));
        workspace->requestsPerSecond = 0;
        CHECK(quota->isCovered(request));
    });
}
