#include "requests/stoprule.h"

#include <algorithm>

namespace pimentoshed::requests
{

namespace
{

/** A request at a slow target takes up to this many times the usual processing time. */
constexpr int SlowestFactor = 8;

} // namespace

bool canEndBefore(core::TimePoint hostEnd, const SendDuringStop &request)
{
    const bool isTimeKnown = request.idempotent && request.usualProcessingTime > core::Duration{};
    const auto end = isTimeKnown ? std::min(request.deadline, request.now + SlowestFactor * request.usualProcessingTime)
                                 : request.deadline;
    return end <= hostEnd;
}

} // namespace pimentoshed::requests
