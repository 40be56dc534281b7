/**
 * @file
 * Determines which entry host may send to a cold target: at most one at any time, even while the set of hosts changes.
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

/** One process of an entry host. After a restart the host is a different member. */
struct Member {
    core::HostId id;
    std::uint64_t incarnation = 0;
    core::FailureDomain domain;

    auto operator<=>(const Member &) const = default;
};

/** The entry hosts among which the cold targets are divided. View numbers increase and are never reused. */
struct OwnershipView {
    std::uint64_t number = 0;
    std::vector<Member> members;

    bool operator==(const OwnershipView &) const = default;
};

/**
 * Returns the member that owns @p target, which is in failure domain @p domain: the member of that domain with the
 * highest rendezvous weight, or of all members if the domain has none. Returns nullptr if the view has no members. The
 * order of the members doesn't matter.
 */
const Member *ownerOf(const OwnershipView &view, const core::TargetId &target, const core::FailureDomain &domain);

/**
 * An entry host's side of the ownership protocol. The host stops using a target as soon as it receives a view that
 * assigns the target to another member, and starts to use a target only when the view that assigns it to this host is
 * settled: every member that may still send has acknowledged it. Not thread-safe.
 */
class OwnershipParticipant
{
public:
    OwnershipParticipant(core::HostId self, std::uint64_t incarnation);

    /** Adds @p view if it is newer than the newest one here. */
    void addView(const OwnershipView &view);

    /** Marks view @p number as settled. Ignored unless it is the newest view here. */
    void settle(std::uint64_t number);

    /**
     * Processes, at @p now, the confirmation of a call sent at @p sent. Returns whether the permission had ended
     * before. In that case another host may have owned any target meanwhile, so this host owns none until the newest
     * view is settled again.
     */
    bool confirm(core::TimePoint sent, core::TimePoint now, core::Duration permission);

    /**
     * Returns the number of the view to acknowledge, the newest one. The acknowledgement states that this host no
     * longer uses any target that the view assigns to another member.
     */
    std::uint64_t acknowledged() const;

    /** Whether this host may send to @p target at @p now. @p permission is the length of a permission. */
    bool owns(const core::TargetId &target,
              const core::FailureDomain &domain,
              core::TimePoint now,
              core::Duration permission) const;

    /** Whether the last settled view and every later one assign @p target to this host. */
    bool ownsInAllViews(const core::TargetId &target, const core::FailureDomain &domain) const;

private:
    const core::HostId m_self;
    const std::uint64_t m_incarnation;
    /** The newest settled view, if any, and the views added since. */
    std::vector<OwnershipView> m_views;
    bool m_settled = false;
    Permission m_permission;
};

/**
 * The control hosts' side of the ownership protocol, run by their leader. Only the newest view can become settled: an
 * acknowledgement of a later view must not count for an earlier one that the host never received, because the host may
 * have kept using targets which that view assigned to others. The leader may send the number of a settled view only
 * after a quorum has confirmed that it still leads. Not thread-safe.
 */
class OwnershipCoordinator
{
public:
    /**
     * Starts from the newest view. Its members, and @p others that may still send to targets, count as having polled at
     * @p now.
     */
    OwnershipCoordinator(OwnershipView view,
                         const std::vector<Member> &others,
                         core::TimePoint now,
                         core::Duration permission);

    /** Starts a new view if @p members differ from those of the present one. Returns whether it did. */
    bool propose(std::vector<Member> members);

    /** Records a poll of @p member at @p now, which has acknowledged view @p acknowledged. */
    void recordPoll(const Member &member, std::uint64_t acknowledged, core::TimePoint now);

    /** Removes @p member, which has stopped and will send nothing more to targets. */
    void removeMember(const Member &member);

    const OwnershipView &view() const;

    /** Returns the number of the newest view if every host that may still send to targets has acknowledged it. */
    std::optional<std::uint64_t> settled(core::TimePoint now) const;

    /** Returns the hosts that may still send to targets at @p now, for the next leader. */
    std::vector<Member> activeMembers(core::TimePoint now) const;

private:
    /** A member that may still send to targets. */
    struct ActiveMember {
        std::uint64_t acknowledged = 0;
        core::TimePoint permissionEnd{};
    };

    OwnershipView m_view;
    const core::Duration m_permission;
    std::map<Member, ActiveMember> m_activeMembers;
};

} // namespace pimentoshed::membership
