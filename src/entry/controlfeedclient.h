/**
 * @file
 * Keeps an entry host's view current by following one control host at a time, and reports its targets' words there.
 */
#pragma once

#include "core/rankedmutex.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "entry/clusterview.h"
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

/** Follows until stopped. Thread-safe; rank Connections. */
class ControlFeedClient : public std::enable_shared_from_this<ControlFeedClient>
{
public:
    struct Dependencies {
        core::WorkerPool &pool;
        core::TimerService &timers;
        ClusterView &view;
        targets::TargetTable &targets;
        std::function<membership::EntryHost()> self;
        configuration::FileParser parser;
        /** Takes each new standing before the view shows it. */
        std::function<void(const changes::ActiveConfiguration &)> beforeAdopt;
        /** Called after each reply was taken. */
        std::function<void()> afterReply;
        /** Hears of each message with its encoded bytes. */
        std::function<void(telemetry::ControlMessage, telemetry::Direction, std::size_t)> traffic;
    };

    ControlFeedClient(Dependencies parts, const std::vector<std::string> &controlAddresses);

    void start();
    void stop();

    /** Adds control hosts that are not known yet. */
    void addControlHosts(const std::vector<std::string> &addresses);

    /** Asks again at once, to pass on what this host says of itself. */
    void tell();

    /** Passes @p target's word on to the control hosts. */
    void report(const targets::Target &target);

private:
    struct Control {
        std::string address;
        core::FailureDomain domain;
        std::shared_ptr<rpc::ControlClient> client;
        /** Until then it is not preferred, as it has failed. */
        core::TimePoint avoidUntil{};
    };

    void ask();
    rpc::FollowRequest question() const;
    std::uint64_t noteAsked();
    void adoptControlHosts(const rpc::FollowReply &reply);
    /** Moves to a control host of the own failure domain where there is one that answers. */
    void preferNear();
    void take(const core::Result<rpc::FollowReply> &reply);
    /** Whether the reply's standing could be read; nothing of it is taken otherwise. */
    bool adopt(const rpc::FollowReply &reply);
    void learn(const targets::Target &target);
    void confirm(const rpc::FollowReply &reply);
    /** When the call numbered @p ask was made; it and those before it are forgotten. */
    std::optional<core::TimePoint> takeAsked(std::uint64_t ask);
    bool unconfirmedForLong() const;
    void reportAllOwn();
    void sendReports();
    void reportEnded(const std::vector<targets::Target> &sent, bool arrived);
    unsigned backoff() const;
    /** The address of the control host that is followed. */
    std::string followed() const;
    void noteAnswer();
    /** Turns to another control host, and for a while not back to this one. */
    void moveOn();
    /** Whether the control host of the own failure domain, if any is known, has just failed. */
    bool avoidsNear() const;
    bool adoptStanding(const rpc::FollowReply &reply);
    void later(core::Duration delay, void (ControlFeedClient::*step)());
    std::shared_ptr<rpc::ControlClient> client() const;

    const Dependencies m_parts;
    std::atomic<bool> m_stopped{false};
    /** Whether a file could not be read that leaned on the one in force. */
    std::atomic<bool> m_wantsWhole{false};
    std::atomic<std::uint64_t> m_feedId{0};
    std::atomic<std::uint64_t> m_feedPosition{0};
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    /** Never empty. */
    std::vector<Control> m_controls;
    std::size_t m_chosen = 0;
    /** Whether any control host has answered. */
    bool m_answered = false;
    /** Calls in a row that failed. */
    std::size_t m_failures = 0;
    /** When each call that is not yet confirmed was made. */
    std::map<std::uint64_t, core::TimePoint> m_asked;
    std::uint64_t m_lastAsk = 0;
    core::TimePoint m_lastConfirmed;
    std::unordered_map<core::TargetId, targets::Target> m_pending;
    bool m_reporting = false;
    core::TimerSubscription m_askTimer;
    core::TimerSubscription m_reportTimer;
};

} // namespace pimentoshed::entry
