#include "control/followrpchandler.h"

#include "rpc/codec.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::control
{

namespace
{

membership::SubscriberKind subscriberKindOf(const rpc::FollowRequest &request)
{
    return request.peer() ? membership::SubscriberKind::Peers : membership::SubscriberKind::EntryHosts;
}

/** Less than the three seconds for which a host may be out of contact, and longer than most elections. */
constexpr auto UnconfirmedLimit = std::chrono::seconds(2);
/** Bounds the stored call numbers, which include those of hosts that no longer call. */
constexpr std::size_t MaxReceivedCalls = 4096;

} // namespace

FollowRpcHandler::FollowRpcHandler(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void FollowRpcHandler::handle(const rpc::FollowRequest &request,
                              const rpc::Responder<rpc::FollowReply> &respond,
                              core::TimePoint now)
{
    recordCall(request, now);
    // A host that is new to this feed needs all records at once.
    const auto scope = request.feed_id() == m_dependencies.feedId ? UpdateScope::Configuration : UpdateScope::All;
    if (mustSwitchHost(request, now) || hasUpdate(request, scope)
        || !keepPending({request, respond, now + std::chrono::milliseconds(request.hold_ms())})) {
        respond(answer(request, now));
    }
}

bool FollowRpcHandler::keepPending(const PendingCall &call)
{
    const core::Lock lock(m_mutex);
    if (m_closed) {
        return false;
    }
    m_pendingCalls.push_back(call);
    return true;
}

std::size_t FollowRpcHandler::pendingCallCount() const
{
    const core::Lock lock(m_mutex);
    return m_pendingCalls.size();
}

void FollowRpcHandler::close()
{
    {
        const core::Lock lock(m_mutex);
        m_closed = true;
    }
    answerDue(core::TimePoint::max(), UpdateScope::All);
}

void FollowRpcHandler::recordConfirmation(const CallNumbers &calls, core::TimePoint now)
{
    bool wasFailing = false;
    {
        const core::Lock lock(m_mutex);
        m_confirmedCalls = calls;
        m_confirmedAt = now;
        wasFailing = std::exchange(m_isConfirmationFailing, false);
    }
    if (wasFailing || hasCallAwaitingConfirmation()) {
        answerConfirmed(now, wasFailing ? ConfirmedScope::All : ConfirmedScope::Awaiting);
    }
}

void FollowRpcHandler::recordFailedConfirmation(core::TimePoint now)
{
    {
        const core::Lock lock(m_mutex);
        if (std::exchange(m_isConfirmationFailing, true)) {
            return;
        }
    }
    answerConfirmed(now, ConfirmedScope::All);
}

bool FollowRpcHandler::isConfirmationFailing() const
{
    const core::Lock lock(m_mutex);
    return m_isConfirmationFailing;
}

bool FollowRpcHandler::mustSwitchHost(const rpc::FollowRequest &request, core::TimePoint now) const
{
    if (request.peer()) {
        return false;
    }
    const bool cannotAct = request.awaits_confirmation() && request.revision() > 0;
    const core::Lock lock(m_mutex);
    const bool isOld = m_confirmedAt && now != core::TimePoint::max() && now - *m_confirmedAt > UnconfirmedLimit;
    return isOld || (cannotAct && m_isConfirmationFailing);
}

bool FollowRpcHandler::hasCallAwaitingConfirmation() const
{
    const core::Lock lock(m_mutex);
    return std::any_of(m_pendingCalls.begin(), m_pendingCalls.end(), [](const PendingCall &call) {
        return call.request.awaits_confirmation();
    });
}

FollowRpcHandler::CallNumbers FollowRpcHandler::receivedCalls() const
{
    const core::Lock lock(m_mutex);
    return m_receivedCalls;
}

void FollowRpcHandler::recordCall(const rpc::FollowRequest &request, core::TimePoint now)
{
    if (request.peer()) {
        return;
    }
    const core::Lock lock(m_mutex);
    if (!m_confirmedAt) {
        m_confirmedAt = now;
    }
    if (m_receivedCalls.size() >= MaxReceivedCalls) {
        // Hosts that still call are recorded again with their next call.
        m_receivedCalls.clear();
    }
    m_receivedCalls[{request.host().id(), request.host().incarnation()}] = request.ask();
}

std::uint64_t FollowRpcHandler::confirmedCall(const rpc::FollowRequest &request) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_confirmedCalls.find({request.host().id(), request.host().incarnation()});
    return found == m_confirmedCalls.end() ? 0 : found->second;
}

void FollowRpcHandler::answerDue(core::TimePoint now, UpdateScope scope)
{
    m_fileCompressor.addBase(m_dependencies.activeConfiguration());
    answerIf(
        [this, now, scope](const PendingCall &call) {
            return mustSwitchHost(call.request, now) || call.holdEnd <= now || hasUpdate(call.request, scope);
        },
        now);
}

void FollowRpcHandler::answerConfirmed(core::TimePoint now, ConfirmedScope scope)
{
    answerIf(
        [this, scope](const PendingCall &call) {
            const bool isInScope = scope == ConfirmedScope::All || call.request.awaits_confirmation();
            return isInScope && !call.request.peer() && confirmedCall(call.request) >= call.request.ask();
        },
        now);
}

void FollowRpcHandler::answerIf(const std::function<bool(const PendingCall &)> &isDue, core::TimePoint now)
{
    std::vector<PendingCall> due;
    {
        const core::Lock lock(m_mutex);
        due.swap(m_pendingCalls);
    }
    const auto firstPending = std::partition(due.begin(), due.end(), isDue);
    std::for_each(due.begin(), firstPending, [this, now](PendingCall &call) {
        call.respond(answer(call.request, now));
    });
    // close() may have been called meanwhile: no call may stay pending then.
    std::for_each(firstPending, due.end(), [this, now](PendingCall &call) {
        if (!keepPending(call)) {
            call.respond(answer(call.request, now));
        }
    });
}

bool FollowRpcHandler::hasUpdate(const rpc::FollowRequest &request, UpdateScope scope) const
{
    if (m_dependencies.activeConfiguration()->revision > request.revision()) {
        return true;
    }
    return scope == UpdateScope::All
           && m_dependencies.membershipFeed.position(subscriberKindOf(request)) > positionOf(request);
}

bool FollowRpcHandler::isRedirected(const rpc::FollowRequest &request) const
{
    if (request.peer() || request.stays() || request.feed_id() == m_dependencies.feedId
        || request.host().domain() == m_dependencies.domain.str()) {
        return false;
    }
    const auto hosts = m_dependencies.controlHosts();
    return std::any_of(hosts.begin(), hosts.end(), [&request](const membership::ControlHost &host) {
        return host.domain.str() == request.host().domain();
    });
}

void FollowRpcHandler::addControlHosts(rpc::FollowReply &reply) const
{
    for (const auto &host : m_dependencies.controlHosts()) {
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
    reply.set_unconfirmed(mustSwitchHost(request, now));
    // Read before the active configuration, which is then at least as new as the confirmed one.
    reply.set_confirmed_ask(confirmedCall(request));
    const auto activeConfiguration = m_dependencies.activeConfiguration();
    reply.set_revision(activeConfiguration->revision);
    if (activeConfiguration->revision > request.revision()) {
        addConfiguration(activeConfiguration, request.version(), *reply.mutable_standing());
    }
    // Read before the targets, which are then at least as complete.
    reply.set_targets_complete(request.peer() && m_dependencies.isTargetKnowledgeComplete());
    const auto updates = m_dependencies.membershipFeed.updateSince(positionOf(request), subscriberKindOf(request));
    reply.set_feed_id(m_dependencies.feedId);
    reply.set_feed_position(updates.position);
    for (const auto &target : updates.targets) {
        rpc::encode(target, *reply.add_targets());
    }
    rpc::encode(updates.hosts, reply);
    if (updates.controlHostsChanged && !request.peer()) {
        addControlHosts(reply);
    }
    return reply;
}

void FollowRpcHandler::addConfiguration(const FileCompressor::ConfigurationRef &activeConfiguration,
                                        std::uint64_t knownVersion,
                                        rpc::Standing &message) const
{
    rpc::encode(*activeConfiguration, message);
    if (activeConfiguration->version == knownVersion) {
        return;
    }
    auto file = m_fileCompressor.compress(activeConfiguration, knownVersion);
    message.set_packed_text(std::move(file.bytes));
    message.set_basis_version(file.baseVersion);
}

std::uint64_t FollowRpcHandler::positionOf(const rpc::FollowRequest &request) const
{
    return request.feed_id() == m_dependencies.feedId ? request.feed_position() : 0;
}

} // namespace pimentoshed::control
