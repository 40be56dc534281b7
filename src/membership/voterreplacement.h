/**
 * @file
 * Decides when a new member becomes a voter of the replicated log, and which voter it replaces.
 */
#pragma once

#include "consensus/replica.h"
#include "core/time.h"

#include <optional>
#include <vector>

namespace pimentoshed::membership
{

/**
 * A voter that has acknowledged nothing for this time may be replaced by a new member. Twice the duration of an
 * election, so that a slow voter isn't replaced.
 */
inline constexpr core::Duration VoterReplacementDelay = std::chrono::seconds(2);

/** The state of one voter as its leader sees it. */
struct VoterStatus {
    consensus::MemberId member;
    /** Time since the voter's last acknowledgement. */
    core::Duration sinceAcknowledgement{};
};

/**
 * Returns the membership change that makes @p newMember a voter, or nothing if it is one already or has to wait. A
 * member on a host that is a voter with another disk replaces that voter. Otherwise it is added if there are fewer
 * voters than @p maxVoters; if not, it replaces the voter with the longest time since its last acknowledgement, if that
 * is at least @c VoterReplacementDelay. @p voters are the present voters, the leader included.
 */
std::optional<consensus::MembersChange> voterChangeFor(const consensus::MemberId &newMember,
                                                       const std::vector<VoterStatus> &voters,
                                                       std::size_t maxVoters);

} // namespace pimentoshed::membership
