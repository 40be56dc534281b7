/**
 * @file
 * The answers that changes got, for changes that are sent again.
 */
#pragma once

#include "changes/digest.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace pimentoshed::changes
{

/** One change's answer. */
struct Answered {
    core::ChangeId id;
    Digest digest;
    Answer answer;

    bool operator==(const Answered &) const = default;
};

/** Accepted changes whose answers are kept. */
inline constexpr std::size_t AcceptedKept = 4096;
/** Refused changes whose answers are kept; apart, so that refusals never push out what was accepted. */
inline constexpr std::size_t RefusedKept = 1024;

/** The latest answers, bounded by number. */
class Answers
{
public:
    /** The answer that the change called @p id got, or nullptr. */
    const Answered *find(const core::ChangeId &id) const;

    /** Remembers an answer whose id is not known yet; the oldest of its kind goes where there are too many. */
    void add(Answered answered);

    /** Every answer, accepted ones first, each kind from the oldest on. */
    std::vector<Answered> all() const;

private:
    std::map<core::ChangeId, Answered> m_byId;
    std::deque<core::ChangeId> m_accepted;
    std::deque<core::ChangeId> m_refused;
};

} // namespace pimentoshed::changes
