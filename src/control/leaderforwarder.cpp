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
/** A change waits so long for a leader to be elected. */
constexpr auto LeaderPatience = std::chrono::seconds(5);

core::Result<std::string> readReply(const core::Result<rpc::SubmitReply> &reply)
{
    if (!core::ok(reply)) {
        // The leader may have got it all the same.
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
    , m_now(std::move(now))
{
}

void LeaderForwarder::submit(const std::string &payload, SubmitHook hook)
{
    if (!hasLeader()) {
        const core::Lock lock(m_mutex);
        m_submissions.push_back({payload, std::move(hook), m_now() + LeaderPatience});
        return;
    }
    if (const auto leader = otherLeader()) {
        submitAt(*leader, payload, hook);
        return;
    }
    m_replicator.submit(payload, std::move(hook));
}

void LeaderForwarder::serveSubmissions(core::TimePoint now)
{
    std::vector<Submission> submissions;
    {
        const core::Lock lock(m_mutex);
        submissions.swap(m_submissions);
    }
    const bool led = hasLeader();
    for (auto &submission : submissions) {
        if (led) {
            submit(submission.payload, std::move(submission.hook));
        } else if (submission.until <= now) {
            submission.hook(core::Error{core::ErrorCode::NoQuorum, "no leader"});
        } else {
            const core::Lock lock(m_mutex);
            m_submissions.push_back(std::move(submission));
        }
    }
}

bool LeaderForwarder::hasLeader() const
{
    return m_replicator.inspect().leader.has_value();
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

void LeaderForwarder::serve()
{
    const auto applied = m_replicator.applied();
    const auto now = m_now();
    serveSubmissions(now);
    std::vector<Waiting> due;
    {
        const core::Lock lock(m_mutex);
        const auto firstKept = std::partition(m_waiting.begin(), m_waiting.end(), [&](const Waiting &waiting) {
            return waiting.index <= applied || waiting.until <= now;
        });
        due.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(firstKept));
        m_waiting.erase(m_waiting.begin(), firstKept);
    }
    for (const auto &waiting : due) {
        waiting.hook(waiting.index <= applied);
    }
}

void LeaderForwarder::submitAt(const core::HostId &leader, const std::string &payload, const SubmitHook &hook)
{
    const auto client = m_peers.find(leader);
    if (!client) {
        hook(core::Error{core::ErrorCode::NoQuorum, "the leader's address is not known"});
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
    const auto client = m_peers.find(leader);
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
    m_waiting.push_back({index, m_now() + ConfirmTimeout, std::move(hook)});
}

std::optional<core::HostId> LeaderForwarder::otherLeader() const
{
    const auto inspection = m_replicator.inspect();
    const bool other = inspection.leader && inspection.leader->host != inspection.self.host;
    return other ? std::optional(inspection.leader->host) : std::nullopt;
}

} // namespace pimentoshed::control
