/**
 * @file
 * Holds the follow calls of entry hosts and of other control hosts until there is something new for them.
 */
#pragma once

#include "changes/ledger.h"
#include "control/filepacker.h"
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
 * Answers each call once: at the first change after it, or when its hold ends. Many targets and hosts change together,
 * so that their news waits to be told together; a new standing doesn't. A newcomer is led to a control host of its own
 * failure domain where there is one. Thread-safe; rank Connections.
 */
class FollowRpcHandler
{
public:
    /** What a call may be answered for. */
    enum class UpdateScope : std::uint8_t {
        Standing,
        /** That, and what changed of hosts and targets. */
        All,
    };

    /** Where the desk reads what is new. */
    struct Dependencies {
        std::function<std::shared_ptr<const changes::ActiveConfiguration>()> activeConfiguration;
        const membership::MembershipFeed &hub;
        core::FailureDomain domain;
        std::uint64_t feedId = 0;
        /** The control hosts that may be followed. */
        std::function<std::vector<membership::ControlHost>()> controlHosts;
    };

    explicit FollowRpcHandler(Dependencies sources);

    void take(const rpc::FollowRequest &request, const rpc::Responder<rpc::FollowReply> &respond, core::TimePoint now);

    /** Notes that the standing was confirmed as current after the arrival of the calls that @p asks names. */
    using CallNumbers = std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>;
    void confirm(const CallNumbers &asks, core::TimePoint now);

    /** The latest call of each entry host, by its id and incarnation. */
    CallNumbers asks() const;

    /** Answers the calls that @p news concerns, and those whose hold ended by @p now. */
    void serve(core::TimePoint now, UpdateScope news);

    /** Whether the asking host is new here and is to follow a control host of its own failure domain instead. */
    bool isRedirected(const rpc::FollowRequest &request) const;

    /** Answers every call held, and from now on each at once. */
    void close();

    std::size_t heldCount() const;

private:
    struct Held {
        rpc::FollowRequest request;
        rpc::Responder<rpc::FollowReply> respond;
        core::TimePoint until;
    };

    /** Keeps the call unless the desk is closed. Whether it was kept. */
    bool hold(const Held &held);
    /** Whether no quorum has confirmed this host for so long that entry hosts had better follow another. */
    bool isUnconfirmed(core::TimePoint now) const;
    void noteAsk(const rpc::FollowRequest &request, core::TimePoint now);
    bool hasNews(const rpc::FollowRequest &request, UpdateScope news) const;
    void addControlHosts(rpc::FollowReply &reply) const;
    rpc::FollowReply answer(const rpc::FollowRequest &request, core::TimePoint now) const;
    std::uint64_t confirmedAsk(const rpc::FollowRequest &request) const;
    std::uint64_t positionOf(const rpc::FollowRequest &request) const;
    void addStanding(const FilePacker::StandingRef &standing, std::uint64_t knownVersion, rpc::Standing &message) const;

    const Dependencies m_sources;
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::vector<Held> m_held;
    CallNumbers m_asks;
    CallNumbers m_confirmed;
    /** Of the latest confirmation, or of the first call. */
    std::optional<core::TimePoint> m_confirmedAt;
    bool m_closed = false;
    mutable FilePacker m_packer;
};

} // namespace pimentoshed::control
