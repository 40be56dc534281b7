#include "routing/router.h"

#include <benchmark/benchmark.h>
#include <random>

using namespace pimentoshed;
using namespace std::chrono_literals;

namespace
{

core::RandomSource threadRandom()
{
    return []() {
        thread_local std::mt19937_64 engine{std::random_device{}()};
        return engine();
    };
}

/** A router with targets, spread over services; one target in three is in the router's failure domain. */
struct RouterFixture {
    RouterFixture(std::size_t targetCount, std::size_t serviceCount)
        : router(core::FailureDomain("ravne"),
                 {routing::makePicker(routing::PickerKind::LeastExpectedTime), threadRandom(), true, nullptr, nullptr})
    {
        configuration::Configuration configuration;
        for (std::size_t i = 0; i < serviceCount; ++i) {
            configuration::Service service;
            service.name = core::ServiceName("service-" + std::to_string(i));
            service.slots = 6;
            configuration.services.push_back(service);
            services.push_back(service.name);
        }
        router.configure(std::make_shared<const configuration::Configuration>(configuration));
        for (std::size_t i = 0; i < targetCount; ++i) {
            targets::Target target;
            target.id = core::TargetId("target-" + std::to_string(i));
            target.service = services[i % serviceCount];
            target.domain = core::FailureDomain(i % 3 == 0 ? "ravne" : "mezica");
            target.condition = targets::Condition::Warm;
            router.update(target);
        }
    }

    routing::Router router;
    std::vector<core::ServiceName> services;
};

/** Measures one routing decision: assigning a request to a target and releasing it. */
void assignAndRelease(benchmark::State &state)
{
    static std::unique_ptr<RouterFixture> fixture;
    if (state.thread_index() == 0) {
        fixture = std::make_unique<RouterFixture>(state.range(0), state.range(1));
    }
    std::mt19937_64 engine{static_cast<std::uint64_t>(state.thread_index())};
    const auto now = core::steadyNow();
    while (state.KeepRunning()) {
        const auto &service = fixture->services[engine() % fixture->services.size()];
        const auto assigned = fixture->router.assign(service, now);
        if (core::ok(assigned)) {
            fixture->router.release(core::value(assigned), {routing::AttemptOutcome::Answered, 5ms, std::nullopt}, now);
        }
    }
}

constexpr int MaxThreads = 8;

BENCHMARK(assignAndRelease)
    ->Args({36, 4})
    ->Args({410, 43})
    ->Args({4100, 430})
    ->Args({4100, 4})
    ->ThreadRange(1, MaxThreads)
    ->UseRealTime();

} // namespace
