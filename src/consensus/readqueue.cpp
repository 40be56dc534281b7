#include "consensus/readqueue.h"

#include <iterator>
#include <utility>

namespace pimentoshed::consensus
{

void ReadQueue::add(ReadToken token)
{
    m_waiting.push_back(token);
}

bool ReadQueue::needsRound() const
{
    return !m_waiting.empty() && m_pendingRounds.empty();
}

void ReadQueue::beginRound(Round round, LogIndex commit)
{
    if (!m_waiting.empty()) {
        m_pendingRounds.push_back({round, {std::exchange(m_waiting, {}), commit}});
    }
}

std::vector<ReadQueue::ConfirmedReads> ReadQueue::takeConfirmed(Round acknowledged)
{
    std::vector<ConfirmedReads> confirmed;
    auto end = m_pendingRounds.begin();
    for (; end != m_pendingRounds.end() && end->round <= acknowledged; ++end) {
        confirmed.push_back(std::move(end->reads));
    }
    m_pendingRounds.erase(m_pendingRounds.begin(), end);
    return confirmed;
}

std::vector<ReadToken> ReadQueue::takeAll()
{
    auto tokens = std::exchange(m_waiting, {});
    for (const auto &round : std::exchange(m_pendingRounds, {})) {
        tokens.insert(tokens.end(), round.reads.tokens.begin(), round.reads.tokens.end());
    }
    return tokens;
}

std::size_t ReadQueue::size() const
{
    auto size = m_waiting.size();
    for (const auto &round : m_pendingRounds) {
        size += round.reads.tokens.size();
    }
    return size;
}

} // namespace pimentoshed::consensus
