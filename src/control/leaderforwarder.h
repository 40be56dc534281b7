/**
 * @file
 * Brings changes and questions to the leader, wherever it is.
 */
#pragma once

#include "control/peerclients.h"
#include "control/replicator.h"
#include "core/rankedmutex.h"

#include <functional>
#include <vector>

namespace pimentoshed::control
{

/** Thread-safe; rank Requests. */
class LeaderForwarder
{
public:
    LeaderForwarder(Replicator &replicator, PeerClients &peers, core::ClockHook now);

    /**
     * As Replicator::submit, here or at the leader; where there is none, waits for one a while. PeerUnreachable never
     * comes: it is ChangeNotCommitted.
     */
    void submit(const std::string &payload, SubmitHook hook);

    /** Runs @p hook with whether what is applied here was current after this call. */
    void confirm(std::function<void(bool)> hook);

    /** Ends the confirmations whose index is applied now, and those that waited too long. */
    void serve();

private:
    struct Waiting {
        consensus::LogIndex index;
        core::TimePoint until;
        std::function<void(bool)> hook;
    };

    struct Submission {
        std::string payload;
        SubmitHook hook;
        core::TimePoint until;
    };

    /** Passes on what waited for a leader, or gives it up. */
    void serveSubmissions(core::TimePoint now);
    bool hasLeader() const;
    void submitAt(const core::HostId &leader, const std::string &payload, const SubmitHook &hook);
    void confirmAt(const core::HostId &leader, const std::function<void(bool)> &hook);
    void awaitApplied(consensus::LogIndex index, std::function<void(bool)> hook);
    std::optional<core::HostId> otherLeader() const;

    Replicator &m_replicator;
    PeerClients &m_peers;
    const core::ClockHook m_now;
    core::RankedMutex m_mutex{core::LockRank::Requests};
    std::vector<Waiting> m_waiting;
    std::vector<Submission> m_submissions;
};

} // namespace pimentoshed::control
