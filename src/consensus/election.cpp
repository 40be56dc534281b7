/**
 * @file
 * Elections: pre-votes, votes, terms.
 */
#include "consensus/replicaimpl.h"

namespace pimentoshed::consensus
{

void ReplicaImpl::campaign(core::TimePoint now)
{
    m_electionDeadline = now + randomised(m_timing.campaignTimeout);
    if (!m_log.members().isVoter(m_self)) {
        return;
    }
    setRole(Role::PreCandidate, std::nullopt);
    m_votes = {m_self};
    for (const auto &voter : m_log.members().voters) {
        if (voter != m_self) {
            send(voter, PreVoteRequest{m_hardState.term.next(), m_log.last()}, false);
        }
    }
    countVotes(now);
}

void ReplicaImpl::startVote(core::TimePoint now)
{
    m_electionDeadline = now + randomised(m_timing.campaignTimeout);
    setTerm(m_hardState.term.next(), m_self);
    setRole(Role::Candidate, std::nullopt);
    m_votes.clear();
    for (const auto &voter : m_log.members().voters) {
        if (voter != m_self) {
            send(voter, VoteRequest{m_hardState.term, m_log.last()}, true);
        }
    }
}

void ReplicaImpl::countOwnVote(core::TimePoint now)
{
    if (m_outbox.durableState() == m_hardState) {
        m_votes.insert(m_self);
        countVotes(now);
    }
}

void ReplicaImpl::countVotes(core::TimePoint now)
{
    if (m_votes.size() < m_log.members().quorum()) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        startVote(now);
    } else if (m_role == Role::Candidate) {
        becomeLeader(now);
    }
}

void ReplicaImpl::handle(const MemberId &from, const PreVoteRequest &request, core::TimePoint now)
{
    const bool granted = request.term > m_hardState.term && m_log.isCoveredBy(request.last) && !hearsLeader(now);
    send(from, PreVoteReply{m_hardState.term, request.term, granted}, true);
}

void ReplicaImpl::handle(const MemberId &from, const PreVoteReply &reply, core::TimePoint now)
{
    if (reply.term > m_hardState.term) {
        becomeFollower(reply.term, std::nullopt, now);
        return;
    }
    const bool current = m_role == Role::PreCandidate && reply.requestedTerm == m_hardState.term.next();
    if (current && reply.granted && m_log.members().isVoter(from)) {
        m_votes.insert(from);
        countVotes(now);
    }
}

void ReplicaImpl::handle(const MemberId &from, const VoteRequest &request, core::TimePoint now)
{
    if (request.term > m_hardState.term) {
        if (hearsLeader(now)) {
            return;
        }
        becomeFollower(request.term, std::nullopt, now);
    }
    const bool free = !m_hardState.votedFor || *m_hardState.votedFor == from;
    const bool granted = request.term == m_hardState.term && free && m_log.isCoveredBy(request.last);
    if (granted) {
        if (!m_hardState.votedFor) {
            setTerm(m_hardState.term, from);
        }
        resetElectionDeadline(now);
    }
    send(from, VoteReply{m_hardState.term, granted}, true);
}

void ReplicaImpl::handle(const MemberId &from, const VoteReply &reply, core::TimePoint now)
{
    if (reply.term > m_hardState.term) {
        becomeFollower(reply.term, std::nullopt, now);
        return;
    }
    const bool current = m_role == Role::Candidate && reply.term == m_hardState.term;
    if (current && reply.granted && m_log.members().isVoter(from)) {
        m_votes.insert(from);
        countVotes(now);
    }
}

bool ReplicaImpl::hearsLeader(core::TimePoint now) const
{
    return m_role == Role::Leader || (m_leader && now - m_leaderHeard < m_timing.electionTimeout);
}

void ReplicaImpl::resetElectionDeadline(core::TimePoint now)
{
    m_electionDeadline = now + randomised(m_timing.electionTimeout);
}

/** One to two times @p timeout. */
core::Duration ReplicaImpl::randomised(core::Duration timeout) const
{
    return timeout + core::Duration(core::randomBelow(m_random, static_cast<std::size_t>(timeout.count())));
}

void ReplicaImpl::becomeFollower(Term term, const std::optional<MemberId> &leader, core::TimePoint now)
{
    if (term > m_hardState.term) {
        setTerm(term, std::nullopt);
    }
    if (m_role == Role::Leader) {
        failReads(core::ErrorCode::NoQuorum);
        m_progress = ProgressTracker();
        resetElectionDeadline(now);
    }
    m_votes.clear();
    setRole(Role::Follower, leader);
}

void ReplicaImpl::setTerm(Term term, const std::optional<MemberId> &votedFor)
{
    m_hardState = {term, votedFor};
    m_outbox.store(m_hardState);
}

void ReplicaImpl::setRole(Role role, const std::optional<MemberId> &leader)
{
    if (m_role != role || m_leader != leader) {
        m_outbox.note({role, m_hardState.term, leader});
    }
    m_role = role;
    m_leader = leader;
}

} // namespace pimentoshed::consensus
