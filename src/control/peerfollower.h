/**
 * @file
 * Follows another control host, so that every control host knows every entry host and target.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "membership/membershipfeed.h"
#include "rpc/controlclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace pimentoshed::control
{

/** Follows until stopped. Forgets the other's entry hosts once it has not answered for long. Thread-safe. */
class PeerFollower : public std::enable_shared_from_this<PeerFollower>
{
public:
    struct Dependencies {
        core::WorkerPool &pool;
        core::TimerService &timers;
        membership::MembershipFeed &hub;
        /** This host as others are to know it. */
        membership::ControlHost self;
        /** Takes a target's word. */
        std::function<void(const targets::Target &)> learn;
        /** Called where the other has been silent for so long that what it alone knew is forgotten. */
        std::function<void(const core::HostId &)> silent;
    };

    PeerFollower(Dependencies parts, core::HostId peer, const std::string &address);

    void start();
    void stop();

private:
    void ask();
    void take(const core::Result<rpc::FollowReply> &reply);
    void adopt(const rpc::FollowReply &reply);
    void askLater();

    const Dependencies m_parts;
    const core::HostId m_peer;
    const std::string m_address;
    std::shared_ptr<rpc::ControlClient> m_client;
    std::atomic<bool> m_stopped{false};
    /** One call at a time, so these need no lock. */
    std::uint64_t m_feedId = 0;
    std::uint64_t m_feedPosition = 0;
    core::TimePoint m_lastAnswer;
    core::RankedMutex m_mutex{core::LockRank::Connections};
    core::TimerSubscription m_timer;
};

} // namespace pimentoshed::control
