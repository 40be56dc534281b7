#include "control/followrpchandler.h"

#include "rpc/codec.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::control
{

namespace
{

membership::SubscriberKind audienceOf(const rpc::FollowRequest &request)
{
    return request.peer() ? membership::SubscriberKind::Peers : membership::SubscriberKind::EntryHosts;
}

/** Less than the three seconds for which a host may be out of touch, and longer than most elections. */
constexpr auto UnconfirmedLimit = std::chrono::seconds(2);
/** Asks kept for hosts that no longer call. */
constexpr std::size_t AsksKept = 4096;

} // namespace

FollowRpcHandler::FollowRpcHandler(Dependencies sources)
    : m_sources(std::move(sources))
{
}

void FollowRpcHandler::take(const rpc::FollowRequest &request,
                            const rpc::Responder<rpc::FollowReply> &respond,
                            core::TimePoint now)
{
    noteAsk(request, now);
    // Who is new here needs everything at once.
    const auto news = request.feed_id() == m_sources.feedId ? UpdateScope::Standing : UpdateScope::All;
    const bool leave = !request.peer() && isUnconfirmed(now);
    if (leave || hasNews(request, news)
        || !hold({request, respond, now + std::chrono::milliseconds(request.hold_ms())})) {
        respond(answer(request, now));
    }
}

bool FollowRpcHandler::hold(const Held &held)
{
    const core::Lock lock(m_mutex);
    if (m_closed) {
        return false;
    }
    m_held.push_back(held);
    return true;
}

std::size_t FollowRpcHandler::heldCount() const
{
    const core::Lock lock(m_mutex);
    return m_held.size();
}

void FollowRpcHandler::close()
{
    {
        const core::Lock lock(m_mutex);
        m_closed = true;
    }
    serve(core::TimePoint::max(), UpdateScope::All);
}

void FollowRpcHandler::confirm(const CallNumbers &asks, core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    m_confirmed = asks;
    m_confirmedAt = now;
}

bool FollowRpcHandler::isUnconfirmed(core::TimePoint now) const
{
    const core::Lock lock(m_mutex);
    return m_confirmedAt && now != core::TimePoint::max() && now - *m_confirmedAt > UnconfirmedLimit;
}

FollowRpcHandler::CallNumbers FollowRpcHandler::asks() const
{
    const core::Lock lock(m_mutex);
    return m_asks;
}

void FollowRpcHandler::noteAsk(const rpc::FollowRequest &request, core::TimePoint now)
{
    if (request.peer()) {
        return;
    }
    const core::Lock lock(m_mutex);
    if (!m_confirmedAt) {
        m_confirmedAt = now;
    }
    if (m_asks.size() >= AsksKept) {
        // The hosts that still call are noted again by their next calls.
        m_asks.clear();
    }
    m_asks[{request.host().id(), request.host().incarnation()}] = request.ask();
}

std::uint64_t FollowRpcHandler::confirmedAsk(const rpc::FollowRequest &request) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_confirmed.find({request.host().id(), request.host().incarnation()});
    return found == m_confirmed.end() ? 0 : found->second;
}

void FollowRpcHandler::serve(core::TimePoint now, UpdateScope news)
{
    m_packer.note(m_sources.activeConfiguration());
    std::vector<Held> due;
    {
        const core::Lock lock(m_mutex);
        due.swap(m_held);
    }
    const bool unconfirmed = isUnconfirmed(now);
    const auto isDue = [this, now, news, unconfirmed](const Held &held) {
        const bool leave = unconfirmed && !held.request.peer();
        return leave || held.until <= now || hasNews(held.request, news);
    };
    const auto firstKept = std::partition(due.begin(), due.end(), isDue);
    std::for_each(due.begin(), firstKept, [this, now](Held &held) {
        held.respond(answer(held.request, now));
    });
    std::for_each(firstKept, due.end(), [this, now](Held &held) {
        if (!hold(held)) {
            held.respond(answer(held.request, now));
        }
    });
}

bool FollowRpcHandler::hasNews(const rpc::FollowRequest &request, UpdateScope news) const
{
    if (m_sources.activeConfiguration()->revision > request.revision()) {
        return true;
    }
    return news == UpdateScope::All && m_sources.hub.position(audienceOf(request)) > positionOf(request);
}

bool FollowRpcHandler::isRedirected(const rpc::FollowRequest &request) const
{
    if (request.peer() || request.stays() || request.feed_id() == m_sources.feedId
        || request.host().domain() == m_sources.domain.str()) {
        return false;
    }
    const auto hosts = m_sources.controlHosts();
    return std::any_of(hosts.begin(), hosts.end(), [&request](const membership::ControlHost &host) {
        return host.domain.str() == request.host().domain();
    });
}

void FollowRpcHandler::addControlHosts(rpc::FollowReply &reply) const
{
    for (const auto &host : m_sources.controlHosts()) {
        rpc::encode(host, *reply.add_control_hosts());
    }
}

rpc::FollowReply FollowRpcHandler::answer(const rpc::FollowRequest &request, core::TimePoint now) const
{
    rpc::FollowReply reply;
    if (isRedirected(request)) {
        reply.set_redirected(true);
        addControlHosts(reply);
        return reply;
    }
    reply.set_unconfirmed(isUnconfirmed(now));
    // Read before the standing, which so covers at least what was confirmed.
    reply.set_confirmed_ask(confirmedAsk(request));
    const auto standing = m_sources.activeConfiguration();
    reply.set_revision(standing->revision);
    if (standing->revision > request.revision()) {
        addStanding(standing, request.version(), *reply.mutable_standing());
    }
    const auto news = m_sources.hub.updateSince(positionOf(request), audienceOf(request));
    reply.set_feed_id(m_sources.feedId);
    reply.set_feed_position(news.position);
    for (const auto &target : news.targets) {
        rpc::encode(target, *reply.add_targets());
    }
    rpc::encode(news.hosts, reply);
    if (news.controlHostsChanged && !request.peer()) {
        addControlHosts(reply);
    }
    return reply;
}

void FollowRpcHandler::addStanding(const FilePacker::StandingRef &standing,
                                   std::uint64_t knownVersion,
                                   rpc::Standing &message) const
{
    rpc::encode(*standing, message);
    if (standing->version == knownVersion) {
        return;
    }
    auto file = m_packer.pack(standing, knownVersion);
    message.set_packed_text(std::move(file.bytes));
    message.set_basis_version(file.basis);
}

std::uint64_t FollowRpcHandler::positionOf(const rpc::FollowRequest &request) const
{
    return request.feed_id() == m_sources.feedId ? request.feed_position() : 0;
}

} // namespace pimentoshed::control
