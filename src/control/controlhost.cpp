#include "control/controlhost.h"

#include "control/followrpchandler.h"
#include "control/leaderforwarder.h"
#include "control/operatorhttphandler.h"
#include "control/peerfollower.h"
#include "control/replicatedstate.h"
#include "control/replicator.h"
#include "control/targetregistry.h"
#include "core/log.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "http/server.h"
#include "membership/voterreplacement.h"
#include "rpc/codec.h"
#include "rpc/commandcodec.h"
#include "rpc/replicationcodec.h"
#include "telemetry/exposition.h"
#include "telemetry/revisionagetracker.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <random>
#include <utility>

namespace pimentoshed::control
{

namespace
{

constexpr auto ServePeriod = std::chrono::milliseconds(50);
/** News of hosts and targets is told together: a twentieth of the two seconds within which a target must have left. */
constexpr auto NewsPeriod = std::chrono::milliseconds(100);
/** An entry host asks at least each second. */
constexpr auto SilentPeriod = std::chrono::seconds(3);
/** Between the questions whether this host is still current, which a quorum answers. */
constexpr auto ConfirmPeriod = std::chrono::milliseconds(300);
/** Between the questions of a host that is no member. */
constexpr auto JoinPeriod = std::chrono::milliseconds(300);
constexpr auto JoinTimeout = std::chrono::milliseconds(800);

bool isEmpty(const std::string &folder)
{
    std::error_code failure;
    return !std::filesystem::exists(folder, failure) || std::filesystem::is_empty(folder, failure);
}

std::uint64_t makeSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

class ControlHost::Impl
{
public:
    explicit Impl(const ControlSettings &settings)
        : m_settings(settings)
        , m_state(settings.parser,
                  [this](const targets::Target &target) {
                      m_targets.learn(target);
                  })
        , m_targets({m_hub,
                     settings.id,
                     [this](const targets::Target &target) {
                         return m_state.asWithdrawn(target);
                     }})
        , m_peers(settings.peers, settings.addressOf)
        , m_pool(settings.workers)
        , m_timers(m_pool.context())
        , m_desk({[this]() {
                      return m_state.activeConfiguration();
                  },
                  m_hub,
                  settings.domain,
                  makeSeed(),
                  [this]() {
                      return controlHosts();
                  }})
    {
    }

    core::Status start()
    {
        m_metrics.beforeExposition([this](telemetry::Registry &metrics) {
            measure(metrics);
        });
        auto founded = found();
        if (!core::ok(founded)) {
            return founded;
        }
        auto replicator =
            Replicator::open(m_settings.dataFolder, m_settings.id, replicatorHooks(), core::seededRandom(makeSeed()));
        if (!core::ok(replicator)) {
            return core::error(replicator);
        }
        m_replicator = std::move(core::value(replicator));
        m_leaderDesk = std::make_unique<LeaderForwarder>(*m_replicator, m_peers, core::steadyNow);
        auto listening = listen();
        if (!core::ok(listening)) {
            return listening;
        }
        serveFeeds();
        m_serveTimer = m_timers.every(ServePeriod, [this]() {
            serve();
        });
        core::log(core::LogLevel::Info, "control-started", {{"operators", m_http.front()->address()}});
        return std::monostate{};
    }

    void learnPeers(const PeerAddresses &peers)
    {
        m_peers.learn(peers);
    }

    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        m_serveTimer.cancel();
        stopFeeds();
        m_desk.close();
        if (m_rpc) {
            m_rpc->stop();
        }
        for (const auto &server : m_http) {
            server->drain();
        }
        if (m_replicator) {
            m_replicator->stop();
        }
        m_pool.stop();
    }

private:
    /** Makes the data folder of a first member, once. */
    core::Status found() const
    {
        const bool first = std::find(m_settings.initialMembers.begin(), m_settings.initialMembers.end(), m_settings.id)
                           != m_settings.initialMembers.end();
        if (!first || !isEmpty(m_settings.dataFolder)) {
            return std::monostate{};
        }
        return Replicator::createDataFolder(m_settings.dataFolder, m_settings.id, m_settings.initialMembers);
    }

    ReplicatorHooks replicatorHooks()
    {
        ReplicatorHooks hooks;
        hooks.apply = [this](const std::string &payload) {
            return m_state.apply(payload);
        };
        hooks.restore = [this](const std::string &bytes) {
            const auto restored = m_state.restore(bytes);
            if (!core::ok(restored)) {
                core::log(core::LogLevel::Error, "snapshot-refused", {{"error", describe(core::error(restored))}});
            }
        };
        hooks.snapshot = [this]() {
            return m_state.snapshot();
        };
        hooks.send = [this](const consensus::Message &message) {
            m_peers.send(message);
        };
        hooks.applied = [this]() {
            m_pool.post([this]() {
                m_leaderDesk->serve();
                m_desk.serve(m_timers.now(), FollowRpcHandler::UpdateScope::Standing);
            });
        };
        hooks.now = core::steadyNow;
        return hooks;
    }

    core::Status listen()
    {
        auto server = rpc::ControlServer::start(m_settings.rpcListen, rpcHooks());
        if (!core::ok(server)) {
            return core::error(server);
        }
        m_rpc = std::move(core::value(server));
        const auto handler = telemetry::withMetrics(m_metrics, m_settings.makeHttpHandler(services()));
        for (const auto &address : {m_settings.operatorListen, m_settings.callerListen}) {
            if (address.empty()) {
                continue;
            }
            auto http = http::Server::Builder(m_pool.context()).address(address).handler(handler).start();
            if (!core::ok(http)) {
                return core::error(http);
            }
            m_http.push_back(core::value(http));
        }
        return std::monostate{};
    }

    /** Follows the control hosts that take part now, and no others. */
    void serveFeeds()
    {
        const auto members = m_replicator->inspect().members;
        if (m_followed == members.voters && !m_feeds.empty()) {
            return;
        }
        m_followed = members.voters;
        std::map<core::HostId, std::shared_ptr<PeerFollower>> feeds;
        for (const auto &host : otherHosts()) {
            const auto found = m_feeds.find(host);
            feeds.emplace(host, found == m_feeds.end() ? startFeed(host) : found->second);
        }
        for (const auto &[host, feed] : m_feeds) {
            if (feeds.count(host) == 0) {
                feed->stop();
                m_hub.removePeer(host);
            }
        }
        m_feeds = std::move(feeds);
        m_hub.noteControlHostsChanged();
    }

    /** The other members, and until there are any the hosts that the settings name. */
    std::vector<core::HostId> otherHosts()
    {
        std::vector<core::HostId> hosts;
        hosts.reserve(m_followed.size());
        for (const auto &member : m_followed) {
            hosts.push_back(member.host);
        }
        if (hosts.empty()) {
            hosts = m_peers.known();
        }
        std::erase(hosts, m_settings.id);
        return hosts;
    }

    std::shared_ptr<PeerFollower> startFeed(const core::HostId &host)
    {
        PeerFollower::Dependencies parts{m_pool,
                                         m_timers,
                                         m_hub,
                                         {m_settings.id, m_settings.rpcListen, m_settings.domain},
                                         [this](const targets::Target &target) {
                                             m_targets.learn(target, membership::UpdateSource::Peer);
                                         },
                                         [this](const core::HostId &silent) {
                                             m_targets.adoptLeases(silent, m_timers.now() + targetLease());
                                         }};
        auto feed = std::make_shared<PeerFollower>(std::move(parts), host, m_peers.addressOf(host));
        feed->start();
        return feed;
    }

    void stopFeeds()
    {
        for (const auto &[host, feed] : m_feeds) {
            feed->stop();
        }
    }

    /** The members, with what is known of where they are. */
    std::vector<membership::ControlHost> controlHosts() const
    {
        std::vector<membership::ControlHost> hosts;
        for (const auto &member : m_replicator->inspect().members.voters) {
            const bool self = member.host == m_settings.id;
            hosts.push_back({member.host,
                             self ? m_settings.rpcListen : m_peers.addressOf(member.host),
                             self ? m_settings.domain : domainOf(member.host)});
        }
        return hosts;
    }

    core::FailureDomain domainOf(const core::HostId &host) const
    {
        const core::Lock lock(m_mutex);
        const auto found = m_domains.find(host);
        return found == m_domains.end() ? core::FailureDomain() : found->second;
    }

    /** Notes where another control host is, as it says itself. */
    void hearPeer(const core::HostId &host, const core::FailureDomain &domain)
    {
        if (host.empty() || domain.empty()) {
            return;
        }
        {
            const core::Lock lock(m_mutex);
            if (std::exchange(m_domains[host], domain) == domain) {
                return;
            }
        }
        m_hub.noteControlHostsChanged();
    }

    core::Duration targetLease() const
    {
        const auto standing = m_state.activeConfiguration();
        return standing->configuration ? standing->configuration->limits.targetLease
                                       : configuration::Limits{}.targetLease;
    }

    HttpHandlerDependencies services()
    {
        HttpHandlerDependencies services;
        services.id = m_settings.id;
        services.domain = m_settings.domain;
        services.submitChange = [this](const changes::Change &change, std::function<void(changes::Answer)> done) {
            submit(change, std::move(done));
        };
        services.submitWithdrawal = [this](const targets::Target &target, std::function<void(changes::Answer)> done) {
            submit(target, std::move(done));
        };
        services.activeConfiguration = [this]() {
            return m_state.activeConfiguration();
        };
        services.confirmCurrent = [this](std::function<void(bool)> hook) {
            m_leaderDesk->confirm(std::move(hook));
        };
        services.announce = [this](const targets::Target &target) {
            return m_targets.announce(target, m_timers.now() + targetLease());
        };
        services.findTarget = [this](const core::TargetId &id) {
            return m_targets.find(id);
        };
        services.inspectLog = [this]() {
            return m_replicator->inspect();
        };
        services.entryHosts = [this]() {
            return m_hub.hosts();
        };
        services.targetCount = [this]() {
            return m_hub.targetCount();
        };
        services.controlHosts = [this]() {
            return controlHosts();
        };
        return services;
    }

    void submit(const rpc::Command &command, std::function<void(changes::Answer)> done)
    {
        m_leaderDesk->submit(
            rpc::encodeCommand(command), [done = std::move(done)](const core::Result<std::string> &answer) {
                done(core::ok(answer) ? rpc::decodeAnswer(core::value(answer)) : changes::Answer(core::error(answer)));
            });
    }

    rpc::ControlHooks rpcHooks()
    {
        rpc::ControlHooks hooks;
        hooks.follow = [this](const rpc::FollowRequest &request, const rpc::Responder<rpc::FollowReply> &respond) {
            if (request.peer()) {
                hearPeer(core::HostId(request.host().id()), core::FailureDomain(request.host().domain()));
            } else if (!m_desk.isRedirected(request)) {
                m_hub.recordContact(rpc::decode(request.host()), m_timers.now());
            }
            count(telemetry::ControlMessage::FollowRequest, telemetry::Direction::In, request);
            m_desk.take(request, countedReply(respond), m_timers.now());
        };
        hooks.report = [this](const rpc::ReportRequest &request, const rpc::Responder<rpc::ReportReply> &respond) {
            count(telemetry::ControlMessage::ReportRequest, telemetry::Direction::In, request);
            learn(request);
            const rpc::ReportReply reply;
            count(telemetry::ControlMessage::ReportReply, telemetry::Direction::Out, reply);
            respond(reply);
        };
        hooks.deliver = [this](const rpc::Envelope &envelope) {
            deliver(envelope);
        };
        hooks.identify = [this]() {
            rpc::MemberId member;
            rpc::encode(m_replicator->self(), member);
            return member;
        };
        hooks.confirm = [this](const rpc::Responder<rpc::ConfirmReply> &respond) {
            confirmFor(respond);
        };
        hooks.submit = [this](const rpc::SubmitRequest &request, const rpc::Responder<rpc::SubmitReply> &respond) {
            submitFor(request, respond);
        };
        hooks.join = [this](const rpc::JoinRequest &request) {
            seat(rpc::decode(request.member()));
            rpc::JoinReply reply;
            rpc::encode(m_replicator->inspect().members, *reply.mutable_members());
            return reply;
        };
        return hooks;
    }

    void deliver(const rpc::Envelope &envelope)
    {
        const auto message = rpc::decode(envelope);
        if (core::ok(message)) {
            m_replicator->receive(core::value(message));
        } else {
            core::log(core::LogLevel::Warning, "envelope-malformed", {{"error", describe(core::error(message))}});
        }
    }

    void confirmFor(const rpc::Responder<rpc::ConfirmReply> &respond)
    {
        m_replicator->confirm([respond](const core::Result<consensus::LogIndex> &index) {
            rpc::ConfirmReply reply;
            if (core::ok(index)) {
                reply.set_index(core::value(index).value());
            } else {
                reply.set_error(static_cast<std::uint32_t>(core::error(index).code));
                reply.set_detail(core::error(index).detail);
            }
            respond(reply);
        });
    }

    void submitFor(const rpc::SubmitRequest &request, const rpc::Responder<rpc::SubmitReply> &respond)
    {
        m_replicator->submit(request.payload(), [respond](const core::Result<std::string> &answer) {
            rpc::SubmitReply reply;
            if (core::ok(answer)) {
                reply.set_answer(core::value(answer));
            } else {
                reply.set_error(static_cast<std::uint32_t>(core::error(answer).code));
                reply.set_detail(core::error(answer).detail);
            }
            respond(reply);
        });
    }

    /** Gives @p newcomer a seat, where this host leads and one can be had. */
    void seat(const consensus::MemberId &newcomer)
    {
        const auto log = m_replicator->inspect();
        if (log.role != consensus::Role::Leader || log.members.joining == newcomer) {
            return;
        }
        auto change = membership::voterChangeFor(newcomer, seats(log), m_settings.maxVoters);
        if (!change) {
            return;
        }
        if (!log.members.isSettled()) {
            if (!log.members.joining || silence(log, *log.members.joining) < membership::VoterReplacementDelay) {
                return;
            }
            change->abandonRunning = true;
        }
        const auto started = m_replicator->changeMembers(*change);
        core::log(core::LogLevel::Info,
                  "member-joins",
                  {{"member", newcomer.host.str()},
                   {"disk", newcomer.disk.str()},
                   {"instead_of", change->leaving ? change->leaving->host.str() : ""},
                   {"outcome", core::ok(started) ? "started" : describe(core::error(started))}});
    }

    std::vector<membership::VoterStatus> seats(const consensus::ReplicaStatus &log) const
    {
        std::vector<membership::VoterStatus> seats;
        seats.reserve(log.members.voters.size());
        for (const auto &voter : log.members.voters) {
            seats.push_back({voter, silence(log, voter)});
        }
        return seats;
    }

    /** How long the leader, whose @p log this is, has not heard @p member. */
    core::Duration silence(const consensus::ReplicaStatus &log, const consensus::MemberId &member) const
    {
        const auto found = std::find_if(log.progress.begin(), log.progress.end(), [&member](const auto &progress) {
            return progress.member == member;
        });
        return found == log.progress.end() ? core::Duration{} : m_timers.now() - found->lastContact;
    }

    /** Asks for a seat while this host has none, or hears no leader and so may have lost its own. */
    void serveJoining(core::TimePoint now)
    {
        const auto log = m_replicator->inspect();
        const bool takesPart = log.members.isVoter(log.self) && log.leader;
        if (takesPart || m_settings.maxVoters == 0) {
            m_joinAt = now + JoinPeriod;
            return;
        }
        if (now < m_joinAt) {
            return;
        }
        m_joinAt = now + JoinPeriod;
        rpc::JoinRequest request;
        rpc::encode(log.self, *request.mutable_member());
        auto hosts = m_peers.known();
        std::erase(hosts, m_settings.id);
        for (const auto &host : hosts) {
            if (const auto client = m_peers.find(host)) {
                client->join(request, JoinTimeout, [this](const core::Result<rpc::JoinReply> &reply) {
                    learnMembers(reply);
                });
            }
        }
    }

    /** Notes where the members are, to ask them next time. */
    void learnMembers(const core::Result<rpc::JoinReply> &reply)
    {
        if (!core::ok(reply)) {
            return;
        }
        for (const auto &member : rpc::decode(core::value(reply).members()).voters) {
            m_peers.find(member.host);
        }
    }

    /** Confirms the calls that have come in; one round at a time, so that a round serves all of them. */
    void serveConfirming(core::TimePoint now)
    {
        if (now < m_confirmAt || m_confirming.exchange(true)) {
            return;
        }
        m_confirmAt = now + ConfirmPeriod;
        m_leaderDesk->confirm([this, asks = m_desk.asks()](bool current) {
            if (current) {
                m_desk.confirm(asks, m_timers.now());
            }
            m_confirming = false;
        });
    }

    template<typename Message>
    void count(telemetry::ControlMessage kind, telemetry::Direction direction, const Message &message)
    {
        m_metrics.countMessage(kind, direction, message.ByteSizeLong());
    }

    rpc::Responder<rpc::FollowReply> countedReply(const rpc::Responder<rpc::FollowReply> &respond)
    {
        return [this, respond](const rpc::FollowReply &reply) {
            count(telemetry::ControlMessage::FollowReply, telemetry::Direction::Out, reply);
            respond(reply);
        };
    }

    /** Sets the gauges from what the state dump reads too. */
    void measure(telemetry::Registry &metrics)
    {
        metrics.set(telemetry::Metric::Revision, {}, static_cast<double>(m_state.activeConfiguration()->revision));
        metrics.set(telemetry::Metric::RevisionAge, {}, core::toSeconds(m_revisionClock.age(m_timers.now())));
        metrics.set(telemetry::Metric::EntryHosts, {}, static_cast<double>(m_hub.hosts().size()));
        metrics.set(telemetry::Metric::PendingFollowCalls, {}, static_cast<double>(m_desk.heldCount()));
        for (const auto &row : targets::ConditionNames) {
            metrics.set(telemetry::Metric::Targets,
                        {{"condition", std::string(row.name)}},
                        static_cast<double>(m_hub.targetCount(row.value)));
        }
    }

    void learn(const rpc::ReportRequest &request)
    {
        for (const auto &message : request.changes()) {
            const auto target = rpc::decode(message);
            if (core::ok(target)) {
                m_targets.learn(core::value(target));
            } else {
                core::log(core::LogLevel::Warning, "report-malformed", {{"error", describe(core::error(target))}});
            }
        }
    }

    void serve()
    {
        const auto now = m_timers.now();
        m_replicator->tick();
        m_leaderDesk->serve();
        m_revisionClock.record(m_state.activeConfiguration()->revision, now);
        m_hub.removeSilentHosts(now - SilentPeriod);
        m_targets.expire(now);
        serveFeeds();
        serveJoining(now);
        serveConfirming(now);
        serveNews(now);
    }

    void serveNews(core::TimePoint now)
    {
        const bool all = now >= m_newsAt;
        if (all) {
            m_newsAt = now + NewsPeriod;
        }
        m_desk.serve(now, all ? FollowRpcHandler::UpdateScope::All : FollowRpcHandler::UpdateScope::Standing);
    }

    const ControlSettings m_settings;
    ReplicatedState m_state;
    TargetRegistry m_targets;
    telemetry::Registry m_metrics;
    telemetry::RevisionAgeTracker m_revisionClock;
    membership::MembershipFeed m_hub;
    PeerClients m_peers;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_confirming{false};
    /** Of the serve timer alone. */
    core::TimePoint m_confirmAt{};
    core::TimePoint m_joinAt{};
    core::TimePoint m_newsAt{};
    std::vector<consensus::MemberId> m_followed;
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::map<core::HostId, core::FailureDomain> m_domains;
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    FollowRpcHandler m_desk;
    std::unique_ptr<Replicator> m_replicator;
    std::unique_ptr<LeaderForwarder> m_leaderDesk;
    std::map<core::HostId, std::shared_ptr<PeerFollower>> m_feeds;
    std::vector<std::shared_ptr<http::Server>> m_http;
    std::unique_ptr<rpc::ControlServer> m_rpc;
    core::TimerSubscription m_serveTimer;
};

ControlHost::ControlHost(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ControlHost::~ControlHost()
{
    stop();
}

core::Result<std::unique_ptr<ControlHost>> ControlHost::start(const ControlSettings &settings)
{
    auto impl = std::make_shared<Impl>(settings);
    const auto started = impl->start();
    if (!core::ok(started)) {
        impl->stop();
        return core::error(started);
    }
    return std::unique_ptr<ControlHost>(new ControlHost(std::move(impl)));
}

void ControlHost::updatePeers(const PeerAddresses &peers)
{
    m_impl->learnPeers(peers);
}

void ControlHost::stop()
{
    m_impl->stop();
}

} // namespace pimentoshed::control
