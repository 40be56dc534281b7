#include "consensus/progresstracker.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace pimentoshed::consensus
{

namespace
{

/** The number of rounds whose beginning is kept. An acknowledgement of an older round is ignored. */
constexpr std::size_t MaxKeptRounds = 256;

/** Returns the highest value that a quorum of @p members reaches. @p valueOf returns the value of one member. */
template<typename Value>
Value quorumValue(const Members &members, const std::function<Value(const MemberId &)> &valueOf)
{
    std::vector<Value> values;
    for (const auto &voter : members.voters) {
        values.push_back(valueOf(voter));
    }
    if (values.empty()) {
        return Value();
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[members.quorum() - 1];
}

} // namespace

void ProgressTracker::updateMembers(const Members &members,
                                    const MemberId &self,
                                    LogIndex nextIndex,
                                    core::TimePoint now)
{
    auto tracked = members.voters;
    if (const auto learner = members.learner()) {
        tracked.push_back(*learner);
    }
    std::erase_if(m_peers, [&tracked](const auto &peer) {
        return std::find(tracked.begin(), tracked.end(), peer.first) == tracked.end();
    });
    for (const auto &member : tracked) {
        if (member != self) {
            PeerProgress peer;
            peer.next = nextIndex;
            peer.lastContact = now;
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
    if (m_rounds.size() > MaxKeptRounds) {
        m_rounds.pop_front();
    }
    return m_round;
}

void ProgressTracker::recordAcknowledgement(PeerProgress &peer, Round round)
{
    const auto found = std::lower_bound(m_rounds.begin(), m_rounds.end(), round, [](const auto &entry, Round sought) {
        return entry.first < sought;
    });
    if (found == m_rounds.end() || found->first != round) {
        return;
    }
    peer.acknowledged = std::max(peer.acknowledged, round);
    peer.lastContact = std::max(peer.lastContact, found->second);
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

std::optional<MemberId> ProgressTracker::mostCompleteVoter(const Members &members) const
{
    const std::pair<const MemberId, PeerProgress> *best = nullptr;
    for (const auto &peer : m_peers) {
        const bool isBetter = best == nullptr
                              || std::pair(peer.second.match, peer.second.lastContact)
                                     > std::pair(best->second.match, best->second.lastContact);
        if (members.isVoter(peer.first) && isBetter) {
            best = &peer;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->first);
}

core::TimePoint ProgressTracker::quorumContact(const Members &members, const LeaderProgress &own) const
{
    return quorumValue<core::TimePoint>(members, [this, &own](const MemberId &member) {
        return member == own.self ? own.now : m_peers.at(member).lastContact;
    });
}

} // namespace pimentoshed::consensus
