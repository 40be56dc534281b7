/**
 * @file
 * Follows another control host, so that every control host has the records of all entry hosts and targets.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "membership/membershipfeed.h"
#include "membership/targetknowledge.h"
#include "rpc/controlclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pimentoshed::control
{

/** Follows one peer until stopped. After some seconds without a reply, removes the peer's entry hosts. Thread-safe. */
class PeerFollower : public std::enable_shared_from_this<PeerFollower>
{
public:
    struct Dependencies {
        core::WorkerPool &pool;
        core::TimerService &timers;
        membership::MembershipFeed &membershipFeed;
        /** This host, as it introduces itself to the peer. */
        membership::ControlHost self;
        /** Called with the targets in a reply of the peer, if there are any. */
        std::function<void(const std::vector<targets::Target> &)> recordTargets;
        /** Called after each reply, once its targets were recorded. */
        std::function<void(const core::HostId &, const membership::PeerUpdate &)> onUpdate;
        /** Called after a failed call, if the peer has been silent for so long that its entry hosts were removed. */
        std::function<void(const core::HostId &)> onSilent;
    };

    PeerFollower(Dependencies dependencies, core::HostId peer, const std::string &address);

    void start();
    void stop();

private:
    void sendRequest();
    void handleReply(const core::Result<rpc::FollowReply> &reply);
    void applyReply(const rpc::FollowReply &reply);
    void scheduleRequest();

    const Dependencies m_dependencies;
    const core::HostId m_peer;
    const std::string m_address;
    std::shared_ptr<rpc::ControlClient> m_client;
    std::atomic<bool> m_stopped{false};
    /** One call is in progress at a time, so these members need no lock. */
    std::uint64_t m_feedId = 0;
    std::uint64_t m_feedPosition = 0;
    core::TimePoint m_callTime{};
    core::TimePoint m_lastReplyAt;
    core::RankedMutex m_mutex{core::LockRank::Connections};
    core::TimerSubscription m_retryTimer;
};

} // namespace pimentoshed::control
