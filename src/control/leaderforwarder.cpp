#include "control/leaderforwarder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentoshed::control
{

namespace
{

constexpr auto SubmitTimeout = std::chrono::seconds(6);
constexpr auto ConfirmTimeout = std::chrono::seconds(1);
/** How long a change waits for the election of a leader. */
constexpr auto LeaderWaitLimit = std::chrono::seconds(5);

core::Result<std::string> readReply(const core::Result<rpc::SubmitReply> &reply)
{
    if (!core::ok(reply)) {
        // The leader may have received the change although no reply arrived.
        return core::Error{core::ErrorCode::ChangeNotCommitted, core::error(reply).detail};
    }
    const auto &message = core::value(reply);
    if (message.error() != 0) {
        return core::Error{static_cast<core::ErrorCode>(message.error()), message.detail()};
    }
    return message.answer();
}

} // namespace

LeaderForwarder::LeaderForwarder(Replicator &replicator, PeerClients &peers, core::ClockHook now)
    : m_replicator(replicator)
    , m_peers(peers)
    , m_clock(std::move(now))
{
}

void LeaderForwarder::submit(const std::string &payload, SubmitHook hook)
{
    if (!hasLeader()) {
        const core::Lock lock(m_mutex);
        m_submissions.push_back({payload, std::move(hook), m_clock() + LeaderWaitLimit});
        return;
    }
    if (const auto leader = otherLeader()) {
        submitAt(*leader, payload, hook);
        return;
    }
    m_replicator.submit(payload, std::move(hook));
}

void LeaderForwarder::processSubmissions(core::TimePoint now)
{
    std::vector<Submission> submissions;
    {
        const core::Lock lock(m_mutex);
        submissions.swap(m_submissions);
    }
    const bool isLeaderKnown = hasLeader();
    for (auto &submission : submissions) {
        if (isLeaderKnown) {
            submit(submission.payload, std::move(submission.hook));
        } else if (submission.deadline <= now) {
            submission.hook(core::Error{core::ErrorCode::NoQuorum, "no leader was elected in time"});
        } else {
            const core::Lock lock(m_mutex);
            m_submissions.push_back(std::move(submission));
        }
    }
}

bool LeaderForwarder::hasLeader() const
{
    return m_replicator.status().leader.has_value();
}

void LeaderForwarder::confirm(std::function<void(bool)> hook)
{
    if (const auto leader = otherLeader()) {
        confirmAt(*leader, hook);
        return;
    }
    m_replicator.confirm([this, hook = std::move(hook)](const core::Result<consensus::LogIndex> &index) {
        if (core::ok(index)) {
            awaitApplied(core::value(index), hook);
        } else {
            hook(false);
        }
    });
}

void LeaderForwarder::processWaiting()
{
    const auto applied = m_replicator.applied();
    const auto now = m_clock();
    processSubmissions(now);
    std::vector<PendingConfirmation> due;
    {
        const core::Lock lock(m_mutex);
        const auto firstPending = std::partition(
            m_confirmations.begin(), m_confirmations.end(), [&](const PendingConfirmation &confirmation) {
                return confirmation.index <= applied || confirmation.deadline <= now;
            });
        due.assign(std::make_move_iterator(m_confirmations.begin()), std::make_move_iterator(firstPending));
        m_confirmations.erase(m_confirmations.begin(), firstPending);
    }
    for (const auto &confirmation : due) {
        confirmation.hook(confirmation.index <= applied);
    }
}

void LeaderForwarder::submitAt(const core::HostId &leader, const std::string &payload, const SubmitHook &hook)
{
    const auto client = m_peers.clientFor(leader);
    if (!client) {
        hook(core::Error{core::ErrorCode::NoQuorum, "the address of the leader is unknown"});
        return;
    }
    rpc::SubmitRequest request;
    request.set_payload(payload);
    client->submit(request, SubmitTimeout, [hook](const core::Result<rpc::SubmitReply> &reply) {
        hook(readReply(reply));
    });
}

void LeaderForwarder::confirmAt(const core::HostId &leader, const std::function<void(bool)> &hook)
{
    const auto client = m_peers.clientFor(leader);
    if (!client) {
        hook(false);
        return;
    }
    client->confirm(ConfirmTimeout, [this, hook](const core::Result<rpc::ConfirmReply> &reply) {
        if (core::ok(reply) && core::value(reply).error() == 0) {
            awaitApplied(consensus::LogIndex(core::value(reply).index()), hook);
        } else {
            hook(false);
        }
    });
}

void LeaderForwarder::awaitApplied(consensus::LogIndex index, std::function<void(bool)> hook)
{
    if (m_replicator.applied() >= index) {
        hook(true);
        return;
    }
    const core::Lock lock(m_mutex);
    m_confirmations.push_back({index, m_clock() + ConfirmTimeout, std::move(hook)});
}

std::optional<core::HostId> LeaderForwarder::otherLeader() const
{
    const auto status = m_replicator.status();
    const bool isElsewhere = status.leader && status.leader->host != status.self.host;
    return isElsewhere ? std::optional(status.leader->host) : std::nullopt;
}

} // namespace pimentoshed::control
