#include "control/controlhost.h"

#include "control/followdesk.h"
#include "control/operatorfront.h"
#include "core/log.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "http/server.h"
#include "rpc/codec.h"
#include "telemetry/exposition.h"
#include "telemetry/revisionclock.h"

#include <chrono>
#include <random>

namespace pimentoshed::control
{

namespace
{

constexpr auto ServePeriod = std::chrono::milliseconds(50);
constexpr auto SilentPeriod = std::chrono::seconds(3);

std::uint64_t makeFeedId()
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
        , m_pool(settings.workers)
        , m_timers(m_pool.context())
        , m_desk({[this]() {
                      return standing();
                  },
                  m_hub,
                  makeFeedId()})
    {
    }

    core::Status start()
    {
        m_metrics.beforeExposition([this](telemetry::Registry &metrics) {
            measure(metrics);
        });
        OperatorHooks hooks;
        hooks.change = [this](const changes::Change &change) {
            return apply(change);
        };
        hooks.standing = [this]() {
            return standing();
        };
        hooks.hosts = [this]() {
            return m_hub.hosts();
        };
        hooks.targetCount = [this]() {
            return m_hub.targetCount();
        };
        auto http = http::Server::Builder(m_pool.context())
                        .address(m_settings.operatorListen)
                        .handler(telemetry::withMetrics(m_metrics, operatorHandler(m_settings.id, std::move(hooks))))
                        .start();
        if (!core::ok(http)) {
            return core::error(http);
        }
        m_http = core::value(http);
        auto server = rpc::ControlServer::start(m_settings.rpcListen, rpcHooks());
        if (!core::ok(server)) {
            return core::error(server);
        }
        m_rpc = std::move(core::value(server));
        m_serveTimer = m_timers.every(ServePeriod, [this]() {
            serve();
        });
        core::log(core::LogLevel::Info, "control-started", {{"operators", m_http->address()}});
        return std::monostate{};
    }

    void stop()
    {
        m_serveTimer.cancel();
        m_desk.close();
        if (m_rpc) {
            m_rpc->stop();
        }
        if (m_http) {
            m_http->drain();
        }
        m_pool.stop();
    }

private:
    rpc::ControlHooks rpcHooks()
    {
        rpc::ControlHooks hooks;
        hooks.follow = [this](const rpc::FollowRequest &request, const rpc::Respond<rpc::FollowReply> &respond) {
            m_hub.hear(rpc::decode(request.host()), m_timers.now());
            count(telemetry::ControlMessage::FollowRequest, telemetry::Direction::In, request);
            m_desk.take(request, countedReply(respond), m_timers.now());
        };
        hooks.report = [this](const rpc::ReportRequest &request, const rpc::Respond<rpc::ReportReply> &respond) {
            count(telemetry::ControlMessage::ReportRequest, telemetry::Direction::In, request);
            learn(request);
            const rpc::ReportReply reply;
            count(telemetry::ControlMessage::ReportReply, telemetry::Direction::Out, reply);
            respond(reply);
        };
        return hooks;
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
        metrics.set(telemetry::Metric::Revision, {}, static_cast<double>(standing().revision));
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
        m_revisionClock.note(standing().revision, m_timers.now());
        m_hub.forgetSilent(m_timers.now() - SilentPeriod);
        m_desk.serve(m_timers.now());
    }

    changes::Answer apply(const changes::Change &change)
    {
        changes::Answer answer;
        {
            const core::Lock lock(m_mutex);
            answer = m_ledger.apply(change);
        }
        m_pool.post([this]() {
            m_desk.serve(m_timers.now());
        });
        return answer;
    }

    changes::Standing standing()
    {
        const core::Lock lock(m_mutex);
        return m_ledger.standing();
    }

    const ControlSettings m_settings;
    core::RankedMutex m_mutex{core::LockRank::Replica};
    changes::Ledger m_ledger;
    telemetry::Registry m_metrics;
    telemetry::RevisionClock m_revisionClock;
    membership::Hub m_hub;
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    FollowDesk m_desk;
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
