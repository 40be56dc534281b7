/**
 * @file
 * The answers to earlier changes, so that a change that is sent again gets the same answer.
 */
#pragma once

#include "changes/digest.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace pimentoshed::changes
{

/** A change that was answered, and its answer. */
struct AnsweredChange {
    core::ChangeId id;
    Digest digest;
    Answer answer;

    bool operator==(const AnsweredChange &) const = default;
};

/** The number of accepted changes whose answers are kept. */
inline constexpr std::size_t MaxAcceptedAnswers = 4096;
/**
 * The number of refused changes whose answers are kept. They have a limit of their own, so that refusals never evict
 * the answers of accepted changes.
 */
inline constexpr std::size_t MaxRefusedAnswers = 1024;

/** The latest answers: up to MaxAcceptedAnswers of accepted and up to MaxRefusedAnswers of refused changes. */
class AnswerHistory
{
public:
    /** Returns the change with this id and its answer, or nullptr if none is kept. */
    const AnsweredChange *find(const core::ChangeId &id) const;

    /**
     * Adds an answer under an id that has none yet. Evicts the oldest answer of the same kind, accepted or refused, if
     * their number exceeds the limit.
     */
    void add(AnsweredChange answered);

    /** Returns all answers: first the accepted ones, then the refused ones, each from the oldest on. */
    std::vector<AnsweredChange> all() const;

private:
    std::map<core::ChangeId, AnsweredChange> m_byId;
    std::deque<core::ChangeId> m_accepted;
    std::deque<core::ChangeId> m_refused;
};

} // namespace pimentoshed::changes
