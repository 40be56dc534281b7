/**
 * @file
 * Forwards changes and confirmation requests to the leader of the replicated log, on this host or another.
 */
#pragma once

#include "control/peerclients.h"
#include "control/replicator.h"
#include "core/rankedmutex.h"

#include <functional>
#include <vector>

namespace pimentoshed::control
{

/** Keeps changes and confirmations that wait for a leader or for the log. Thread-safe; lock rank Requests. */
class LeaderForwarder
{
public:
    LeaderForwarder(Replicator &replicator, PeerClients &peers, core::ClockHook now);

    /**
     * Like Replicator::submit, at the current leader. If there is none, the change waits some seconds for an election.
     * If the leader can't be reached, the error is ChangeNotCommitted instead of PeerUnreachable.
     */
    void submit(const std::string &payload, SubmitHook hook);

    /**
     * Calls @p hook with true once this host has applied everything that was committed before this call, or with false
     * if that can't be confirmed in time.
     */
    void confirm(std::function<void(bool)> hook);

    /**
     * Ends confirmations whose index has been applied or that timed out, and submits changes that waited for a leader.
     * To be called periodically and after entries were applied.
     */
    void processWaiting();

private:
    struct PendingConfirmation {
        consensus::LogIndex index;
        core::TimePoint deadline;
        std::function<void(bool)> hook;
    };

    struct Submission {
        std::string payload;
        SubmitHook hook;
        core::TimePoint deadline;
    };

    /** Submits the changes that waited for a leader; fails those that timed out. */
    void processSubmissions(core::TimePoint now);
    bool hasLeader() const;
    void submitAt(const core::HostId &leader, const std::string &payload, const SubmitHook &hook);
    void confirmAt(const core::HostId &leader, const std::function<void(bool)> &hook);
    void awaitApplied(consensus::LogIndex index, std::function<void(bool)> hook);
    std::optional<core::HostId> otherLeader() const;

    Replicator &m_replicator;
    PeerClients &m_peers;
    const core::ClockHook m_clock;
    core::RankedMutex m_mutex{core::LockRank::Requests};
    std::vector<PendingConfirmation> m_confirmations;
    std::vector<Submission> m_submissions;
};

} // namespace pimentoshed::control
