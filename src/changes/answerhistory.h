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
struct AnsweredChange {
    core::ChangeId id;
    Digest digest;
    Answer answer;

    bool operator==(const AnsweredChange &) const = default;
};

/** Accepted changes whose answers are kept. */
inline constexpr std::size_t MaxAcceptedAnswers = 4096;
/** Refused changes whose answers are kept; apart, so that refusals never push out what was accepted. */
inline constexpr std::size_t MaxRefusedAnswers = 1024;

/** The latest answers, bounded by number. */
class AnswerHistory
{
public:
    /** The answer that the change called @p id got, or nullptr. */
    const AnsweredChange *find(const core::ChangeId &id) const;

    /** Remembers an answer whose id is not known yet; the oldest of its kind goes where there are too many. */
    void add(AnsweredChange answered);

    /** Every answer, accepted ones first, each kind from the oldest on. */
    std::vector<AnsweredChange> all() const;

private:
    std::map<core::ChangeId, AnsweredChange> m_byId;
    std::deque<core::ChangeId> m_accepted;
    std::deque<core::ChangeId> m_refused;
};

} // namespace pimentoshed::changes
