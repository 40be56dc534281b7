/**
 * @file
 * Leases the requests of workspaces to entry hosts.
 */
#pragma once

#include "configuration/model.h"
#include "quotas/lease.h"
#include "quotas/limit.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimentoshed::quotas
{

/** The state of one workspace's quota, for metrics and the log. */
struct WorkspaceUse {
    core::WorkspaceName workspace;
    /** Requests in leases that have not ended. */
    unsigned leased = 0;
    /** Requests since the start of the process. */
    std::uint64_t granted = 0;
    std::uint64_t returned = 0;
    std::uint64_t refused = 0;
};

/**
 * Keeps a token bucket for each limited workspace. A lease counts as unused until it has ended on any clock, less what
 * its holder returned: so the unused requests, in the bucket and in leases, never exceed room(), and in any window no
 * more are sent than room() and what the rate adds.
 *
 * Only the leader of the control hosts calls it, and only while it is certain to be the only one. Soft state: a new
 * leader calls restart(). Repeated calls and returns are harmless: a call has one lease of a workspace, and
 * of the calls that return some of it each counts once, in the order of their numbers. Not thread-safe.
 */
class Allocator
{
public:
    /**
     * Forgets all leases. Until the leases of other leaders have ended, nothing is granted, and for one Window more
     * only what the rate has added since: no window then holds requests of both an earlier leader and a full bucket.
     */
    void restart(core::TimePoint now);

    /** Sets the limits in force. Leases beyond a lower limit run out by themselves. */
    void configure(const std::vector<configuration::Workspace> &workspaces, core::TimePoint now);

    /** Takes what @p call returns and answers its asks. */
    std::vector<Grant> answer(const LeaseCall &call, core::TimePoint now);

    /** Returns the state of each workspace that was asked for. */
    std::vector<WorkspaceUse> uses(core::TimePoint now);

private:
    struct Lease {
        core::HostId host;
        CallNumber call = 0;
        unsigned requests = 0;
        /** The latest call that returned some of it. */
        CallNumber returnedBy = 0;
    };

    struct Bucket {
        Limit limit;
        /** What is in the bucket, and the part of it that may be leased. The rest is withheld by a new leader. */
        double tokens = 0;
        double ready = 0;
        /** Up to when the rate has been added. */
        core::TimePoint refilled{};
        /** By the time at which each has ended on its holder's clock too. */
        std::multimap<core::TimePoint, Lease> leases;
        /** Sum of the leases. */
        double leased = 0;
        /** When each host asked last. */
        std::map<core::HostId, core::TimePoint> askers;
        /** Up to when the rate is promised to requests that were refused. */
        core::TimePoint promisedUntil{};
        WorkspaceUse use;
    };

    void advance(Bucket &bucket, core::TimePoint now) const;
    void fill(Bucket &bucket, const core::WorkspaceName &workspace, const Limit &limit) const;
    void refill(Bucket &bucket, core::TimePoint until) const;
    static void takeBack(Bucket &bucket, const LeaseCall &call, const Return &returned);
    /** The part of @p tokens that a host may lease ahead of use. */
    static double shareOfAskers(Bucket &bucket, const core::HostId &host, double tokens, core::TimePoint now);
    core::Duration promise(Bucket &bucket, unsigned refused, core::TimePoint now) const;
    Grant answerAsk(const LeaseCall &call, const Ask &ask, core::TimePoint now);
    /** The bucket of a limited workspace, or nullptr. */
    Bucket *bucketOf(const core::WorkspaceName &workspace);

    /** When the leases of other leaders have ended. */
    core::TimePoint m_grantFrom{};
    std::unordered_map<core::WorkspaceName, Limit> m_limits;
    std::unordered_map<core::WorkspaceName, Bucket> m_buckets;
};

} // namespace pimentoshed::quotas
