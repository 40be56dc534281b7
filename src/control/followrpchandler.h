/**
 * @file
 * Answers the follow calls of entry hosts and of other control hosts. Each call is a long poll: it stays pending until
 * there is an update for it.
 */
#pragma once

#include "changes/ledger.h"
#include "control/filecompressor.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "membership/membershipfeed.h"
#include "rpc/controlserver.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pimentoshed::control
{

/**
 * Answers each call once: at the first change after its arrival, or when its hold time ends. Many targets and hosts
 * change at the same time, so their updates are batched; a new configuration is sent at once. A host that has not yet
 * followed this process is redirected to a control host of its own failure domain, if there is one. Thread-safe; lock
 * rank Connections.
 */
class FollowRpcHandler
{
public:
    /** Which updates may end a pending call. */
    enum class UpdateScope : std::uint8_t {
        /** A new active configuration. */
        Configuration,
        /** A new active configuration, and changes of hosts and targets. */
        All,
    };

    /** Where the updates come from. */
    struct Dependencies {
        std::function<std::shared_ptr<const changes::ActiveConfiguration>()> activeConfiguration;
        const membership::MembershipFeed &membershipFeed;
        core::FailureDomain domain;
        /** Identifies this process's feed; a position in another feed counts as 0. */
        std::uint64_t feedId = 0;
        /** Returns the control hosts that entry hosts may follow. */
        std::function<std::vector<membership::ControlHost>()> controlHosts;
        /** Whether this host knows the latest incarnation of each target. */
        std::function<bool()> isTargetKnowledgeComplete;
    };

    explicit FollowRpcHandler(Dependencies dependencies);

    /** Answers @p request at once if there is an update for it; otherwise keeps it pending for its hold time. */
    void handle(const rpc::FollowRequest &request,
                const rpc::Responder<rpc::FollowReply> &respond,
                core::TimePoint now);

    /** Latest call number (FollowRequest::ask) of each entry host, by the host's id and incarnation. */
    using CallNumbers = std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>;

    /**
     * Records that a quorum confirmed the active configuration as current after the calls in @p calls arrived. Those of
     * them that await it are answered at once; after failed confirmations, all of them.
     */
    void recordConfirmation(const CallNumbers &calls, core::TimePoint now);

    /**
     * Records that a confirmation failed, for example because there is no leader. The first time, the pending calls
     * that are confirmed already are answered: until there is a leader, entry hosts act on the confirmations that they
     * have.
     */
    void recordFailedConfirmation(core::TimePoint now);

    /** Whether the latest confirmation failed. */
    bool isConfirmationFailing() const;

    /** Whether a pending call awaits a confirmation. */
    bool hasCallAwaitingConfirmation() const;

    /** The latest calls received, for recordConfirmation(). */
    CallNumbers receivedCalls() const;

    /** Answers the pending calls that have an update within @p scope, and those whose hold time ended by @p now. */
    void answerDue(core::TimePoint now, UpdateScope scope);

    /** Whether the calling host is new to this feed and should follow a control host of its own failure domain. */
    bool isRedirected(const rpc::FollowRequest &request) const;

    /** Answers every pending call; later calls are answered at once. */
    void close();

    std::size_t pendingCallCount() const;

private:
    /** Which confirmed calls are answered. */
    enum class ConfirmedScope : std::uint8_t {
        All,
        /** Only those that await their confirmation. */
        Awaiting,
    };
    struct PendingCall {
        rpc::FollowRequest request;
        rpc::Responder<rpc::FollowReply> respond;
        core::TimePoint holdEnd;
    };

    /** Keeps the call pending, unless close() was called. Returns whether it was kept. */
    bool keepPending(const PendingCall &call);
    /** Answers those of the pending calls of entry hosts within @p scope that the latest confirmation covers. */
    void answerConfirmed(core::TimePoint now, ConfirmedScope scope);
    /** Answers those of the pending calls for which @p isDue returns true. */
    void answerIf(const std::function<bool(const PendingCall &)> &isDue, core::TimePoint now);
    /**
     * Whether the caller should follow another control host: the last confirmation by a quorum is old, or it fails and
     * the caller can't act on the configuration that it has without one.
     */
    bool mustSwitchHost(const rpc::FollowRequest &request, core::TimePoint now) const;
    void recordCall(const rpc::FollowRequest &request, core::TimePoint now);
    bool hasUpdate(const rpc::FollowRequest &request, UpdateScope scope) const;
    void addControlHosts(rpc::FollowReply &reply) const;
    rpc::FollowReply answer(const rpc::FollowRequest &request, core::TimePoint now) const;
    std::uint64_t confirmedCall(const rpc::FollowRequest &request) const;
    std::uint64_t positionOf(const rpc::FollowRequest &request) const;
    void addConfiguration(const FileCompressor::ConfigurationRef &activeConfiguration,
                          std::uint64_t knownVersion,
                          rpc::Standing &message) const;

    const Dependencies m_dependencies;
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::vector<PendingCall> m_pendingCalls;
    /** The latest calls received. */
    CallNumbers m_receivedCalls;
    /** The calls covered by the latest confirmation. */
    CallNumbers m_confirmedCalls;
    /** Time of the latest confirmation; before the first one, of the first call. */
    std::optional<core::TimePoint> m_confirmedAt;
    bool m_isConfirmationFailing = false;
    bool m_closed = false;
    mutable FileCompressor m_fileCompressor;
};

} // namespace pimentoshed::control
