/**
 * @file
 * Relays a request to its target, and to a second one if the first is slow and hedging is allowed.
 */
#pragma once

#include "entry/relaystep.h"
#include "entry/requestquota.h"
#include "http/relayrace.h"

#include <optional>
#include <vector>

namespace pimentoshed::entry
{

/** An attempt that has ended. */
struct EndedAttempt {
    routing::Assignment assignment;
    http::RelayResult result;
};

/** Makes one attempt, or two at the same time. The hooks in CallerHandlerDependencies::hedging decide on the second. */
class HedgedRelay
{
public:
    HedgedRelay(const CallerHandlerDependencies &dependencies,
                const TargetAssignment &assignment,
                const RequestQuota &quota,
                const RelayStep &step,
                const RequestLog &log);

    /** Returns the attempts that were made, the one that decides about the request last. */
    std::vector<EndedAttempt> run(ActiveRequest &request, AssignedTarget assigned) const;

private:
    /** A target and when the request was sent there. */
    struct Sent {
        routing::Assignment assignment;
        core::TimePoint start{};
    };

    std::vector<EndedAttempt> race(ActiveRequest &request, AssignedTarget assigned, core::Duration delay) const;
    /** The second attempt, whose target is stored in @p second; nothing if there must be none. */
    std::optional<http::RaceEntry> makeSecond(const ActiveRequest &request,
                                              const Sent &first,
                                              std::optional<Sent> &second,
                                              const http::Yield &yield) const;
    requests::HedgeCandidate candidate(const ActiveRequest &request) const;
    /** Frees the target of the first attempt and learns from the time that it took. */
    void endFirst(const ActiveRequest &request, const Sent &sent, const http::RelayResult &result) const;
    void endSecond(const ActiveRequest &request, const Sent &sent, const http::RelayResult &result) const;

    const CallerHandlerDependencies &m_dependencies;
    const TargetAssignment &m_assignment;
    const RequestQuota &m_quota;
    const RelayStep &m_step;
    const RequestLog &m_log;
};

} // namespace pimentoshed::entry
