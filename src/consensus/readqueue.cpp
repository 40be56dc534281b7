#include "consensus/readqueue.h"

#include <iterator>
#include <utility>

namespace pimentoshed::consensus
{

void ReadQueue::add(ReadToken token)
{
    m_waiting.push_back(token);
}

bool ReadQueue::wantsRound() const
{
    return !m_waiting.empty() && m_underWay.empty();
}

void ReadQueue::begin(Round round, LogIndex commit)
{
    if (!m_waiting.empty()) {
        m_underWay.push_back({round, {std::exchange(m_waiting, {}), commit}});
    }
}

std::vector<ReadQueue::Confirmed> ReadQueue::confirm(Round acknowledged)
{
    std::vector<Confirmed> confirmed;
    auto end = m_underWay.begin();
    for (; end != m_underWay.end() && end->round <= acknowledged; ++end) {
        confirmed.push_back(std::move(end->reads));
    }
    m_underWay.erase(m_underWay.begin(), end);
    return confirmed;
}

std::vector<ReadToken> ReadQueue::clear()
{
    auto tokens = std::exchange(m_waiting, {});
    for (const auto &round : std::exchange(m_underWay, {})) {
        tokens.insert(tokens.end(), round.reads.tokens.begin(), round.reads.tokens.end());
    }
    return tokens;
}

std::size_t ReadQueue::size() const
{
    auto size = m_waiting.size();
    for (const auto &round : m_underWay) {
        size += round.reads.tokens.size();
    }
    return size;
}

} // namespace pimentoshed::consensus
