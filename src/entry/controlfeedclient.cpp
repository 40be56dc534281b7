#include "entry/controlfeedclient.h"

#include "core/log.h"
#include "rpc/codec.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace pimentoshed::entry
{

namespace
{

/**
 * How long a control host may hold a call without updates. An update ends the hold at once, so this time only bounds
 * how long a control host that has stopped responding goes unnoticed.
 */
constexpr auto HoldTime = std::chrono::milliseconds(800);
constexpr auto ReportTimeout = std::chrono::milliseconds(500);
constexpr auto RetryDelay = std::chrono::milliseconds(100);
/** Time-out of a call whose reply brings nothing that the pending long poll does not bring. */
constexpr auto OwnRecordTimeout = std::chrono::milliseconds(1200);
/** Another control host is tried if the present one confirms no call for this time. */
constexpr auto ConfirmTimeout = std::chrono::milliseconds(2200);
/**
 * How long a control host isn't preferred after a failure. With a shorter time, each call to a frozen control host
 * would last until its time-out.
 */
constexpr auto AvoidPeriod = std::chrono::seconds(5);
/** Limit on the unconfirmed calls whose send times are kept. */
constexpr std::size_t MaxUnconfirmedCalls = 64;

} // namespace

ControlFeedClient::ControlFeedClient(Dependencies dependencies, const std::vector<std::string> &controlAddresses)
    : m_dependencies(std::move(dependencies))
{
    for (const auto &address : controlAddresses) {
        m_controlHosts.push_back({address, {}, std::make_shared<rpc::ControlClient>(address)});
    }
    // The first control host depends on the host id, so that hosts that start together spread over the control hosts.
    m_followed = std::hash<std::string>{}(m_dependencies.self().id.str()) % m_controlHosts.size();
}

void ControlFeedClient::start()
{
    poll();
}

void ControlFeedClient::stop()
{
    m_stopped = true;
    const core::Lock lock(m_mutex);
    m_pollTimer.cancel();
    m_reportTimer.cancel();
}

void ControlFeedClient::report(const targets::Target &target)
{
    {
        const core::Lock lock(m_mutex);
        m_pending.insert_or_assign(target.id, target);
        if (m_isReporting) {
            return;
        }
        m_isReporting = true;
    }
    sendReports();
}

void ControlFeedClient::lease(const rpc::LeaseRequest &request,
                              core::Duration timeout,
                              const rpc::ReplyHook<rpc::LeaseReply> &hook)
{
    m_dependencies.onMessage(
        telemetry::ControlMessage::LeaseRequest, telemetry::Direction::Out, request.ByteSizeLong());
    leaseClient()->lease(
        request, timeout, [self = shared_from_this(), hook](const core::Result<rpc::LeaseReply> &reply) {
            if (core::ok(reply)) {
                self->m_dependencies.onMessage(
                    telemetry::ControlMessage::LeaseReply, telemetry::Direction::In, core::value(reply).ByteSizeLong());
            }
            self->recordLeaseReply(core::ok(reply));
            self->m_dependencies.pool.post([reply, hook]() {
                hook(reply);
            });
        });
}

void ControlFeedClient::reportCounts(const std::vector<rollouts::HostCounts> &counts)
{
    rpc::ReportRequest request;
    request.set_host(m_dependencies.self().id.str());
    for (const auto &each : counts) {
        rpc::encode(each, *request.add_version_counts());
    }
    m_dependencies.onMessage(
        telemetry::ControlMessage::ReportRequest, telemetry::Direction::Out, request.ByteSizeLong());
    client()->report(request, ReportTimeout, [](const core::Result<rpc::ReportReply> &) {});
}

void ControlFeedClient::poll()
{
    if (m_stopped) {
        return;
    }
    preferLocal();
    auto request = makeRequest();
    request.set_hold_ms(static_cast<std::uint32_t>(HoldTime.count()));
    request.set_ask(recordCall());
    request.set_awaits_confirmation(!isCurrent());
    m_dependencies.onMessage(
        telemetry::ControlMessage::FollowRequest, telemetry::Direction::Out, request.ByteSizeLong());
    const auto timeout = followTimeout();
    const auto callEnd = m_dependencies.timers.now() + timeout;
    client()->follow(request, timeout, [self = shared_from_this(), callEnd](core::Result<rpc::FollowReply> reply) {
        self->m_dependencies.pool.post([self, callEnd, reply = std::move(reply)]() {
            self->processReply(reply, callEnd);
        });
    });
}

core::Duration ControlFeedClient::followTimeout() const
{
    const core::Lock lock(m_mutex);
    return m_backoff.timeout();
}

void ControlFeedClient::sendOwnRecord()
{
    // The reply is ignored: the long poll that is pending beside this call brings the same updates.
    client()->follow(makeRequest(), OwnRecordTimeout, [](const core::Result<rpc::FollowReply> &) {});
}

rpc::FollowRequest ControlFeedClient::makeRequest() const
{
    rpc::FollowRequest request;
    rpc::encode(m_dependencies.self(), *request.mutable_host());
    const auto active = m_dependencies.view.latest();
    request.set_revision(active ? active->revision : 0);
    request.set_version(active && !m_needsCompleteFile ? active->version : 0);
    request.set_feed_id(m_feedId);
    request.set_feed_position(m_feedPosition);
    request.set_stays(avoidsLocal());
    return request;
}

std::uint64_t ControlFeedClient::recordCall()
{
    const core::Lock lock(m_mutex);
    m_callTimes.emplace(++m_lastCall, m_dependencies.timers.now());
    if (m_callTimes.size() > MaxUnconfirmedCalls) {
        m_callTimes.erase(m_callTimes.begin());
    }
    return m_lastCall;
}

void ControlFeedClient::processReply(const core::Result<rpc::FollowReply> &reply, core::TimePoint callEnd)
{
    if (m_stopped) {
        return;
    }
    if (!core::ok(reply)) {
        const auto failure = m_dependencies.timers.now() < callEnd ? FollowFailure::Refused : FollowFailure::TimedOut;
        core::log(core::LogLevel::Warning,
                  "follow-failed",
                  {{"failure", core::nameOf(FollowFailureNames, failure)},
                   {"control", followedAddress()},
                   {"error", core::describe(core::error(reply))}});
        pollNextControlHost(failure);
        return;
    }
    m_dependencies.onMessage(
        telemetry::ControlMessage::FollowReply, telemetry::Direction::In, core::value(reply).ByteSizeLong());
    if (core::value(reply).unconfirmed()) {
        applyUpdates(core::value(reply));
        core::log(core::LogLevel::Warning, "follow-unconfirmed", {{"control", followedAddress()}});
        pollNextControlHost(FollowFailure::Unconfirmed);
        return;
    }
    recordResponse();
    if (core::value(reply).redirected()) {
        replaceControlHosts(core::value(reply));
        poll();
        return;
    }
    const bool applied = applyUpdates(core::value(reply));
    m_dependencies.onUpdatesApplied();
    if (!applied) {
        runAfter(RetryDelay, &ControlFeedClient::poll);
        return;
    }
    if (isUnconfirmedTooLong()) {
        pollNextControlHost(FollowFailure::Unconfirmed);
        return;
    }
    poll();
}

bool ControlFeedClient::applyUpdates(const rpc::FollowReply &reply)
{
    if (!applyConfiguration(reply)) {
        return false;
    }
    for (const auto &message : reply.targets()) {
        const auto target = rpc::decode(message);
        if (core::ok(target)) {
            updateTarget(core::value(target));
        } else {
            core::log(core::LogLevel::Warning,
                      "target-malformed",
                      {{"control", followedAddress()}, {"error", core::describe(core::error(target))}});
        }
    }
    m_dependencies.view.updateHosts(rpc::decodeHosts(reply));
    replaceControlHosts(reply);
    confirm(reply);
    m_feedPosition = reply.feed_position();
    if (m_feedId.exchange(reply.feed_id()) != reply.feed_id()) {
        reportOwnTargets();
    }
    return true;
}

bool ControlFeedClient::applyConfiguration(const rpc::FollowReply &reply)
{
    if (!reply.has_standing()) {
        return true;
    }
    const auto known = m_dependencies.view.latest();
    auto decoded = rpc::decode(reply.standing(), known.get(), m_dependencies.parser);
    if (!core::ok(decoded)) {
        core::log(core::LogLevel::Error, "standing-refused", {{"error", core::describe(core::error(decoded))}});
        // It may refer to a file that this host doesn't have: the next call asks for the complete file.
        m_needsCompleteFile = true;
        return false;
    }
    auto &adopted = core::value(decoded);
    // Without a configuration file (none has been applied yet) there is nothing to adopt.
    if (adopted.configuration && (!known || known->revision < adopted.revision)) {
        m_dependencies.beforeAdopt(adopted);
        core::log(core::LogLevel::Info,
                  "standing-adopted",
                  {{"revision", adopted.revision},
                   {"version", adopted.version},
                   {"previous_revision", known ? known->revision : 0},
                   {"control", followedAddress()},
                   {"unconfirmed", reply.unconfirmed() ? "yes" : "no"}});
        m_dependencies.view.adopt(std::move(adopted));
        m_needsCompleteFile = false;
    }
    return true;
}

void ControlFeedClient::replaceControlHosts(const rpc::FollowReply &reply)
{
    if (reply.control_hosts().empty()) {
        return;
    }
    const core::Lock lock(m_mutex);
    const auto followedAddress = m_controlHosts[m_followed].address;
    std::vector<ControlHostEntry> controlHosts;
    for (const auto &message : reply.control_hosts()) {
        const auto host = rpc::decode(message);
        const auto known =
            std::find_if(m_controlHosts.begin(), m_controlHosts.end(), [&host](const ControlHostEntry &control) {
                return control.address == host.address;
            });
        controlHosts.push_back(
            {host.address,
             host.domain,
             known == m_controlHosts.end() ? std::make_shared<rpc::ControlClient>(host.address) : known->client,
             known == m_controlHosts.end() ? core::TimePoint{} : known->avoidUntil});
    }
    m_controlHosts = std::move(controlHosts);
    m_followed = 0;
    for (std::size_t position = 0; position < m_controlHosts.size(); ++position) {
        if (m_controlHosts[position].address == followedAddress) {
            m_followed = position;
        }
    }
}

void ControlFeedClient::addControlHosts(const std::vector<std::string> &addresses)
{
    const core::Lock lock(m_mutex);
    for (const auto &address : addresses) {
        const bool known =
            std::any_of(m_controlHosts.begin(), m_controlHosts.end(), [&address](const ControlHostEntry &control) {
                return control.address == address;
            });
        if (!known) {
            m_controlHosts.push_back({address, {}, std::make_shared<rpc::ControlClient>(address)});
        }
    }
}

bool ControlFeedClient::avoidsLocal() const
{
    const auto domain = m_dependencies.self().domain;
    const auto now = m_dependencies.timers.now();
    const core::Lock lock(m_mutex);
    return std::any_of(m_controlHosts.begin(), m_controlHosts.end(), [&](const ControlHostEntry &control) {
        return control.domain == domain && control.avoidUntil > now;
    });
}

void ControlFeedClient::preferLocal()
{
    const auto domain = m_dependencies.self().domain;
    const auto now = m_dependencies.timers.now();
    const core::Lock lock(m_mutex);
    if (m_controlHosts[m_followed].domain == domain) {
        return;
    }
    for (std::size_t position = 0; position < m_controlHosts.size(); ++position) {
        if (m_controlHosts[position].domain == domain && m_controlHosts[position].avoidUntil <= now) {
            m_followed = position;
            return;
        }
    }
}

void ControlFeedClient::updateTarget(const targets::Target &target)
{
    const auto result = m_dependencies.targets.update(target);
    const auto known = m_dependencies.targets.find(target.id);
    // A control host that has restarted may know a later incarnation only from this report.
    const bool isOlderIncarnation = known && target.version.incarnation < known->version.incarnation;
    if (known && (result == targets::UpdateResult::Reasserted || isOlderIncarnation)) {
        report(*known);
    }
}

void ControlFeedClient::confirm(const rpc::FollowReply &reply)
{
    const auto sent = takeCallTime(reply.confirmed_ask());
    if (!sent) {
        return;
    }
    const bool wasCurrent = isCurrent();
    m_dependencies.view.confirm(reply.revision(), *sent);
    if (!wasCurrent && isCurrent()) {
        core::log(core::LogLevel::Info,
                  "standing-confirmed",
                  {{"revision", m_dependencies.view.revision()}, {"control", followedAddress()}});
    }
}

std::optional<core::TimePoint> ControlFeedClient::takeCallTime(std::uint64_t callNumber)
{
    const core::Lock lock(m_mutex);
    const auto sent = m_callTimes.find(callNumber);
    if (sent == m_callTimes.end()) {
        return std::nullopt;
    }
    m_lastConfirmed = sent->second;
    m_callTimes.erase(m_callTimes.begin(), std::next(sent));
    return m_lastConfirmed;
}

bool ControlFeedClient::isCurrent() const
{
    return m_dependencies.timers.now() < m_dependencies.view.currentUntil();
}

bool ControlFeedClient::isUnconfirmedTooLong() const
{
    const core::Lock lock(m_mutex);
    return m_dependencies.timers.now() - m_lastConfirmed > ConfirmTimeout;
}

void ControlFeedClient::reportOwnTargets()
{
    const auto self = m_dependencies.self().id;
    for (const auto &target : m_dependencies.targets.all()) {
        if (target.origin == self) {
            report(target);
        }
    }
}

void ControlFeedClient::sendReports()
{
    if (m_stopped) {
        return;
    }
    rpc::ReportRequest request;
    request.set_host(m_dependencies.self().id.str());
    std::vector<targets::Target> sent;
    {
        const core::Lock lock(m_mutex);
        if (m_pending.empty()) {
            m_isReporting = false;
            return;
        }
        for (auto &[id, target] : m_pending) {
            rpc::encode(target, *request.add_changes());
            sent.push_back(std::move(target));
        }
        m_pending.clear();
    }
    m_dependencies.onMessage(
        telemetry::ControlMessage::ReportRequest, telemetry::Direction::Out, request.ByteSizeLong());
    client()->report(request,
                     ReportTimeout,
                     [self = shared_from_this(), sent = std::move(sent)](const core::Result<rpc::ReportReply> &reply) {
                         self->m_dependencies.pool.post([self, sent, arrived = core::ok(reply)]() {
                             self->onReportEnd(sent, arrived);
                         });
                     });
}

void ControlFeedClient::onReportEnd(const std::vector<targets::Target> &sent, bool arrived)
{
    if (arrived) {
        m_dependencies.onMessage(telemetry::ControlMessage::ReportReply, telemetry::Direction::In, 0);
        sendReports();
        return;
    }
    {
        const core::Lock lock(m_mutex);
        for (const auto &target : sent) {
            // Keeps a newer announcement that was added meanwhile.
            m_pending.try_emplace(target.id, target);
        }
    }
    runAfter(RetryDelay, &ControlFeedClient::sendReports);
}

std::string ControlFeedClient::followedAddress() const
{
    const core::Lock lock(m_mutex);
    return m_controlHosts[m_followed].address;
}

void ControlFeedClient::recordResponse()
{
    const core::Lock lock(m_mutex);
    m_backoff.recordResponse();
}

void ControlFeedClient::pollNextControlHost(FollowFailure failure)
{
    core::Duration pause{};
    {
        const core::Lock lock(m_mutex);
        m_lastConfirmed = m_dependencies.timers.now();
        m_backoff.recordFailure(failure, m_controlHosts.size());
        pause = m_backoff.pauseAfter(failure);
        auto &failed = m_controlHosts[m_followed];
        // Before the first response a failure is no reason to avoid a control host: when all hosts start together, it
        // may refuse calls only because it is still starting.
        failed.avoidUntil = m_backoff.hasResponse() ? m_lastConfirmed + AvoidPeriod : m_lastConfirmed;
        // A new client: the old connection may never respond again.
        failed.client = std::make_shared<rpc::ControlClient>(failed.address);
        m_followed = (m_followed + 1) % m_controlHosts.size();
    }
    runAfter(pause, &ControlFeedClient::poll);
}

void ControlFeedClient::runAfter(core::Duration delay, void (ControlFeedClient::*step)())
{
    auto subscription = m_dependencies.timers.after(delay, [self = weak_from_this(), step]() {
        if (const auto alive = self.lock()) {
            (alive.get()->*step)();
        }
    });
    const core::Lock lock(m_mutex);
    (step == &ControlFeedClient::poll ? m_pollTimer : m_reportTimer) = std::move(subscription);
}

std::shared_ptr<rpc::ControlClient> ControlFeedClient::client() const
{
    const core::Lock lock(m_mutex);
    return m_controlHosts[m_followed].client;
}

std::shared_ptr<rpc::ControlClient> ControlFeedClient::leaseClient() const
{
    const core::Lock lock(m_mutex);
    return m_controlHosts[(m_followed + m_leaseFailures) % m_controlHosts.size()].client;
}

void ControlFeedClient::recordLeaseReply(bool arrived)
{
    const core::Lock lock(m_mutex);
    m_leaseFailures = arrived ? 0 : m_leaseFailures + 1;
}

} // namespace pimentoshed::entry
