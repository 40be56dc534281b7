#include "requests/stoprule.h"

#include <algorithm>

namespace pimentoshed::requests
{

namespace
{

/** A request at a slow target takes up to this many times the usual processing time. */
constexpr int SlowestFactor = 8;

} // namespace

bool canEndBefore(const HostStop &stop, const SendDuringStop &request)
{
    const bool countsByEstimate =
        request.idempotent && request.arrival <= stop.estimateEnd && request.usualProcessingTime > core::Duration{};
    const auto end = countsByEstimate
                         ? std::min(request.deadline, request.now + SlowestFactor * request.usualProcessingTime)
                         : request.deadline;
    return end <= stop.end;
}

} // namespace pimentoshed::requests
