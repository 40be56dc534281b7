/**
 * @file
 * Elections: pre-votes, votes and terms.
 */
#include "consensus/replicaimpl.h"

namespace pimentoshed::consensus
{

/** Requests pre-votes of the other voters, unless this member has no vote. Requests again after a time-out. */
void ReplicaImpl::startPreVote(core::TimePoint now)
{
    m_electionDeadline = now + randomised(m_timing.preVoteTimeout);
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

/** Starts the election itself: begins a new term, votes for itself and requests the votes of the other voters. */
void ReplicaImpl::startElection(core::TimePoint now, bool isHandover)
{
    m_electionDeadline = now + randomised(m_timing.campaignTimeout);
    setTerm(m_hardState.term.next(), m_self);
    setRole(Role::Candidate, std::nullopt);
    // This member's own vote counts only once it is durable.
    m_votes.clear();
    for (const auto &voter : m_log.members().voters) {
        if (voter != m_self) {
            send(voter, VoteRequest{m_hardState.term, m_log.last(), isHandover}, true);
        }
    }
}

/** Counts this member's own vote once it is durable. */
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
        startElection(now);
    } else if (m_role == Role::Candidate) {
        becomeLeader(now);
    }
}

void ReplicaImpl::handle(const MemberId &from, const PreVoteRequest &request, core::TimePoint now)
{
    const bool granted =
        request.term > m_hardState.term && m_log.isCandidateUpToDate(request.last) && !hasLeaderContact(now);
    send(from, PreVoteReply{m_hardState.term, request.term, granted}, true);
}

void ReplicaImpl::handle(const MemberId &from, const PreVoteReply &reply, core::TimePoint now)
{
    if (reply.term > m_hardState.term) {
        becomeFollower(reply.term, std::nullopt, now);
        return;
    }
    const bool isCurrent = m_role == Role::PreCandidate && reply.requestedTerm == m_hardState.term.next();
    if (isCurrent && reply.granted && m_log.members().isVoter(from)) {
        m_votes.insert(from);
        countVotes(now);
    }
}

void ReplicaImpl::handle(const MemberId &from, const VoteRequest &request, core::TimePoint now)
{
    if (request.term > m_hardState.term) {
        // A later term alone must not depose a leader that this member is in contact with.
        if (hasLeaderContact(now) && !request.isHandover) {
            return;
        }
        becomeFollower(request.term, std::nullopt, now);
    }
    const bool canVote = !m_hardState.votedFor || *m_hardState.votedFor == from;
    const bool granted = request.term == m_hardState.term && canVote && m_log.isCandidateUpToDate(request.last);
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
    const bool isCurrent = m_role == Role::Candidate && reply.term == m_hardState.term;
    if (isCurrent && reply.granted && m_log.members().isVoter(from)) {
        m_votes.insert(from);
        countVotes(now);
    }
}

void ReplicaImpl::handle(const MemberId &from, const HandoverRequest &request, core::TimePoint now)
{
    const bool isFromLeader = m_role == Role::Follower && m_leader == from && request.term == m_hardState.term;
    if (isFromLeader && m_log.members().isVoter(m_self)) {
        startElection(now, true);
    }
}

/** Whether this member leads, or has heard from a leader within the election timeout. */
bool ReplicaImpl::hasLeaderContact(core::TimePoint now) const
{
    return m_role == Role::Leader || (m_leader && now - m_lastLeaderContact < m_timing.electionTimeout);
}

void ReplicaImpl::resetElectionDeadline(core::TimePoint now)
{
    m_electionDeadline = now + randomised(m_timing.electionTimeout);
}

/** Returns a random duration of one to two times @p timeout. */
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
        m_outbox.addRoleChange({role, m_hardState.term, leader});
    }
    m_role = role;
    m_leader = leader;
}

} // namespace pimentoshed::consensus
