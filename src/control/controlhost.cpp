#include "control/controlhost.h"

#include "control/countrelay.h"
#include "control/followrpchandler.h"
#include "control/leaderforwarder.h"
#include "control/leaserpchandler.h"
#include "control/operatorhttphandler.h"
#include "control/peerfollower.h"
#include "control/replicatedstate.h"
#include "control/replicator.h"
#include "control/rolloutcoordinator.h"
#include "control/targetregistry.h"
#include "control/targetstore.h"
#include "core/log.h"
#include "core/stallmonitor.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "http/server.h"
#include "membership/targetknowledge.h"
#include "membership/voterreplacement.h"
#include "quotas/leaseholder.h"
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

/** Period of the timer that drives all periodic work, the replica included. */
constexpr auto TickPeriod = std::chrono::milliseconds(50);
/**
 * Updates of hosts and targets are batched for this long: a twentieth of the two seconds within which the removal of a
 * target must take effect.
 */
constexpr auto UpdatePeriod = std::chrono::milliseconds(100);
/** Entry hosts not heard from for this long are removed; each sends a follow call at least once a second. */
constexpr auto EntryHostTimeout = std::chrono::seconds(3);
/** Interval between confirmations by a quorum that this host is still current. */
constexpr auto ConfirmPeriod = std::chrono::milliseconds(300);
/** The same while confirmations fail, so that entry hosts learn of a new leader before their permission ends. */
constexpr auto FailingConfirmPeriod = std::chrono::milliseconds(100);
/** Interval between the join requests of a host that is not a member. */
constexpr auto JoinPeriod = std::chrono::milliseconds(300);
constexpr auto JoinTimeout = std::chrono::milliseconds(800);

bool isMissingOrEmpty(const std::string &folder)
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
                      m_targets.record(target);
                  })
        , m_targets({m_membershipFeed,
                     settings.id,
                     [this](const targets::Target &target) {
                         return m_state.applyWithdrawal(target);
                     }})
        , m_peers(settings.peers, settings.addressOf)
        , m_pool(settings.workers)
        , m_timers(m_pool.context())
        , m_followHandler({[this]() {
                               return m_state.activeConfiguration();
                           },
                           m_membershipFeed,
                           settings.domain,
                           makeSeed(),
                           [this]() {
                               return controlHosts();
                           },
                           [this]() {
                               return m_targetKnowledge.isComplete(m_timers.now(), targetLease());
                           }})
        , m_leaseHandler(leaseHandlerDependencies())
        , m_countRelay(m_peers,
                       [this]() {
                           return leader();
                       })
        , m_rollouts(rolloutDependencies())
    {
    }

    core::Status start()
    {
        m_metrics.beforeExposition([this](telemetry::Registry &metrics) {
            updateGauges(metrics);
            m_rollouts.updateGauges(metrics);
        });
        auto created = createInitialDataFolder();
        if (!core::ok(created)) {
            return created;
        }
        auto replicator =
            Replicator::open(m_settings.dataFolder, m_settings.id, replicatorHooks(), core::seededRandom(makeSeed()));
        if (!core::ok(replicator)) {
            return core::error(replicator);
        }
        m_replicator = std::move(core::value(replicator));
        m_targetStore = std::make_unique<TargetStore>(m_settings.dataFolder, targetStoreDependencies(), m_timers.now());
        m_leaderForwarder = std::make_unique<LeaderForwarder>(*m_replicator, m_peers, core::steadyNow);
        m_targetKnowledge.start(m_timers.now());
        auto listening = listen();
        if (!core::ok(listening)) {
            return listening;
        }
        updateFollowers();
        m_tickTimer = m_timers.every(TickPeriod, [this]() {
            tick();
        });
        core::log(core::LogLevel::Info, "control-started", {{"operators", m_httpServers.front()->address()}});
        return std::monostate{};
    }

    void updatePeers(const PeerAddresses &peers)
    {
        m_peers.update(peers);
    }

    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        m_tickTimer.cancel();
        stopFollowers();
        m_followHandler.close();
        if (m_replicator) {
            // The RPC server stops only once every call has been answered.
            m_replicator->close();
        }
        if (m_rpcServer) {
            m_rpcServer->stop();
        }
        for (const auto &server : m_httpServers) {
            server->drain();
        }
        if (m_replicator) {
            m_replicator->stop();
        }
        if (m_targetStore) {
            m_targetStore->stop();
        }
        m_pool.stop();
    }

private:
    /** Creates the data folder of a first member, if it is empty. */
    core::Status createInitialDataFolder() const
    {
        const bool isInitialMember =
            std::find(m_settings.initialMembers.begin(), m_settings.initialMembers.end(), m_settings.id)
            != m_settings.initialMembers.end();
        if (!isInitialMember || !isMissingOrEmpty(m_settings.dataFolder)) {
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
            return m_state.restore(bytes);
        };
        hooks.snapshot = [this]() {
            return m_state.snapshot();
        };
        hooks.send = [this](const consensus::Message &message) {
            m_peers.send(message);
        };
        hooks.applied = [this]() {
            m_pool.post([this]() {
                m_leaderForwarder->processWaiting();
                m_followHandler.answerDue(m_timers.now(), FollowRpcHandler::UpdateScope::Configuration);
            });
        };
        hooks.now = core::steadyNow;
        return hooks;
    }

    TargetStore::Dependencies targetStoreDependencies()
    {
        return {m_targets,
                m_membershipFeed,
                [this]() {
                    return m_isStateConfirmed && m_replicator->status().role == consensus::Role::Leader;
                },
                [this]() {
                    return targetLease();
                }};
    }

    LeaseRpcHandler::Dependencies leaseHandlerDependencies()
    {
        return {[this]() {
                    return m_replicator->status();
                },
                [this]() {
                    return m_state.activeConfiguration();
                },
                [this](const core::HostId &leader,
                       const rpc::LeaseRequest &request,
                       const rpc::Responder<rpc::LeaseReply> &respond) {
                    const auto client = m_peers.clientFor(leader);
                    if (!client) {
                        return false;
                    }
                    client->lease(request,
                                  quotas::LeaseHolder::CallTimeout,
                                  [respond](const core::Result<rpc::LeaseReply> &reply) {
                                      respond(core::ok(reply) ? core::value(reply) : rpc::LeaseReply());
                                  });
                    return true;
                },
                core::steadyNow};
    }

    RolloutCoordinator::Dependencies rolloutDependencies()
    {
        RolloutCoordinator::Dependencies dependencies;
        dependencies.activeConfiguration = [this]() {
            return m_state.activeConfiguration();
        };
        dependencies.isLeader = [this]() {
            return m_replicator->status().role == consensus::Role::Leader;
        };
        dependencies.confirmCurrent = [this](std::function<void(bool)> hook) {
            m_leaderForwarder->confirm(std::move(hook));
        };
        dependencies.submit = [this](const rpc::Command &command, std::function<void(changes::Answer)> done) {
            submit(command, std::move(done));
        };
        dependencies.targets = [this]() {
            return m_membershipFeed.targets();
        };
        dependencies.relay = [this](const std::vector<rollouts::HostCounts> &counts) {
            m_countRelay.send(counts);
        };
        dependencies.now = core::steadyNow;
        return dependencies;
    }

    std::optional<core::HostId> leader() const
    {
        const auto status = m_replicator->status();
        return status.leader ? std::optional(status.leader->host) : std::nullopt;
    }

    core::Status listen()
    {
        auto server = rpc::ControlServer::start(m_settings.rpcListen, rpcHooks());
        if (!core::ok(server)) {
            return core::error(server);
        }
        m_rpcServer = std::move(core::value(server));
        const auto handler = telemetry::withMetrics(m_metrics, m_settings.makeHttpHandler(httpHandlerDependencies()));
        for (const auto &address : {m_settings.operatorListen, m_settings.callerListen}) {
            if (address.empty()) {
                continue;
            }
            auto http = http::Server::Builder(m_pool.context()).address(address).handler(handler).start();
            if (!core::ok(http)) {
                return core::error(http);
            }
            m_httpServers.push_back(core::value(http));
        }
        return std::monostate{};
    }

    /** Starts to follow new voters and stops following hosts that are no longer voters. */
    void updateFollowers()
    {
        const auto members = m_replicator->status().members;
        if (m_followedVoters == members.voters && !m_followers.empty()) {
            return;
        }
        m_followedVoters = members.voters;
        std::map<core::HostId, std::shared_ptr<PeerFollower>> followers;
        const auto hosts = otherHosts();
        // Before the followers report what they have heard.
        m_targetKnowledge.setPeers(hosts, m_timers.now());
        for (const auto &host : hosts) {
            const auto found = m_followers.find(host);
            followers.emplace(host, found == m_followers.end() ? startFollower(host) : found->second);
        }
        for (const auto &[host, follower] : m_followers) {
            if (followers.count(host) == 0) {
                follower->stop();
                m_membershipFeed.removePeer(host);
            }
        }
        m_followers = std::move(followers);
        m_membershipFeed.noteControlHostsChanged();
    }

    /** Returns the other voters; while none are known, the hosts that have an RPC client. */
    std::vector<core::HostId> otherHosts()
    {
        std::vector<core::HostId> hosts;
        hosts.reserve(m_followedVoters.size());
        for (const auto &member : m_followedVoters) {
            hosts.push_back(member.host);
        }
        if (hosts.empty()) {
            hosts = m_peers.knownHosts();
        }
        std::erase(hosts, m_settings.id);
        return hosts;
    }

    std::shared_ptr<PeerFollower> startFollower(const core::HostId &host)
    {
        PeerFollower::Dependencies dependencies{m_pool,
                                                m_timers,
                                                m_membershipFeed,
                                                {m_settings.id, m_settings.rpcListen, m_settings.domain},
                                                [this](const std::vector<targets::Target> &targets) {
                                                    recordPeerTargets(targets);
                                                },
                                                [this](const core::HostId &peer, const membership::PeerUpdate &update) {
                                                    m_targetKnowledge.recordUpdate(peer, update);
                                                },
                                                [this](const core::HostId &silent) {
                                                    m_targets.adoptLeases(silent, m_timers.now() + targetLease());
                                                }};
        auto follower = std::make_shared<PeerFollower>(std::move(dependencies), host, m_peers.addressOf(host));
        follower->start();
        return follower;
    }

    void recordPeerTargets(const std::vector<targets::Target> &targets)
    {
        for (const auto &target : targets) {
            m_targets.record(target, membership::UpdateSource::Peer);
        }
        adoptOwnLeases();
    }

    /**
     * Keeps the leases again that this host kept before a restart, of targets that other hosts have reported back to
     * it: no other host would end them.
     */
    void adoptOwnLeases()
    {
        m_targets.adoptLeases(m_settings.id, m_timers.now() + targetLease());
    }

    membership::IncarnationKnowledge incarnationKnowledge(const core::TargetId &id) const
    {
        const auto now = m_timers.now();
        if (m_targets.isAnnouncedHere(id, now)) {
            return membership::IncarnationKnowledge::Latest;
        }
        return m_targetKnowledge.isCurrent(now, targetLease()) ? membership::IncarnationKnowledge::LatestIfCurrent
                                                               : membership::IncarnationKnowledge::Uncertain;
    }

    void stopFollowers()
    {
        for (const auto &[host, follower] : m_followers) {
            follower->stop();
        }
    }

    /** Returns the voters, with their addresses and failure domains where those are known. */
    std::vector<membership::ControlHost> controlHosts() const
    {
        std::vector<membership::ControlHost> hosts;
        for (const auto &member : m_replicator->status().members.voters) {
            const bool isSelf = member.host == m_settings.id;
            const auto known = m_peers.addressOf(member.host);
            hosts.push_back({member.host,
                             isSelf && known.empty() ? m_settings.rpcListen : known,
                             isSelf ? m_settings.domain : domainOf(member.host)});
        }
        return hosts;
    }

    core::FailureDomain domainOf(const core::HostId &host) const
    {
        const core::Lock lock(m_mutex);
        const auto found = m_peerDomains.find(host);
        return found == m_peerDomains.end() ? core::FailureDomain() : found->second;
    }

    /** Records the failure domain that another control host reports for itself. */
    void recordPeerDomain(const core::HostId &host, const core::FailureDomain &domain)
    {
        if (host.empty() || domain.empty()) {
            return;
        }
        {
            const core::Lock lock(m_mutex);
            if (std::exchange(m_peerDomains[host], domain) == domain) {
                return;
            }
        }
        m_membershipFeed.noteControlHostsChanged();
    }

    core::Duration targetLease() const
    {
        const auto active = m_state.activeConfiguration();
        return active->configuration ? active->configuration->limits.targetLease : configuration::Limits{}.targetLease;
    }

    HttpHandlerDependencies httpHandlerDependencies()
    {
        HttpHandlerDependencies dependencies;
        dependencies.id = m_settings.id;
        dependencies.domain = m_settings.domain;
        dependencies.receiveOrder = [this]() {
            return OrderAge(m_stalls);
        };
        dependencies.submitChange = [this](const changes::Change &change, std::function<void(changes::Answer)> done) {
            submit(change, std::move(done));
        };
        dependencies.submitWithdrawal = [this](const targets::Target &target,
                                               std::function<void(changes::Answer)> done) {
            submit(target, std::move(done));
        };
        dependencies.startRollout = [this](const changes::StartRollout &change,
                                           const OrderAge &age,
                                           const std::function<void(changes::Answer)> &done) {
            m_rollouts.start(change, age, done);
        };
        dependencies.activeConfiguration = [this]() {
            return m_state.activeConfiguration();
        };
        dependencies.confirmCurrent = [this](std::function<void(bool)> hook) {
            m_leaderForwarder->confirm(std::move(hook));
        };
        dependencies.announce = [this](const targets::Target &target) {
            return m_targets.announce(target, m_timers.now() + targetLease());
        };
        dependencies.incarnationKnowledge = [this](const core::TargetId &id) {
            return incarnationKnowledge(id);
        };
        dependencies.findTarget = [this](const core::TargetId &id) {
            return m_targets.find(id);
        };
        dependencies.replicaStatus = [this]() {
            return m_replicator->status();
        };
        dependencies.entryHosts = [this]() {
            return m_membershipFeed.hosts();
        };
        dependencies.targetCount = [this]() {
            return m_membershipFeed.targetCount();
        };
        dependencies.controlHosts = [this]() {
            return controlHosts();
        };
        return dependencies;
    }

    void submit(const rpc::Command &command, std::function<void(changes::Answer)> done)
    {
        if (const auto *change = std::get_if<changes::Change>(&command)) {
            if (const auto checked = changes::checkNames(*change); !core::ok(checked)) {
                done(core::error(checked));
                return;
            }
        }
        m_leaderForwarder->submit(
            rpc::encodeCommand(command), [done = std::move(done)](const core::Result<std::string> &answer) {
                done(core::ok(answer) ? rpc::decodeAnswer(core::value(answer)) : changes::Answer(core::error(answer)));
            });
    }

    rpc::ControlHooks rpcHooks()
    {
        rpc::ControlHooks hooks;
        hooks.follow = [this](const rpc::FollowRequest &request, const rpc::Responder<rpc::FollowReply> &respond) {
            if (request.peer()) {
                recordPeerDomain(core::HostId(request.host().id()), core::FailureDomain(request.host().domain()));
            } else if (!m_followHandler.isRedirected(request)) {
                m_membershipFeed.recordContact(rpc::decode(request.host()), m_timers.now());
            }
            countMessage(telemetry::ControlMessage::FollowRequest, telemetry::Direction::In, request);
            m_followHandler.handle(request, countedReply(respond), m_timers.now());
        };
        hooks.report = [this](const rpc::ReportRequest &request, const rpc::Responder<rpc::ReportReply> &respond) {
            countMessage(telemetry::ControlMessage::ReportRequest, telemetry::Direction::In, request);
            applyReport(request);
            const rpc::ReportReply reply;
            countMessage(telemetry::ControlMessage::ReportReply, telemetry::Direction::Out, reply);
            respond(reply);
        };
        hooks.lease = [this](const rpc::LeaseRequest &request, const rpc::Responder<rpc::LeaseReply> &respond) {
            countMessage(telemetry::ControlMessage::LeaseRequest, telemetry::Direction::In, request);
            m_leaseHandler.handle(request, [this, respond](const rpc::LeaseReply &reply) {
                countMessage(telemetry::ControlMessage::LeaseReply, telemetry::Direction::Out, reply);
                respond(reply);
            });
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
            handleConfirm(respond);
        };
        hooks.submit = [this](const rpc::SubmitRequest &request, const rpc::Responder<rpc::SubmitReply> &respond) {
            handleSubmit(request, respond);
        };
        hooks.join = [this](const rpc::JoinRequest &request) {
            addVoter(rpc::decode(request.member()));
            rpc::JoinReply reply;
            rpc::encode(m_replicator->status().members, *reply.mutable_members());
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

    void handleConfirm(const rpc::Responder<rpc::ConfirmReply> &respond)
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

    void handleSubmit(const rpc::SubmitRequest &request, const rpc::Responder<rpc::SubmitReply> &respond)
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

    /** Starts to add @p joiningMember as a voter, if this host is the leader and voterChangeFor() yields a change. */
    void addVoter(const consensus::MemberId &joiningMember)
    {
        const auto status = m_replicator->status();
        if (status.role != consensus::Role::Leader || status.members.joining == joiningMember) {
            return;
        }
        auto change = membership::voterChangeFor(joiningMember, voterStatuses(status), m_settings.maxVoters);
        if (!change) {
            return;
        }
        if (!status.members.isSettled()) {
            // A running change gives way only if the member that it adds no longer responds.
            if (!status.members.joining
                || timeSinceContact(status, *status.members.joining) < membership::VoterReplacementDelay) {
                return;
            }
            change->abandonRunning = true;
        }
        const auto started = m_replicator->changeMembers(*change);
        core::log(core::LogLevel::Info,
                  "member-joins",
                  {{"member", joiningMember.host.str()},
                   {"disk", joiningMember.disk.str()},
                   {"instead_of", change->leaving ? change->leaving->host.str() : ""},
                   {"outcome", core::ok(started) ? "started" : describe(core::error(started))}});
    }

    std::vector<membership::VoterStatus> voterStatuses(const consensus::ReplicaStatus &status) const
    {
        std::vector<membership::VoterStatus> statuses;
        statuses.reserve(status.members.voters.size());
        for (const auto &voter : status.members.voters) {
            statuses.push_back({voter, timeSinceContact(status, voter)});
        }
        return statuses;
    }

    /** Time since @p member last answered this host, which is the leader; @p status is that of its replica. */
    core::Duration timeSinceContact(const consensus::ReplicaStatus &status, const consensus::MemberId &member) const
    {
        const auto found =
            std::find_if(status.progress.begin(), status.progress.end(), [&member](const auto &progress) {
                return progress.member == member;
            });
        return found == status.progress.end() ? core::Duration{} : m_timers.now() - found->lastContact;
    }

    /** Sends join requests while this host is not a voter, or has no leader and so may have been replaced. */
    void requestMembership(core::TimePoint now)
    {
        const auto status = m_replicator->status();
        const bool isActiveVoter = status.members.isVoter(status.self) && status.leader;
        if (isActiveVoter || m_settings.maxVoters == 0) {
            m_nextJoin = now + JoinPeriod;
            return;
        }
        if (now < m_nextJoin) {
            return;
        }
        m_nextJoin = now + JoinPeriod;
        rpc::JoinRequest request;
        rpc::encode(status.self, *request.mutable_member());
        auto hosts = m_peers.knownHosts();
        std::erase(hosts, m_settings.id);
        for (const auto &host : hosts) {
            if (const auto client = m_peers.clientFor(host)) {
                client->join(request, JoinTimeout, [this](const core::Result<rpc::JoinReply> &reply) {
                    addMemberClients(reply);
                });
            }
        }
    }

    /** Creates clients for the members in @p reply, so that the next join request goes to them too. */
    void addMemberClients(const core::Result<rpc::JoinReply> &reply)
    {
        if (!core::ok(reply)) {
            return;
        }
        for (const auto &member : rpc::decode(core::value(reply).members()).voters) {
            m_peers.clientFor(member.host);
        }
    }

    /** Time between two rounds of confirmations. */
    core::Duration confirmPeriod() const
    {
        if (m_followHandler.isConfirmationFailing()) {
            return FailingConfirmPeriod;
        }
        return m_followHandler.hasCallAwaitingConfirmation() ? core::Duration{} : ConfirmPeriod;
    }

    /** Confirms the follow calls received so far; one round at a time, so that a round covers all of them. */
    void confirmFollowCalls(core::TimePoint now)
    {
        if (now < m_lastConfirmation + confirmPeriod() || m_isConfirming.exchange(true)) {
            return;
        }
        m_lastConfirmation = now;
        m_leaderForwarder->confirm([this, calls = m_followHandler.receivedCalls()](bool isCurrent) {
            if (isCurrent) {
                m_isStateConfirmed = true;
                m_followHandler.recordConfirmation(calls, m_timers.now());
            } else {
                m_followHandler.recordFailedConfirmation(m_timers.now());
            }
            m_isConfirming = false;
        });
    }

    template<typename Message>
    void countMessage(telemetry::ControlMessage kind, telemetry::Direction direction, const Message &message)
    {
        m_metrics.countMessage(kind, direction, message.ByteSizeLong());
    }

    rpc::Responder<rpc::FollowReply> countedReply(const rpc::Responder<rpc::FollowReply> &respond)
    {
        return [this, respond](const rpc::FollowReply &reply) {
            countMessage(telemetry::ControlMessage::FollowReply, telemetry::Direction::Out, reply);
            respond(reply);
        };
    }

    /** Sets the gauges from the same sources as the state dump. */
    void updateGauges(telemetry::Registry &metrics)
    {
        metrics.set(telemetry::Metric::Revision, {}, static_cast<double>(m_state.activeConfiguration()->revision));
        metrics.set(telemetry::Metric::RevisionAge, {}, core::toSeconds(m_revisionAgeTracker.age(m_timers.now())));
        metrics.set(telemetry::Metric::EntryHosts, {}, static_cast<double>(m_membershipFeed.hosts().size()));
        metrics.set(telemetry::Metric::PendingFollowCalls, {}, static_cast<double>(m_followHandler.pendingCallCount()));
        metrics.set(telemetry::Metric::StorageWorking, {}, m_replicator->status().isStorageFailed ? 0 : 1);
        m_leaseHandler.updateMetrics(metrics);
        for (const auto &row : targets::ConditionNames) {
            metrics.set(telemetry::Metric::Targets,
                        {{"condition", std::string(row.name)}},
                        static_cast<double>(m_membershipFeed.targetCount(row.value)));
        }
    }

    void applyReport(const rpc::ReportRequest &request)
    {
        m_rollouts.record(rpc::decodeCounts(request), request.relayed());
        bool containsOwn = false;
        for (const auto &message : request.changes()) {
            const auto target = rpc::decode(message);
            if (core::ok(target)) {
                m_targets.record(core::value(target));
                containsOwn = containsOwn || core::value(target).origin == m_settings.id;
            } else {
                core::log(core::LogLevel::Warning, "report-malformed", {{"error", describe(core::error(target))}});
            }
        }
        if (containsOwn) {
            adoptOwnLeases();
        }
    }

    void tick()
    {
        m_stalls.beat();
        const auto now = m_timers.now();
        m_replicator->tick();
        m_leaderForwarder->processWaiting();
        m_revisionAgeTracker.record(m_state.activeConfiguration()->revision, now);
        m_membershipFeed.removeSilentHosts(now - EntryHostTimeout);
        m_targets.expire(now);
        m_targetStore->tick(now);
        m_leaseHandler.tick();
        updateFollowers();
        requestMembership(now);
        confirmFollowCalls(now);
        m_rollouts.tick(now);
        answerFollowCalls(now);
    }

    /** Answers the pending follow calls; for updates of hosts and targets only once per UpdatePeriod. */
    void answerFollowCalls(core::TimePoint now)
    {
        const bool isUpdateDue = now >= m_nextUpdate;
        if (isUpdateDue) {
            m_nextUpdate = now + UpdatePeriod;
        }
        m_followHandler.answerDue(
            now, isUpdateDue ? FollowRpcHandler::UpdateScope::All : FollowRpcHandler::UpdateScope::Configuration);
    }

    const ControlSettings m_settings;
    ReplicatedState m_state;
    TargetRegistry m_targets;
    telemetry::Registry m_metrics;
    telemetry::RevisionAgeTracker m_revisionAgeTracker;
    core::StallMonitor m_stalls{LongestPause};
    membership::MembershipFeed m_membershipFeed;
    membership::TargetKnowledge m_targetKnowledge;
    PeerClients m_peers;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_isConfirming{false};
    /** Used only by the serve timer. */
    core::TimePoint m_lastConfirmation{};
    core::TimePoint m_nextJoin{};
    core::TimePoint m_nextUpdate{};
    std::vector<consensus::MemberId> m_followedVoters;
    /** Whether this host has applied everything that was committed before a confirmation by a quorum. */
    std::atomic<bool> m_isStateConfirmed{false};
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::map<core::HostId, core::FailureDomain> m_peerDomains;
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    FollowRpcHandler m_followHandler;
    LeaseRpcHandler m_leaseHandler;
    CountRelay m_countRelay;
    RolloutCoordinator m_rollouts;
    std::unique_ptr<Replicator> m_replicator;
    std::unique_ptr<LeaderForwarder> m_leaderForwarder;
    std::unique_ptr<TargetStore> m_targetStore;
    std::map<core::HostId, std::shared_ptr<PeerFollower>> m_followers;
    std::vector<std::shared_ptr<http::Server>> m_httpServers;
    std::unique_ptr<rpc::ControlServer> m_rpcServer;
    core::TimerSubscription m_tickTimer;
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
    m_impl->updatePeers(peers);
}

void ControlHost::stop()
{
    m_impl->stop();
}

} // namespace pimentoshed::control
