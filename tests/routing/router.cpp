#include "routing/router.h"

#include "fixture.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <random>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::routing::test;
using namespace std::chrono_literals;
using routing::AttemptOutcome;

namespace
{

core::RandomSource threadRandom()
{
    return []() {
        thread_local std::mt19937_64 engine{1};
        return engine();
    };
}

std::shared_ptr<const configuration::Configuration> makeConfiguration(bool withService)
{
    configuration::Configuration configuration;
    if (withService) {
        configuration.services.push_back(makeService());
    }
    return std::make_shared<const configuration::Configuration>(configuration);
}

routing::Router makeRouter()
{
    return {core::FailureDomain("ravne"),
            {routing::makePicker(routing::PickerKind::LeastExpectedTime), threadRandom(), true, nullptr, nullptr}};
}

const core::ServiceName Loans("loans");
const core::TargetId First("t0");

} // namespace

TEST_CASE("a service that is removed and added again keeps its count of requests in flight")
{
    auto router = makeRouter();
    CHECK(router.configure(makeConfiguration(true)));
    router.update(makeTarget("t0"));
    const auto assignment = core::value(router.assign(Loans, Start));
    router.configure(makeConfiguration(false));
    CHECK(core::error(router.assign(Loans, Start)).code == core::ErrorCode::NoSuchService);
    router.configure(makeConfiguration(true));
    CHECK(router.status(Loans, First).inFlight == 1);
    router.release(assignment, {AttemptOutcome::Answered, 1ms, {}}, Start);
    CHECK(router.status(Loans, First).inFlight == 0);
}

TEST_CASE("concurrent assignments never exceed the slots of a target")
{
    auto router = makeRouter();
    router.configure(makeConfiguration(true));
    for (const auto *id : {"t0", "t1", "t2"}) {
        router.update(makeTarget(id));
    }
    std::atomic<unsigned> assigned{0};
    std::atomic<bool> isOverSlots{false};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < 4; ++i) {
        threads.emplace_back([&]() {
            for (unsigned attempt = 0; attempt < 2000; ++attempt) {
                const auto result = router.assign(Loans, Start);
                if (!core::ok(result)) {
                    continue;
                }
                ++assigned;
                isOverSlots = isOverSlots || router.status(Loans, core::value(result).target->id).inFlight > 3;
                router.release(core::value(result), {AttemptOutcome::Answered, 1ms, {}}, Start);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK_FALSE(isOverSlots);
    CHECK(assigned > 2000);
    CHECK(router.status(Loans, First).inFlight == 0);
}
