/**
 * @file
 * Computes the steps of a change of members.
 */
#pragma once

#include "consensus/replica.h"
#include "consensus/types.h"
#include "core/error.h"

#include <optional>

namespace pimentoshed::consensus
{

/** The state of the joining and the leaving member, as observed by the leader. */
struct MembersChangeStatus {
    /** Whether the joining member holds every committed entry durably; true if no member is joining. */
    bool isJoiningCaughtUp = false;
    /** Whether the leaving member was in contact with the leader within the last election timeout. */
    bool isLeavingReachable = false;
};

/**
 * Returns the members after the first step of @p change. SettingInvalid for a change that does not fit @p members,
 * ChangeNotCommitted while another change is running.
 */
core::Result<Members> firstStep(const Members &members, const MembersChange &change);

/**
 * Returns the members after the step that follows @p members, which must be committed. Returns nothing if no change is
 * running or while the joining member is behind. A leaving member that is unreachable is removed before its replacement
 * gets a vote, and one that is reachable afterwards, so that no step needs more live voters than necessary.
 */
std::optional<Members> nextStep(const Members &members, const MembersChangeStatus &status);

} // namespace pimentoshed::consensus
