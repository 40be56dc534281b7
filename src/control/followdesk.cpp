#include "control/followdesk.h"

#include "rpc/codec.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::control
{

FollowDesk::FollowDesk(Sources sources)
    : m_sources(std::move(sources))
{
}

void FollowDesk::take(const rpc::FollowRequest &request,
                      const rpc::Respond<rpc::FollowReply> &respond,
                      core::TimePoint now)
{
    if (hasNews(request) || !hold({request, respond, now + std::chrono::milliseconds(request.hold_ms())})) {
        respond(answer(request));
    }
}

bool FollowDesk::hold(const Held &held)
{
    const core::Lock lock(m_mutex);
    if (m_closed) {
        return false;
    }
    m_held.push_back(held);
    return true;
}

std::size_t FollowDesk::heldCount() const
{
    const core::Lock lock(m_mutex);
    return m_held.size();
}

void FollowDesk::close()
{
    {
        const core::Lock lock(m_mutex);
        m_closed = true;
    }
    serve(core::TimePoint::max());
}

void FollowDesk::serve(core::TimePoint now)
{
    std::vector<Held> due;
    {
        const core::Lock lock(m_mutex);
        due.swap(m_held);
    }
    const auto isDue = [this, now](const Held &held) {
        return held.until <= now || hasNews(held.request);
    };
    const auto firstKept = std::partition(due.begin(), due.end(), isDue);
    std::for_each(due.begin(), firstKept, [this](Held &held) {
        held.respond(answer(held.request));
    });
    std::for_each(firstKept, due.end(), [this](Held &held) {
        if (!hold(held)) {
            held.respond(answer(held.request));
        }
    });
}

bool FollowDesk::hasNews(const rpc::FollowRequest &request) const
{
    return m_sources.standing().revision > request.revision() || m_sources.hub.position() > positionOf(request);
}

rpc::FollowReply FollowDesk::answer(const rpc::FollowRequest &request) const
{
    rpc::FollowReply reply;
    const auto standing = m_sources.standing();
    reply.set_current(true);
    reply.set_revision(standing.revision);
    if (standing.revision > request.revision()) {
        rpc::encode(standing, *reply.mutable_standing());
    }
    const auto news = m_sources.hub.newsSince(positionOf(request));
    reply.set_feed_id(m_sources.feedId);
    reply.set_feed_position(news.position);
    for (const auto &target : news.targets) {
        rpc::encode(target, *reply.add_targets());
    }
    reply.set_hosts_changed(news.hostsChanged);
    for (const auto &host : news.hosts) {
        rpc::encode(host, *reply.add_hosts());
    }
    return reply;
}

std::uint64_t FollowDesk::positionOf(const rpc::FollowRequest &request) const
{
    return request.feed_id() == m_sources.feedId ? request.feed_position() : 0;
}

} // namespace pimentoshed::control
