/**
 * @file
 * Keeps an entry host's cluster view current by long polls of one control host at a time, and reports announcements of
 * targets to that control host.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "entry/clusterview.h"
#include "entry/followbackoff.h"
#include "rollouts/counttable.h"
#include "rpc/controlclient.h"
#include "targets/targettable.h"
#include "telemetry/metrics.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimentoshed::entry
{

/**
 * Sends one follow call after another, each of which the control host holds until it has updates (long poll). After a
 * failed call it moves to the next control host. Thread-safe; lock rank Connections.
 */
class ControlFeedClient : public std::enable_shared_from_this<ControlFeedClient>
{
public:
    struct Dependencies {
        core::WorkerPool &pool;
        core::TimerService &timers;
        ClusterView &view;
        targets::TargetTable &targets;
        /** Returns this host's current record. */
        std::function<membership::EntryHost()> self;
        configuration::FileParser parser;
        /** Called with each new active configuration before the view returns it. */
        std::function<void(const changes::ActiveConfiguration &)> beforeAdopt;
        /** Called after each reply with updates has been processed. */
        std::function<void()> onUpdatesApplied;
        /** Called for each message to or from a control host, with its encoded size in bytes. */
        std::function<void(telemetry::ControlMessage, telemetry::Direction, std::size_t)> onMessage;
    };

    ControlFeedClient(Dependencies dependencies, const std::vector<std::string> &controlAddresses);

    void start();
    void stop();

    /** Adds the addresses that are not known yet to the list of control hosts. */
    void addControlHosts(const std::vector<std::string> &addresses);

    /** Sends this host's current record to the control host at once, beside the pending long poll. */
    void sendOwnRecord();

    /** Passes a lease call to the control host, or to the next one after calls that failed. */
    void lease(const rpc::LeaseRequest &request, core::Duration timeout, const rpc::ReplyHook<rpc::LeaseReply> &hook);

    /** Reports @p target's announcement to the control host; repeated until a report arrives. */
    void report(const targets::Target &target);

    /** Reports @p counts once: later ones contain them. */
    void reportCounts(const std::vector<rollouts::HostCounts> &counts);

private:
    struct ControlHostEntry {
        std::string address;
        core::FailureDomain domain;
        std::shared_ptr<rpc::ControlClient> client;
        /** A local control host that failed isn't preferred before this time. */
        core::TimePoint avoidUntil{};
    };

    /** Sends the next follow call. */
    void poll();
    rpc::FollowRequest makeRequest() const;
    /** Records the time of a new follow call and returns the call's number. */
    std::uint64_t recordCall();
    /** Takes over the reply's list of control hosts, if it has one; follows the same control host if it is listed. */
    void replaceControlHosts(const rpc::FollowReply &reply);
    /** Switches to a local control host (of the own failure domain), if there is one that has not failed recently. */
    void preferLocal();
    /** Processes the result of a follow call that would have timed out at @p callEnd, and schedules the next call. */
    void processReply(const core::Result<rpc::FollowReply> &reply, core::TimePoint callEnd);
    /**
     * Applies the reply's updates. Returns false, and applies nothing, if the reply's active configuration can't be
     * decoded.
     */
    bool applyUpdates(const rpc::FollowReply &reply);
    /**
     * Stores @p target's record from the feed. If the record ends a lease that this host keeps, or is that of an
     * earlier incarnation than this host's, reports this host's record to the control host.
     */
    void updateTarget(const targets::Target &target);
    /** Records that the call named by the reply was confirmed. */
    void confirm(const rpc::FollowReply &reply);
    /** Returns when the call numbered @p callNumber was sent, and forgets that call and all earlier ones. */
    std::optional<core::TimePoint> takeCallTime(std::uint64_t callNumber);
    /** Whether the stored configuration counts as current. */
    bool isCurrent() const;
    /** Whether the control host has confirmed no call for ConfirmTimeout. */
    bool isUnconfirmedTooLong() const;
    /** Reports all targets whose leases this host keeps. */
    void reportOwnTargets();
    void sendReports();
    /** Reports what is pending after a report has arrived; after a failed one, repeats it with a delay. */
    void onReportEnd(const std::vector<targets::Target> &sent, bool arrived);
    core::Duration followTimeout() const;
    /** Returns the address of the control host that is followed now. */
    std::string followedAddress() const;
    /** Ends the backoff after a response of the control host. */
    void recordResponse();
    /** Switches to the next control host, avoids the present one for a while, and schedules the next call. */
    void pollNextControlHost(FollowFailure failure);
    /** Whether a control host of the own failure domain has failed recently. */
    bool avoidsLocal() const;
    /** Adopts the reply's active configuration, if it has one. Returns false if it can't be decoded. */
    bool applyConfiguration(const rpc::FollowReply &reply);
    void runAfter(core::Duration delay, void (ControlFeedClient::*step)());
    std::shared_ptr<rpc::ControlClient> client() const;
    std::shared_ptr<rpc::ControlClient> leaseClient() const;
    void recordLeaseReply(bool arrived);

    const Dependencies m_dependencies;
    std::atomic<bool> m_stopped{false};
    /**
     * Set when an active configuration could not be decoded, which may happen if it refers to a file that this host
     * doesn't have. The next calls then ask for the complete file.
     */
    std::atomic<bool> m_needsCompleteFile{false};
    std::atomic<std::uint64_t> m_feedId{0};
    std::atomic<std::uint64_t> m_feedPosition{0};
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    /** Never empty. */
    std::vector<ControlHostEntry> m_controlHosts;
    /** Index in m_controlHosts of the control host that is followed. */
    std::size_t m_followed = 0;
    FollowBackoff m_backoff;
    /** Number of consecutive failed lease calls. */
    std::size_t m_leaseFailures = 0;
    /** When each follow call that is not yet confirmed was sent, by its number. */
    std::map<std::uint64_t, core::TimePoint> m_callTimes;
    /** Number of the latest follow call. */
    std::uint64_t m_lastCall = 0;
    /** When the last confirmed call was sent, or when this host switched control hosts, if that was later. */
    core::TimePoint m_lastConfirmed;
    /** Targets whose announcement is still to be reported. */
    std::unordered_map<core::TargetId, targets::Target> m_pending;
    /** Whether a report is in progress or scheduled. */
    bool m_isReporting = false;
    core::TimerSubscription m_pollTimer;
    core::TimerSubscription m_reportTimer;
};

} // namespace pimentoshed::entry
