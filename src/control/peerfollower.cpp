#include "control/peerfollower.h"

#include "core/log.h"
#include "rpc/codec.h"

#include <utility>

namespace pimentoshed::control
{

namespace
{

constexpr auto Hold = std::chrono::milliseconds(1000);
constexpr auto FollowTimeout = std::chrono::milliseconds(1800);
constexpr auto RetryDelay = std::chrono::milliseconds(500);
/** A dead entry host must have left the answers to callers within some six seconds; its control host may die with it.
 */
constexpr auto SilentLimit = std::chrono::seconds(3);

} // namespace

PeerFollower::PeerFollower(Dependencies parts, core::HostId peer, const std::string &address)
    : m_parts(std::move(parts))
    , m_peer(std::move(peer))
    , m_address(address)
    , m_client(std::make_shared<rpc::ControlClient>(address))
    , m_lastAnswer(m_parts.timers.now())
{
}

void PeerFollower::start()
{
    ask();
}

void PeerFollower::stop()
{
    m_stopped = true;
    const core::Lock lock(m_mutex);
    m_timer.cancel();
}

void PeerFollower::ask()
{
    if (m_stopped) {
        return;
    }
    rpc::FollowRequest request;
    request.set_peer(true);
    request.mutable_host()->set_id(m_parts.self.id.str());
    request.mutable_host()->set_domain(m_parts.self.domain.str());
    // The standing comes through the replicated log.
    request.set_revision(std::numeric_limits<std::uint64_t>::max());
    request.set_feed_id(m_feedId);
    request.set_feed_position(m_feedPosition);
    request.set_hold_ms(static_cast<std::uint32_t>(Hold.count()));
    m_client->follow(request, FollowTimeout, [self = shared_from_this()](core::Result<rpc::FollowReply> reply) {
        self->m_parts.pool.post([self, reply = std::move(reply)]() {
            self->take(reply);
        });
    });
}

void PeerFollower::take(const core::Result<rpc::FollowReply> &reply)
{
    if (m_stopped) {
        return;
    }
    const auto now = m_parts.timers.now();
    if (core::ok(reply)) {
        m_lastAnswer = now;
        adopt(core::value(reply));
        ask();
        return;
    }
    if (now - m_lastAnswer > SilentLimit) {
        m_parts.hub.removePeer(m_peer);
        m_parts.silent(m_peer);
    }
    m_client = std::make_shared<rpc::ControlClient>(m_address);
    askLater();
}

void PeerFollower::adopt(const rpc::FollowReply &reply)
{
    for (const auto &message : reply.targets()) {
        const auto target = rpc::decode(message);
        if (core::ok(target)) {
            m_parts.learn(core::value(target));
        }
    }
    m_parts.hub.updatePeerHosts(m_peer, rpc::decodeHosts(reply));
    m_feedId = reply.feed_id();
    m_feedPosition = reply.feed_position();
}

void PeerFollower::askLater()
{
    auto subscription = m_parts.timers.after(RetryDelay, [weak = weak_from_this()]() {
        if (const auto self = weak.lock()) {
            self->ask();
        }
    });
    const core::Lock lock(m_mutex);
    m_timer = std::move(subscription);
}

} // namespace pimentoshed::control
