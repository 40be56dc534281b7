/**
 * @file
 * Which entry host may send to a cold target. One host at most at any time, through changes of the hosts.
 */
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "membership/permission.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pimentoshed::membership
{

/** One process of an entry host. A restarted host is another member. */
struct Member {
    core::HostId id;
    std::uint64_t incarnation = 0;
    core::FailureDomain domain;

    auto operator<=>(const Member &) const = default;
};

/** The entry hosts that share out the targets. Numbers rise; a number never names two views. */
struct OwnershipView {
    std::uint64_t number = 0;
    std::vector<Member> members;

    bool operator==(const OwnershipView &) const = default;
};

/**
 * The member that owns @p target, of failure domain @p domain: the one of that domain with the highest hash, or of all
 * where the domain has none. nullptr where there are no members. The order of members doesn't matter.
 */
const Member *ownerOf(const OwnershipView &view, const core::TargetId &target, const core::FailureDomain &domain);

/**
 * One host's side. It stops using what a newer view takes from it when it learns of that view, and uses what a view
 * gives it once that view is settled. Not thread-safe.
 */
class OwnershipParticipant
{
public:
    OwnershipParticipant(core::HostId self, std::uint64_t incarnation);

    /** Takes a view if it is newer. */
    void addView(const OwnershipView &view);

    /** Takes the word that view @p number is settled. Ignored unless it is the newest view known here. */
    void settle(std::uint64_t number);

    /**
     * Takes, at @p now, a confirmation of a question asked at @p asked. Whether permission had ended before: another
     * host may then have owned anything meanwhile, and nothing is owned until the newest view settles again.
     */
    bool confirm(core::TimePoint asked, core::TimePoint now, core::Duration permission);

    /** The view to acknowledge: once this is sent, nothing that the view takes away is used any more. */
    std::uint64_t acknowledged() const;

    /** Whether this host may send to @p target at @p now, where permission lasts for @p permission. */
    bool owns(const core::TargetId &target,
              const core::FailureDomain &domain,
              core::TimePoint now,
              core::Duration permission) const;

    /** Whether every view since the last settled one gives @p target to this host. */
    bool ownsInAllViews(const core::TargetId &target, const core::FailureDomain &domain) const;

private:
    const core::HostId m_self;
    const std::uint64_t m_incarnation;
    /** The newest settled view, if any, and those learned since. */
    std::vector<OwnershipView> m_views;
    bool m_settled = false;
    Permission m_permission;
};

/**
 * The control hosts' side, run by their leader. Only the newest view can settle, so that a host that has skipped a
 * view can't be taken for one that has given up what that view took from it. Settled numbers may be passed on only
 * after the leader has confirmed with a quorum that it still leads. Not thread-safe.
 */
class OwnershipCoordinator
{
public:
    /** Starts from the newest view. Its members, and @p others that may still act, count as heard at @p now. */
    OwnershipCoordinator(OwnershipView view,
                         const std::vector<Member> &others,
                         core::TimePoint now,
                         core::Duration permission);

    /** Replaces the view where @p members differ from it. Whether it did. */
    bool propose(std::vector<Member> members);

    /** Takes a question of @p member, which has acknowledged view @p acknowledged. */
    void recordPoll(const Member &member, std::uint64_t acknowledged, core::TimePoint now);

    /** Takes the word that @p member has stopped and will send nothing more. */
    void removeMember(const Member &member);

    const OwnershipView &view() const;

    /** The number of the newest view if every host that may act has acknowledged it. */
    std::optional<std::uint64_t> settled(core::TimePoint now) const;

    /** The most recent hosts that may still act, for the next leader. */
    std::vector<Member> acting(core::TimePoint now) const;

private:
    struct Acting {
        std::uint64_t acknowledged = 0;
        core::TimePoint permissionEnd{};
    };

    OwnershipView m_view;
    const core::Duration m_permission;
    std::map<Member, Acting> m_acting;
};

} // namespace pimentoshed::membership
