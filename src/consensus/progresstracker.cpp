#include "consensus/progresstracker.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace pimentoshed::consensus
{

namespace
{

/** Rounds whose beginning is remembered; an acknowledgement of an older one counts for nothing. */
constexpr std::size_t RememberedRounds = 256;

/** The highest value that a quorum of @p members reaches. @p reached yields one member's. */
template<typename Value>
Value quorumValue(const Members &members, const std::function<Value(const MemberId &)> &reached)
{
    std::vector<Value> values;
    for (const auto &voter : members.voters) {
        values.push_back(reached(voter));
    }
    if (values.empty()) {
        return Value();
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[members.quorum() - 1];
}

} // namespace

void ProgressTracker::follow(const Members &members, const MemberId &self, LogIndex next, core::TimePoint now)
{
    auto wanted = members.voters;
    if (const auto learner = members.learner()) {
        wanted.push_back(*learner);
    }
    std::erase_if(m_peers, [&wanted](const auto &peer) {
        return std::find(wanted.begin(), wanted.end(), peer.first) == wanted.end();
    });
    for (const auto &member : wanted) {
        if (member != self) {
            PeerProgress peer;
            peer.next = next;
            peer.contact = now;
            m_peers.try_emplace(member, peer);
        }
    }
}

PeerProgress *ProgressTracker::find(const MemberId &member)
{
    const auto found = m_peers.find(member);
    return found == m_peers.end() ? nullptr : &found->second;
}

Round ProgressTracker::beginRound(core::TimePoint now)
{
    m_round = m_round.next();
    m_rounds.emplace_back(m_round, now);
    if (m_rounds.size() > RememberedRounds) {
        m_rounds.pop_front();
    }
    return m_round;
}

void ProgressTracker::acknowledge(PeerProgress &peer, Round round)
{
    const auto begun = std::lower_bound(m_rounds.begin(), m_rounds.end(), round, [](const auto &row, Round sought) {
        return row.first < sought;
    });
    if (begun == m_rounds.end() || begun->first != round) {
        return;
    }
    peer.acknowledged = std::max(peer.acknowledged, round);
    peer.contact = std::max(peer.contact, begun->second);
}

LogIndex ProgressTracker::quorumMatch(const Members &members, const LeaderProgress &own) const
{
    return quorumValue<LogIndex>(members, [this, &own](const MemberId &member) {
        return member == own.self ? own.durable : m_peers.at(member).match;
    });
}

Round ProgressTracker::quorumRound(const Members &members, const MemberId &self) const
{
    return quorumValue<Round>(members, [this, &self](const MemberId &member) {
        return member == self ? m_round : m_peers.at(member).acknowledged;
    });
}

core::TimePoint ProgressTracker::quorumContact(const Members &members, const LeaderProgress &own) const
{
    return quorumValue<core::TimePoint>(members, [this, &own](const MemberId &member) {
        return member == own.self ? own.now : m_peers.at(member).contact;
    });
}

} // namespace pimentoshed::consensus
