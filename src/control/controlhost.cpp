#include "control/controlhost.h"

#include "control/followdesk.h"
#include "control/leaderdesk.h"
#include "control/operatorfront.h"
#include "control/peerfeed.h"
#include "control/replicatedstate.h"
#include "control/replicator.h"
#include "core/log.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "http/server.h"
#include "rpc/codec.h"
#include "rpc/commandcodec.h"
#include "rpc/replicationcodec.h"
#include "telemetry/exposition.h"
#include "telemetry/revisionclock.h"

#include <atomic>
#include <chrono>
#include <random>

namespace pimentoshed::control
{

namespace
{

constexpr auto ServePeriod = std::chrono::milliseconds(50);
constexpr auto SilentPeriod = std::chrono::seconds(3);

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
        , m_peers(settings.peers)
        , m_pool(settings.workers)
        , m_timers(m_pool.context())
        , m_desk({[this]() {
                      return m_state.standing();
                  },
                  m_hub,
                  makeSeed()})
    {
    }

    core::Status start()
    {
        m_metrics.beforeExposition([this](telemetry::Registry &metrics) {
            measure(metrics);
        });
        auto replicator =
            Replicator::open(m_settings.dataFolder, m_settings.id, replicatorHooks(), core::seededRandom(makeSeed()));
        if (!core::ok(replicator)) {
            return core::error(replicator);
        }
        m_replicator = std::move(core::value(replicator));
        m_leaderDesk = std::make_unique<LeaderDesk>(*m_replicator, m_peers, core::steadyNow);
        auto listening = listen();
        if (!core::ok(listening)) {
            return listening;
        }
        startFeeds();
        m_serveTimer = m_timers.every(ServePeriod, [this]() {
            serve();
        });
        core::log(core::LogLevel::Info, "control-started", {{"operators", m_http->address()}});
        return std::monostate{};
    }

    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        m_serveTimer.cancel();
        for (const auto &feed : m_feeds) {
            feed->stop();
        }
        m_desk.close();
        if (m_rpc) {
            m_rpc->stop();
        }
        if (m_http) {
            m_http->drain();
        }
        if (m_replicator) {
            m_replicator->stop();
        }
        m_pool.stop();
    }

private:
    ReplicatorHooks replicatorHooks()
    {
        ReplicatorHooks hooks;
        hooks.apply = [this](const std::string &payload) {
            return m_state.apply(payload);
        };
        hooks.send = [this](const consensus::Message &message) {
            m_peers.send(message);
        };
        hooks.applied = [this]() {
            m_pool.post([this]() {
                serve();
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
        auto http = http::Server::Builder(m_pool.context())
                        .address(m_settings.operatorListen)
                        .handler(telemetry::withMetrics(m_metrics, operatorHandler(m_settings.id, operatorHooks())))
                        .start();
        if (!core::ok(http)) {
            return core::error(http);
        }
        m_http = core::value(http);
        return std::monostate{};
    }

    void startFeeds()
    {
        for (const auto &[host, address] : m_settings.peers) {
            if (host == m_settings.id) {
                continue;
            }
            m_feeds.push_back(std::make_shared<PeerFeed>(PeerFeed::Parts{m_pool,
                                                                         m_timers,
                                                                         m_hub,
                                                                         [this]() {
                                                                             m_desk.serve(m_timers.now());
                                                                         }},
                                                         host,
                                                         address));
            m_feeds.back()->start();
        }
    }

    OperatorHooks operatorHooks()
    {
        OperatorHooks hooks;
        hooks.change = [this](const changes::Change &change, std::function<void(changes::Answer)> done) {
            m_leaderDesk->submit(rpc::encodeCommand(change),
                                 [done = std::move(done)](const core::Result<std::string> &answer) {
                                     done(core::ok(answer) ? rpc::decodeAnswer(core::value(answer))
                                                           : changes::Answer(core::error(answer)));
                                 });
        };
        hooks.standing = [this]() {
            return m_state.standing();
        };
        hooks.log = [this]() {
            return m_replicator->inspect();
        };
        hooks.hosts = [this]() {
            return m_hub.hosts();
        };
        hooks.targetCount = [this]() {
            return m_hub.targetCount();
        };
        return hooks;
    }

    rpc::ControlHooks rpcHooks()
    {
        rpc::ControlHooks hooks;
        hooks.follow = [this](const rpc::FollowRequest &request, const rpc::Respond<rpc::FollowReply> &respond) {
            if (!request.peer()) {
                m_hub.hear(rpc::decode(request.host()), m_timers.now());
            }
            count(telemetry::ControlMessage::FollowRequest, telemetry::Direction::In, request);
            m_desk.take(request, countedReply(respond), m_timers.now());
            confirm();
        };
        hooks.report = [this](const rpc::ReportRequest &request, const rpc::Respond<rpc::ReportReply> &respond) {
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
        hooks.confirm = [this](const rpc::Respond<rpc::ConfirmReply> &respond) {
            confirmFor(respond);
        };
        hooks.submit = [this](const rpc::SubmitRequest &request, const rpc::Respond<rpc::SubmitReply> &respond) {
            submitFor(request, respond);
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

    void confirmFor(const rpc::Respond<rpc::ConfirmReply> &respond)
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

    void submitFor(const rpc::SubmitRequest &request, const rpc::Respond<rpc::SubmitReply> &respond)
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

    /** Confirms the calls that have come in; one round at a time, so that a round serves all of them. */
    void confirm()
    {
        if (m_confirming.exchange(true)) {
            m_confirmAgain = true;
            return;
        }
        m_confirmAgain = false;
        m_leaderDesk->confirm([this, asks = m_desk.asks()](bool current) {
            if (current) {
                m_desk.confirm(asks);
            }
            m_confirming = false;
            if (m_confirmAgain && current && !m_stopped) {
                m_pool.post([this]() {
                    confirm();
                });
            }
        });
    }

    template<typename Message>
    void count(telemetry::ControlMessage kind, telemetry::Direction direction, const Message &message)
    {
        m_metrics.countMessage(kind, direction, message.ByteSizeLong());
    }

    rpc::Respond<rpc::FollowReply> countedReply(const rpc::Respond<rpc::FollowReply> &respond)
    {
        return [this, respond](const rpc::FollowReply &reply) {
            count(telemetry::ControlMessage::FollowReply, telemetry::Direction::Out, reply);
            respond(reply);
        };
    }

    /** Sets the gauges from what the state dump reads too. */
    void measure(telemetry::Registry &metrics)
    {
        metrics.set(telemetry::Metric::Revision, {}, static_cast<double>(m_state.standing()->revision));
        metrics.set(telemetry::Metric::RevisionAge, {}, core::toSeconds(m_revisionClock.age(m_timers.now())));
        metrics.set(telemetry::Metric::EntryHosts, {}, static_cast<double>(m_hub.hosts().size()));
        metrics.set(telemetry::Metric::HeldFollowCalls, {}, static_cast<double>(m_desk.heldCount()));
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
                m_hub.learn(core::value(target));
            } else {
                core::log(core::LogLevel::Warning, "report-malformed", {{"error", describe(core::error(target))}});
            }
        }
        m_pool.post([this]() {
            m_desk.serve(m_timers.now());
        });
    }

    void serve()
    {
        m_replicator->tick();
        m_leaderDesk->serve();
        m_revisionClock.note(m_state.standing()->revision, m_timers.now());
        m_hub.forgetSilent(m_timers.now() - SilentPeriod);
        m_desk.serve(m_timers.now());
    }

    const ControlSettings m_settings;
    ReplicatedState m_state;
    telemetry::Registry m_metrics;
    telemetry::RevisionClock m_revisionClock;
    membership::Hub m_hub;
    Peers m_peers;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_confirming{false};
    std::atomic<bool> m_confirmAgain{false};
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    FollowDesk m_desk;
    std::unique_ptr<Replicator> m_replicator;
    std::unique_ptr<LeaderDesk> m_leaderDesk;
    std::vector<std::shared_ptr<PeerFeed>> m_feeds;
    std::shared_ptr<http::Server> m_http;
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

void ControlHost::stop()
{
    m_impl->stop();
}

} // namespace pimentoshed::control
