#include "control/peerfollower.h"

#include "core/log.h"
#include "rpc/codec.h"

#include <utility>

namespace pimentoshed::control
{

namespace
{

constexpr auto HoldTime = std::chrono::milliseconds(1000);
constexpr auto FollowTimeout = std::chrono::milliseconds(1800);
constexpr auto RetryDelay = std::chrono::milliseconds(500);
/**
 * The addresses given to callers must drop a dead entry host within about six seconds, even if the control host that it
 * follows fails with it.
 */
constexpr auto PeerTimeout = std::chrono::seconds(3);

} // namespace

PeerFollower::PeerFollower(Dependencies dependencies, core::HostId peer, const std::string &address)
    : m_dependencies(std::move(dependencies))
    , m_peer(std::move(peer))
    , m_address(address)
    , m_client(std::make_shared<rpc::ControlClient>(address))
    , m_lastReplyAt(m_dependencies.timers.now())
{
}

void PeerFollower::start()
{
    sendRequest();
}

void PeerFollower::stop()
{
    m_stopped = true;
    const core::Lock lock(m_mutex);
    m_retryTimer.cancel();
}

void PeerFollower::sendRequest()
{
    if (m_stopped) {
        return;
    }
    m_callTime = m_dependencies.timers.now();
    rpc::FollowRequest request;
    request.set_peer(true);
    request.mutable_host()->set_id(m_dependencies.self.id.str());
    request.mutable_host()->set_domain(m_dependencies.self.domain.str());
    // The active configuration arrives through the replicated log; this revision asks for none.
    request.set_revision(std::numeric_limits<std::uint64_t>::max());
    request.set_feed_id(m_feedId);
    request.set_feed_position(m_feedPosition);
    request.set_hold_ms(static_cast<std::uint32_t>(HoldTime.count()));
    m_client->follow(request, FollowTimeout, [self = shared_from_this()](core::Result<rpc::FollowReply> reply) {
        self->m_dependencies.pool.post([self, reply = std::move(reply)]() {
            self->handleReply(reply);
        });
    });
}

void PeerFollower::handleReply(const core::Result<rpc::FollowReply> &reply)
{
    if (m_stopped) {
        return;
    }
    const auto now = m_dependencies.timers.now();
    if (core::ok(reply)) {
        applyReply(core::value(reply));
        m_lastReplyAt = now;
        sendRequest();
        return;
    }
    if (now - m_lastReplyAt > PeerTimeout) {
        m_dependencies.membershipFeed.removePeer(m_peer);
        m_dependencies.onSilent(m_peer);
    }
    m_client = std::make_shared<rpc::ControlClient>(m_address);
    scheduleRequest();
}

void PeerFollower::applyReply(const rpc::FollowReply &reply)
{
    std::vector<targets::Target> targets;
    targets.reserve(static_cast<std::size_t>(reply.targets_size()));
    for (const auto &message : reply.targets()) {
        auto target = rpc::decode(message);
        if (core::ok(target)) {
            targets.push_back(std::move(core::value(target)));
        } else {
            core::log(core::LogLevel::Warning, "peer-target-malformed", {{"error", describe(core::error(target))}});
        }
    }
    if (!targets.empty()) {
        m_dependencies.recordTargets(targets);
    }
    m_dependencies.membershipFeed.updatePeerHosts(m_peer, rpc::decodeHosts(reply));
    m_dependencies.onUpdate(m_peer, {m_callTime, reply.feed_id() != m_feedId, reply.targets_complete()});
    m_feedId = reply.feed_id();
    m_feedPosition = reply.feed_position();
}

void PeerFollower::scheduleRequest()
{
    auto subscription = m_dependencies.timers.after(RetryDelay, [weak = weak_from_this()]() {
        if (const auto self = weak.lock()) {
            self->sendRequest();
        }
    });
    const core::Lock lock(m_mutex);
    m_retryTimer = std::move(subscription);
}

} // namespace pimentoshed::control
