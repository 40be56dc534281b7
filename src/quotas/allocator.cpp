#include "quotas/allocator.h"

#include <algorithm>
#include <cmath>

namespace pimentoshed::quotas
{

namespace
{

/** Hosts that asked for a workspace within this time share what is leased ahead of use. */
constexpr core::Duration AskerMemory = std::chrono::seconds(1);
/** The longest time for which the rate is promised to refused requests: not all of them come back. */
constexpr core::Duration MaxPromise = Window;
/** Upper bound of computed waits: a day. */
constexpr double MaxWaitSeconds = 86400;

core::Duration scaled(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

core::Duration fromSeconds(double seconds)
{
    const std::chrono::duration<double> bounded(std::min(seconds, MaxWaitSeconds));
    return std::chrono::duration_cast<core::Duration>(bounded);
}

} // namespace

void Allocator::restart(core::TimePoint now)
{
    m_grantFrom = now + scaled(LongLifetime, ClockMargin);
    for (auto &[name, bucket] : m_buckets) {
        bucket.leases.clear();
        bucket.leased = 0;
        bucket.promisedUntil = {};
        fill(bucket, name, bucket.limit);
    }
}

void Allocator::configure(const std::vector<configuration::Workspace> &workspaces, core::TimePoint now)
{
    std::unordered_map<core::WorkspaceName, Limit> limits;
    for (const auto &workspace : workspaces) {
        if (workspace.requestsPerSecond > 0) {
            limits.emplace(workspace.name, Limit{workspace.requestsPerSecond, workspace.burst});
        }
    }
    for (auto &[name, bucket] : m_buckets) {
        advance(bucket, now);
    }
    std::erase_if(m_buckets, [&limits](const auto &entry) {
        return entry.second.leases.empty() && limits.count(entry.first) == 0;
    });
    for (const auto &[name, limit] : limits) {
        const auto found = m_buckets.find(name);
        if (found != m_buckets.end()) {
            found->second.limit = limit;
        }
    }
    m_limits = std::move(limits);
}

std::vector<Grant> Allocator::answer(const LeaseCall &call, core::TimePoint now)
{
    for (const auto &returned : call.returns) {
        if (auto *bucket = bucketOf(returned.workspace)) {
            advance(*bucket, now);
            takeBack(*bucket, call, returned);
        }
    }
    std::vector<Grant> grants;
    grants.reserve(call.asks.size());
    for (const auto &ask : call.asks) {
        grants.push_back(answerAsk(call, ask, now));
    }
    return grants;
}

std::vector<WorkspaceUse> Allocator::uses(core::TimePoint now)
{
    std::vector<WorkspaceUse> uses;
    uses.reserve(m_buckets.size());
    for (auto &[name, bucket] : m_buckets) {
        advance(bucket, now);
        bucket.use.leased = static_cast<unsigned>(bucket.leased);
        uses.push_back(bucket.use);
    }
    return uses;
}

void Allocator::advance(Bucket &bucket, core::TimePoint now) const
{
    // The end of a lease makes room from that time on, not before.
    while (!bucket.leases.empty() && bucket.leases.begin()->first <= now) {
        refill(bucket, bucket.leases.begin()->first);
        bucket.leased -= bucket.leases.begin()->second.requests;
        bucket.leases.erase(bucket.leases.begin());
    }
    refill(bucket, now);
}

void Allocator::fill(Bucket &bucket, const core::WorkspaceName &workspace, const Limit &limit) const
{
    bucket.limit = limit;
    bucket.tokens = bucketDepth(limit);
    bucket.ready = 0;
    bucket.refilled = m_grantFrom;
    bucket.use.workspace = workspace;
}

void Allocator::refill(Bucket &bucket, core::TimePoint until) const
{
    const auto most = std::max(0.0, std::min(bucketDepth(bucket.limit), room(bucket.limit) - bucket.leased));
    if (until > bucket.refilled) {
        const auto added = bucket.limit.rate * core::toSeconds(until - bucket.refilled);
        bucket.tokens += added;
        bucket.ready += added;
        bucket.refilled = until;
    }
    bucket.tokens = std::min(bucket.tokens, most);
    bucket.ready = until < m_grantFrom + Window ? std::min(bucket.ready, bucket.tokens) : bucket.tokens;
}

void Allocator::takeBack(Bucket &bucket, const LeaseCall &call, const Return &returned)
{
    const auto found = std::find_if(bucket.leases.begin(), bucket.leases.end(), [&](const auto &entry) {
        return entry.second.call == returned.call && entry.second.host == call.host;
    });
    if (found == bucket.leases.end() || found->second.returnedBy >= call.number) {
        return;
    }
    found->second.returnedBy = call.number;
    const auto requests = std::min(found->second.requests, returned.requests);
    found->second.requests -= requests;
    bucket.leased -= requests;
    bucket.tokens += requests;
    bucket.ready += requests;
    bucket.use.returned += requests;
}

double Allocator::shareOfAskers(Bucket &bucket, const core::HostId &host, double tokens, core::TimePoint now)
{
    bucket.askers[host] = now;
    std::erase_if(bucket.askers, [now](const auto &entry) {
        return entry.second + AskerMemory < now;
    });
    return std::max(0.0, tokens) / static_cast<double>(bucket.askers.size());
}

core::Duration Allocator::promise(Bucket &bucket, unsigned refused, core::TimePoint now) const
{
    // The first token after those that are promised already; none is added before the bucket starts to fill.
    const auto free = std::max({now, bucket.promisedUntil, bucket.refilled});
    const auto missing = fromSeconds(std::max(0.0, 1 - bucket.ready) / bucket.limit.rate);
    bucket.promisedUntil = std::min(free + fromSeconds(refused / bucket.limit.rate), now + MaxPromise);
    return free + missing - now;
}

Grant Allocator::answerAsk(const LeaseCall &call, const Ask &ask, core::TimePoint now)
{
    auto *bucket = bucketOf(ask.workspace);
    if (bucket == nullptr) {
        return {ask.workspace, ask.waiting + ask.ahead, LongLifetime, {}};
    }
    advance(*bucket, now);
    const bool isRepeated = std::any_of(bucket->leases.begin(), bucket->leases.end(), [&](const auto &entry) {
        return entry.second.call == call.number && entry.second.host == call.host;
    });
    if (isRepeated) {
        return {ask.workspace, 0, {}, {}};
    }
    const auto served = std::min(ask.waiting, static_cast<unsigned>(std::floor(bucket->ready)));
    const auto share = shareOfAskers(*bucket, call.host, bucket->ready - served, now);
    const auto granted = served + std::min(ask.ahead, static_cast<unsigned>(std::floor(share)));
    Grant grant{ask.workspace, granted, {}, {}};
    if (granted > 0) {
        grant.lifetime = bucket->leased + granted < room(bucket->limit) / 2 ? LongLifetime : ShortLifetime;
        bucket->tokens -= granted;
        bucket->ready -= granted;
        bucket->leased += granted;
        bucket->leases.emplace(now + scaled(grant.lifetime, ClockMargin), Lease{call.host, call.number, granted});
        bucket->use.granted += granted;
    }
    if (served < ask.waiting) {
        const bool isWithheld = bucket->tokens >= 1 && now < m_grantFrom + Window;
        grant.retryAfter = isWithheld ? core::Duration{} : promise(*bucket, ask.waiting - served, now);
        bucket->use.refused += ask.waiting - served;
    }
    return grant;
}

Allocator::Bucket *Allocator::bucketOf(const core::WorkspaceName &workspace)
{
    const auto limit = m_limits.find(workspace);
    if (limit == m_limits.end()) {
        return nullptr;
    }
    const auto [found, isNew] = m_buckets.try_emplace(workspace);
    if (isNew) {
        fill(found->second, workspace, limit->second);
    }
    return &found->second;
}

} // namespace pimentoshed::quotas
