/**
 * @file
 * The steps of a change of members.
 */
#pragma once

#include "consensus/replica.h"
#include "consensus/types.h"
#include "core/error.h"

#include <optional>

namespace pimentoshed::consensus
{

/** What a leader sees of the members that a change is about. */
struct MembersChangeStatus {
    /** The joining member holds everything committed, durably. */
    bool joiningHoldsAll = false;
    /** The leaving member was heard of lately. */
    bool leavingAlive = false;
};

/** The first step of @p change from @p members. */
core::Result<Members> firstStep(const Members &members, const MembersChange &change);

/**
 * The step that follows @p members, once those are committed; none while the joining member is behind. A dead member
 * leaves before its replacement gets a vote, a live one after it, so that no step needs more live voters than it must.
 */
std::optional<Members> nextStep(const Members &members, const MembersChangeStatus &outlook);

} // namespace pimentoshed::consensus
