#include "requests/stoprule.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace pimentoshed::requests;
using namespace std::chrono_literals;

namespace
{

constexpr core::TimePoint Now{100s};
constexpr core::TimePoint HostEnd = Now + 4s;

} // namespace

TEST_CASE("a stopping host sends a request that may run once only if its deadline passes before the host ends")
{
    SendDuringStop request;
    request.now = Now;
    request.usualProcessingTime = 1ms;
    request.deadline = HostEnd;
    CHECK(canEndBefore(HostEnd, request));
    request.deadline = HostEnd + 1ms;
    CHECK_FALSE(canEndBefore(HostEnd, request));
}

TEST_CASE("a stopping host sends an idempotent request if its service's usual time leaves room for a slow target")
{
    SendDuringStop request;
    request.idempotent = true;
    request.now = Now;
    request.deadline = HostEnd + 10s;
    request.usualProcessingTime = 500ms;
    CHECK(canEndBefore(HostEnd, request));
    request.usualProcessingTime = 501ms;
    CHECK_FALSE(canEndBefore(HostEnd, request));
    request.deadline = HostEnd;
    CHECK(canEndBefore(HostEnd, request));
    // Without an estimate the request may take all of its time.
    request.usualProcessingTime = {};
    request.deadline = HostEnd + 1ms;
    CHECK_FALSE(canEndBefore(HostEnd, request));
}
