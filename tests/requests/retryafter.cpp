#include "requests/retryafter.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::requests;
using namespace std::chrono_literals;
using core::ErrorCode;

namespace
{

constexpr RefusedService Service{.usualProcessingTime = 100ms, .pause = 2s};

std::optional<core::Duration> retryAfterOf(ErrorCode code,
                                           const std::optional<RefusedService> &service,
                                           std::uint64_t random = 0)
{
    return retryAfter({RunState::NotRun, core::Error{code, {}}}, service, [random]() {
        return random;
    });
}

} // namespace

TEST_CASE("a refused caller returns when the targets' pause and the queue before it should have ended")
{
    CHECK(retryAfterOf(ErrorCode::NoTarget, Service) == 2200ms);
    CHECK(retryAfterOf(ErrorCode::NoTarget, Service, 99) == 2398ms);
    CHECK(retryAfterOf(ErrorCode::NoTarget, RefusedService{}) == 40ms);
}

TEST_CASE("a refusal that isn't for lack of capacity sends the caller back soon")
{
    CHECK(retryAfterOf(ErrorCode::Stopping, Service) == 40ms);
    CHECK(retryAfterOf(ErrorCode::NoSuchService, std::nullopt) == 40ms);
    CHECK(retryAfterOf(ErrorCode::NotCurrent, std::nullopt) == 250ms);
}

TEST_CASE("a request that may have run gets no time to return")
{
    CHECK_FALSE(retryAfter({RunState::Unknown, core::Error{ErrorCode::TargetFailed, {}}}, Service, {}));
}
