/**
 * @file
 * Which control hosts take part in the replicated log: when a newcomer gets a seat, and whose.
 */
#pragma once

#include "consensus/replica.h"
#include "core/time.h"

#include <optional>
#include <vector>

namespace pimentoshed::membership
{

/** A voter that acknowledged nothing for so long gives its seat to a newcomer; twice an election, so that a slow one
 * keeps it. */
inline constexpr core::Duration VoterReplacementDelay = std::chrono::seconds(2);

/** What a leader knows of one voter. */
struct VoterStatus {
    consensus::MemberId member;
    /** Since its last acknowledgement. */
    core::Duration silence{};
};

/**
 * The change that seats @p newcomer, or nothing while it has to wait. A host with another disk takes its own old seat,
 * a free seat is taken at once, and of the others the one that is silent for longest, if for @c VoterReplacementDelay.
 * @p seats are the present voters, the leader included; @p most how many there may be.
 */
std::optional<consensus::MembersChange> voterChangeFor(const consensus::MemberId &newcomer,
                                                       const std::vector<VoterStatus> &seats,
                                                       std::size_t most);

} // namespace pimentoshed::membership
