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

/** News end a hold at once; its length bounds only how long a silent control host goes unnoticed. */
constexpr auto Hold = std::chrono::milliseconds(800);
constexpr auto FollowTimeout = std::chrono::milliseconds(1200);
/** Of time-outs and delays: where every control host fails, a narrow link may be why, and asking more often no help. */
constexpr std::size_t MostDoublings = 3;
constexpr auto ReportTimeout = std::chrono::milliseconds(500);
constexpr auto RetryDelay = std::chrono::milliseconds(100);
/** Another control host is tried where this one confirms nothing for so long. */
constexpr auto ConfirmPatience = std::chrono::milliseconds(2200);
/** After a control host failed, before it is preferred again: a frozen one would take each call's time-out. */
constexpr auto AvoidAfterFailure = std::chrono::seconds(5);
constexpr std::size_t AsksKept = 64;

} // namespace

ControlFeedClient::ControlFeedClient(Dependencies parts, const std::vector<std::string> &controlAddresses)
    : m_parts(std::move(parts))
{
    for (const auto &address : controlAddresses) {
        m_controls.push_back({address, {}, std::make_shared<rpc::ControlClient>(address)});
    }
    // Hosts that start together begin at different control hosts.
    m_chosen = std::hash<std::string>{}(m_parts.self().id.str()) % m_controls.size();
}

void ControlFeedClient::start()
{
    ask();
}

void ControlFeedClient::stop()
{
    m_stopped = true;
    const core::Lock lock(m_mutex);
    m_askTimer.cancel();
    m_reportTimer.cancel();
}

void ControlFeedClient::report(const targets::Target &target)
{
    {
        const core::Lock lock(m_mutex);
        m_pending.insert_or_assign(target.id, target);
        if (m_reporting) {
            return;
        }
        m_reporting = true;
    }
    sendReports();
}

void ControlFeedClient::ask()
{
    if (m_stopped) {
        return;
    }
    preferNear();
    auto request = question();
    request.set_hold_ms(static_cast<std::uint32_t>(Hold.count()));
    request.set_ask(noteAsked());
    m_parts.traffic(telemetry::ControlMessage::FollowRequest, telemetry::Direction::Out, request.ByteSizeLong());
    client()->follow(
        request, FollowTimeout * backoff(), [self = shared_from_this()](core::Result<rpc::FollowReply> reply) {
            self->m_parts.pool.post([self, reply = std::move(reply)]() {
                self->take(reply);
            });
        });
}

/** Doubles with each round in which every control host has failed. */
unsigned ControlFeedClient::backoff() const
{
    const core::Lock lock(m_mutex);
    return 1U << std::min(m_failures / m_controls.size(), MostDoublings);
}

void ControlFeedClient::tell()
{
    // The reply brings nothing that the call held beside it doesn't bring.
    client()->follow(question(), FollowTimeout, [](const core::Result<rpc::FollowReply> &) {});
}

rpc::FollowRequest ControlFeedClient::question() const
{
    rpc::FollowRequest request;
    rpc::encode(m_parts.self(), *request.mutable_host());
    const auto standing = m_parts.view.latest();
    request.set_revision(standing ? standing->revision : 0);
    request.set_version(standing && !m_wantsWhole ? standing->version : 0);
    request.set_feed_id(m_feedId);
    request.set_feed_position(m_feedPosition);
    request.set_stays(avoidsNear());
    return request;
}

std::uint64_t ControlFeedClient::noteAsked()
{
    const core::Lock lock(m_mutex);
    m_asked.emplace(++m_lastAsk, m_parts.timers.now());
    if (m_asked.size() > AsksKept) {
        m_asked.erase(m_asked.begin());
    }
    return m_lastAsk;
}

void ControlFeedClient::take(const core::Result<rpc::FollowReply> &reply)
{
    if (m_stopped) {
        return;
    }
    if (!core::ok(reply)) {
        core::log(core::LogLevel::Warning, "follow-failed", {{"error", core::describe(core::error(reply))}});
        moveOn();
        later(RetryDelay, &ControlFeedClient::ask);
        return;
    }
    m_parts.traffic(
        telemetry::ControlMessage::FollowReply, telemetry::Direction::In, core::value(reply).ByteSizeLong());
    if (core::value(reply).unconfirmed()) {
        adopt(core::value(reply));
        core::log(core::LogLevel::Warning, "follow-unconfirmed", {{"control", followed()}});
        moveOn();
        later(RetryDelay * backoff(), &ControlFeedClient::ask);
        return;
    }
    noteAnswer();
    if (core::value(reply).redirected()) {
        adoptControlHosts(core::value(reply));
        ask();
        return;
    }
    const bool adopted = adopt(core::value(reply));
    m_parts.afterReply();
    if (!adopted) {
        later(RetryDelay, &ControlFeedClient::ask);
        return;
    }
    if (unconfirmedForLong()) {
        moveOn();
        later(RetryDelay, &ControlFeedClient::ask);
        return;
    }
    ask();
}

bool ControlFeedClient::adopt(const rpc::FollowReply &reply)
{
    if (!adoptStanding(reply)) {
        return false;
    }
    for (const auto &message : reply.targets()) {
        const auto target = rpc::decode(message);
        if (core::ok(target)) {
            learn(core::value(target));
        }
    }
    m_parts.view.learnHosts(rpc::decodeHosts(reply));
    adoptControlHosts(reply);
    confirm(reply);
    m_feedPosition = reply.feed_position();
    if (m_feedId.exchange(reply.feed_id()) != reply.feed_id()) {
        reportAllOwn();
    }
    return true;
}

bool ControlFeedClient::adoptStanding(const rpc::FollowReply &reply)
{
    if (!reply.has_standing()) {
        return true;
    }
    const auto known = m_parts.view.latest();
    auto standing = rpc::decode(reply.standing(), known.get(), m_parts.parser);
    if (!core::ok(standing)) {
        core::log(core::LogLevel::Error, "standing-refused", {{"error", core::describe(core::error(standing))}});
        // It may lean on what this host has not got.
        m_wantsWhole = true;
        return false;
    }
    auto &adopted = core::value(standing);
    // Before there is any file there is nothing to act on.
    if (adopted.configuration && (!known || known->revision < adopted.revision)) {
        m_parts.beforeAdopt(adopted);
        core::log(
            core::LogLevel::Info, "standing-adopted", {{"revision", adopted.revision}, {"version", adopted.version}});
        m_parts.view.adopt(std::move(adopted));
        m_wantsWhole = false;
    }
    return true;
}

void ControlFeedClient::adoptControlHosts(const rpc::FollowReply &reply)
{
    if (reply.control_hosts().empty()) {
        return;
    }
    const core::Lock lock(m_mutex);
    const auto followed = m_controls[m_chosen].address;
    std::vector<Control> controls;
    for (const auto &message : reply.control_hosts()) {
        const auto host = rpc::decode(message);
        const auto known = std::find_if(m_controls.begin(), m_controls.end(), [&host](const Control &control) {
            return control.address == host.address;
        });
        controls.push_back(
            {host.address,
             host.domain,
             known == m_controls.end() ? std::make_shared<rpc::ControlClient>(host.address) : known->client,
             known == m_controls.end() ? core::TimePoint{} : known->avoidUntil});
    }
    m_controls = std::move(controls);
    m_chosen = 0;
    for (std::size_t position = 0; position < m_controls.size(); ++position) {
        if (m_controls[position].address == followed) {
            m_chosen = position;
        }
    }
}

void ControlFeedClient::addControlHosts(const std::vector<std::string> &addresses)
{
    const core::Lock lock(m_mutex);
    for (const auto &address : addresses) {
        const bool known = std::any_of(m_controls.begin(), m_controls.end(), [&address](const Control &control) {
            return control.address == address;
        });
        if (!known) {
            m_controls.push_back({address, {}, std::make_shared<rpc::ControlClient>(address)});
        }
    }
}

bool ControlFeedClient::avoidsNear() const
{
    const auto domain = m_parts.self().domain;
    const auto now = m_parts.timers.now();
    const core::Lock lock(m_mutex);
    return std::any_of(m_controls.begin(), m_controls.end(), [&](const Control &control) {
        return control.domain == domain && control.avoidUntil > now;
    });
}

void ControlFeedClient::preferNear()
{
    const auto domain = m_parts.self().domain;
    const auto now = m_parts.timers.now();
    const core::Lock lock(m_mutex);
    if (m_controls[m_chosen].domain == domain) {
        return;
    }
    for (std::size_t position = 0; position < m_controls.size(); ++position) {
        if (m_controls[position].domain == domain && m_controls[position].avoidUntil <= now) {
            m_chosen = position;
            return;
        }
    }
}

void ControlFeedClient::learn(const targets::Target &target)
{
    if (m_parts.targets.update(target) != targets::UpdateResult::Reasserted) {
        return;
    }
    if (const auto known = m_parts.targets.find(target.id)) {
        report(*known);
    }
}

void ControlFeedClient::confirm(const rpc::FollowReply &reply)
{
    const auto asked = takeAsked(reply.confirmed_ask());
    if (asked) {
        m_parts.view.confirm(reply.revision(), *asked);
    }
}

std::optional<core::TimePoint> ControlFeedClient::takeAsked(std::uint64_t ask)
{
    const core::Lock lock(m_mutex);
    const auto asked = m_asked.find(ask);
    if (asked == m_asked.end()) {
        return std::nullopt;
    }
    m_lastConfirmed = asked->second;
    m_asked.erase(m_asked.begin(), std::next(asked));
    return m_lastConfirmed;
}

bool ControlFeedClient::unconfirmedForLong() const
{
    const core::Lock lock(m_mutex);
    return m_parts.timers.now() - m_lastConfirmed > ConfirmPatience;
}

void ControlFeedClient::reportAllOwn()
{
    const auto self = m_parts.self().id;
    for (const auto &target : m_parts.targets.all()) {
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
    request.set_host(m_parts.self().id.str());
    std::vector<targets::Target> sent;
    {
        const core::Lock lock(m_mutex);
        if (m_pending.empty()) {
            m_reporting = false;
            return;
        }
        for (auto &[id, target] : m_pending) {
            rpc::encode(target, *request.add_changes());
            sent.push_back(std::move(target));
        }
        m_pending.clear();
    }
    m_parts.traffic(telemetry::ControlMessage::ReportRequest, telemetry::Direction::Out, request.ByteSizeLong());
    client()->report(request,
                     ReportTimeout,
                     [self = shared_from_this(), sent = std::move(sent)](const core::Result<rpc::ReportReply> &reply) {
                         self->m_parts.pool.post([self, sent, arrived = core::ok(reply)]() {
                             self->reportEnded(sent, arrived);
                         });
                     });
}

void ControlFeedClient::reportEnded(const std::vector<targets::Target> &sent, bool arrived)
{
    if (arrived) {
        m_parts.traffic(telemetry::ControlMessage::ReportReply, telemetry::Direction::In, 0);
        sendReports();
        return;
    }
    {
        const core::Lock lock(m_mutex);
        for (const auto &target : sent) {
            // A newer word that came meanwhile stays.
            m_pending.try_emplace(target.id, target);
        }
    }
    later(RetryDelay, &ControlFeedClient::sendReports);
}

std::string ControlFeedClient::followed() const
{
    const core::Lock lock(m_mutex);
    return m_controls[m_chosen].address;
}

void ControlFeedClient::noteAnswer()
{
    const core::Lock lock(m_mutex);
    m_answered = true;
    m_failures = 0;
}

void ControlFeedClient::moveOn()
{
    const core::Lock lock(m_mutex);
    m_lastConfirmed = m_parts.timers.now();
    ++m_failures;
    auto &left = m_controls[m_chosen];
    // Hosts that start together refuse calls until they are up: no reason to avoid one afterwards.
    left.avoidUntil = m_answered ? m_lastConfirmed + AvoidAfterFailure : m_lastConfirmed;
    // Its connection may be silent for good.
    left.client = std::make_shared<rpc::ControlClient>(left.address);
    m_chosen = (m_chosen + 1) % m_controls.size();
}

void ControlFeedClient::later(core::Duration delay, void (ControlFeedClient::*step)())
{
    auto subscription = m_parts.timers.after(delay, [self = weak_from_this(), step]() {
        if (const auto alive = self.lock()) {
            (alive.get()->*step)();
        }
    });
    const core::Lock lock(m_mutex);
    (step == &ControlFeedClient::ask ? m_askTimer : m_reportTimer) = std::move(subscription);
}

std::shared_ptr<rpc::ControlClient> ControlFeedClient::client() const
{
    const core::Lock lock(m_mutex);
    return m_controls[m_chosen].client;
}

} // namespace pimentoshed::entry
