#include "entry/entryhost.h"

#include "core/log.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "entry/controlfeedclient.h"
#include "entry/countreporter.h"
#include "entry/quotaclient.h"
#include "requests/hedgepolicy.h"
#include "rollouts/activerollouts.h"
#include "routing/coldtargetlimiter.h"
#include "routing/requestpacer.h"
#include "telemetry/exposition.h"
#include "telemetry/revisionagetracker.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <random>
#include <set>
#include <utility>

namespace pimentoshed::entry
{

namespace
{

constexpr auto PeriodicTaskInterval = std::chrono::milliseconds(500);
constexpr auto IdleConnectionTimeout = std::chrono::seconds(30);

core::RandomSource threadRandom()
{
    return []() {
        thread_local std::mt19937_64 engine{std::random_device{}()};
        return engine();
    };
}

std::uint64_t makeIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

class EntryHost::Impl
{
public:
    explicit Impl(const EntrySettings &settings)
        : m_settings(settings)
        , m_incarnation(makeIncarnation())
        , m_rollouts(settings.id, m_incarnation)
        , m_coldTargetLimiter({settings.id, m_incarnation, settings.domain})
        , m_requestPacer(settings.id)
        , m_router(settings.domain, routerHooks())
        , m_targets([this](const auto &target) {
            m_router.update(target);
        })
        , m_pool(settings.workers)
        , m_timers(m_pool.context())
        , m_countReporter(m_timers,
                          m_rollouts,
                          [this](const auto &counts) {
                              m_feedClient->reportCounts(counts);
                          })
        , m_connections(m_pool.context())
        , m_scheduler(m_timers)
        , m_retryBudgets(settings.maxUnspentRetries ? std::function<double()>([this]() {
            return *m_settings.maxUnspentRetries / static_cast<double>(std::max<std::size_t>(1, m_view.hostCount()));
        })
                                                    : nullptr)
        , m_hedgePolicy(m_retryBudgets,
                        [this](const core::ServiceName &service) {
                            return requests::ServiceUse{m_router.usedShare(service, m_timers.now()),
                                                        m_scheduler.waitingCount(service)};
                        })
        , m_feedClient(std::make_shared<ControlFeedClient>(
              ControlFeedClient::Dependencies{m_pool,
                                              m_timers,
                                              m_view,
                                              m_targets,
                                              [this]() {
                                                  return self();
                                              },
                                              settings.parser,
                                              [this](const changes::ActiveConfiguration &active) {
                                                  applyConfiguration(active);
                                              },
                                              [this]() {
                                                  divideTargets();
                                                  m_rollouts.setCurrentUntil(m_view.currentUntil());
                                              },
                                              messageHook()},
              settings.controlAddresses))
        , m_quotaClient(std::make_shared<QuotaClient>(settings.id, m_incarnation, m_timers, m_feedClient))
    {
    }

    core::Status start()
    {
        auto listening = listen();
        if (!core::ok(listening)) {
            return listening;
        }
        m_feedClient->start();
        m_periodicTimer = m_timers.every(PeriodicTaskInterval, [this]() {
            runPeriodicTasks();
        });
        core::log(core::LogLevel::Info,
                  "entry-started",
                  {{"callers", m_callerServer->address()}, {"platform", m_platformServers.front()->address()}});
        return std::monostate{};
    }

    std::size_t stop(core::TimePoint start)
    {
        if (m_stopped.exchange(true)) {
            return 0;
        }
        const auto acceptDuration = m_settings.acceptDurationOnStop.value_or(maxAddressHoldTime());
        m_stop = requests::HostStop{start + m_settings.estimateDurationOnStop,
                                    start + acceptDuration + m_settings.stopLimit};
        m_stopping = true;
        m_scheduler.stopAt(m_stop.end);
        m_feedClient->sendOwnRecord();
        if (m_callerServer) {
            m_callerServer->closeAfterAnswers();
            waitUntil(start + acceptDuration);
        }
        const auto remaining = drainRequests();
        if (remaining > 0) {
            logCutRequests(start, remaining);
        }
        shutDown();
        return remaining;
    }

    void addControlHosts(const std::vector<std::string> &addresses)
    {
        m_feedClient->addControlHosts(addresses);
    }

    /** Stops at once, without waiting for requests in progress. */
    void shutDown()
    {
        m_stopped = true;
        m_periodicTimer.cancel();
        m_countReporter.stop();
        m_feedClient->stop();
        m_quotaClient->stop();
        for (const auto &server : m_platformServers) {
            server->drain();
        }
        m_pool.stop();
    }

private:
    /** Logs that the stop which began at @p start cuts @p count requests, and each of them. */
    void logCutRequests(core::TimePoint start, std::size_t count) const
    {
        core::log(core::LogLevel::Error, "stop-limit-passed", {{"requests_in_progress", count}});
        const auto now = m_timers.now();
        const auto milliseconds = [](core::Duration duration) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        };
        for (const auto &request : m_requestsInProgress.all()) {
            core::log(core::LogLevel::Error,
                      "request-cut",
                      {{"request", request.id},
                       {"service", request.service.str()},
                       {"phase", core::nameOf(requests::RequestPhaseNames, request.phase)},
                       {"target", request.target ? request.target->str() : std::string()},
                       {"arrival_after_stop_ms", milliseconds(request.arrival - start)},
                       {"phase_ms", milliseconds(now - request.phaseStart)},
                       {"time_left_ms", milliseconds(request.deadline - now)}});
        }
    }

    core::Status listen()
    {
        m_metrics.beforeExposition([this](telemetry::Registry &metrics) {
            updateGauges(metrics);
        });
        auto callers = http::Server::Builder(m_pool.context())
                           .address(m_settings.callerListen)
                           .handler(makeCallerHttpHandler(callerHandlerDependencies()))
                           .start();
        if (!core::ok(callers)) {
            return core::error(callers);
        }
        m_callerServer = core::value(callers);
        const auto handler =
            telemetry::withMetrics(m_metrics,
                                   m_settings.makeTargetHandler({m_view,
                                                                 m_targets,
                                                                 m_timers,
                                                                 [this]() {
                                                                     return self();
                                                                 },
                                                                 [this](const auto &target) {
                                                                     m_feedClient->report(target);
                                                                 },
                                                                 [this]() {
                                                                     return m_callerServer->inProgress();
                                                                 },
                                                                 messageHook()}));
        for (const auto &address : {m_settings.platformListen, m_settings.directoryListen}) {
            if (address.empty()) {
                continue;
            }
            auto platform = http::Server::Builder(m_pool.context()).address(address).handler(handler).start();
            if (!core::ok(platform)) {
                return core::error(platform);
            }
            m_platformServers.push_back(core::value(platform));
        }
        return std::monostate{};
    }

    CallerHandlerDependencies callerHandlerDependencies()
    {
        return {m_view,
                m_targets,
                m_router,
                m_connections,
                m_scheduler,
                m_requestsInProgress,
                m_rollouts,
                m_timers,
                threadRandom(),
                [this]() {
                    return self();
                },
                requests::makeBudgetedRetryHook(m_retryBudgets),
                hedgeHooks(),
                [this](const auto &service) {
                    m_retryBudgets.earn(service);
                },
                [this](const telemetry::CompletedRequest &end) {
                    m_metrics.countRequest(end);
                },
                [this](const core::RouteName &route) {
                    countKeyRefusal(route);
                },
                [this]() {
                    return m_stopping ? std::optional(m_stop) : std::nullopt;
                },
                spendQuotaHook(),
                giveBackQuotaHook(),
                m_settings.marking,
                m_settings.callerOptions};
    }

    quotas::SpendHook spendQuotaHook()
    {
        return [this](const auto &workspace, core::TimePoint latest, const auto &callback) {
            m_quotaClient->spend(workspace, latest, callback);
        };
    }

    quotas::GiveBackHook giveBackQuotaHook()
    {
        return [this](const auto &workspace, const quotas::Token &token) {
            m_quotaClient->giveBack(workspace, token);
        };
    }

    routing::RouterHooks routerHooks()
    {
        routing::RouterHooks hooks;
        hooks.picker = routing::makePicker(m_settings.picker);
        hooks.random = threadRandom();
        hooks.canSendToCold = [this](const auto &target, const auto &service, core::TimePoint now) {
            return m_coldTargetLimiter.canSend(target, service, now);
        };
        hooks.onColdAssigned = [this](const auto &target, const auto &service, core::TimePoint now) {
            m_coldTargetLimiter.recordSent(target, service, now);
        };
        hooks.requestPace = [this](const targets::Target &target, double limit) {
            return m_requestPacer.paceFor(target, limit);
        };
        hooks.versionShare = [this](const core::ServiceName &service) {
            return m_rollouts.shareOf(service, core::steadyNow());
        };
        return hooks;
    }

    requests::HedgeHooks hedgeHooks()
    {
        requests::HedgeHooks hooks;
        hooks.delay = [this](const requests::HedgeCandidate &candidate) {
            return m_hedgePolicy.delay(candidate, m_timers.now());
        };
        hooks.mayHedge = [this](const requests::HedgeCandidate &candidate) {
            return m_hedgePolicy.spend(candidate, m_timers.now());
        };
        hooks.giveBack = [this](const configuration::Service &service) {
            m_hedgePolicy.giveBack(service);
        };
        hooks.onResponse = [this](const auto &service, const auto &route, core::Duration duration) {
            if (service.hedgeRatio > 0) {
                m_hedgePolicy.record(route, duration, m_timers.now());
            }
        };
        hooks.onShed = [this](const configuration::Service &service) {
            if (service.hedgeRatio > 0) {
                m_hedgePolicy.recordShed(service.name, m_timers.now());
            }
        };
        hooks.onEnd = [this](const core::ServiceName &service, requests::HedgeOutcome outcome) {
            m_metrics.add(telemetry::Metric::Hedges,
                          {{"service", service.str()},
                           {"outcome", std::string(core::nameOf(requests::HedgeOutcomeNames, outcome))}},
                          1);
        };
        return hooks;
    }

    /** Divides cold targets, and the requests to targets that limit them, among the entry hosts that are known now. */
    void divideTargets()
    {
        const auto active = m_view.latest();
        if (!active) {
            return;
        }
        const auto known = m_view.hosts();
        m_quotaClient->setHosts(known);
        divideLimitedTargets(known, active);
        std::vector<membership::Member> hosts;
        for (const auto &host : known) {
            if (!host.stopping) {
                hosts.push_back({host.id, host.incarnation, host.domain});
            }
        }
        const auto &configuration = *active->configuration;
        const auto handover = configuration.limits.permission + configuration::longestDeadline(configuration);
        m_coldTargetLimiter.setHosts(std::move(hosts), m_timers.now(), {m_view.currentUntil(), handover});
    }

    void divideLimitedTargets(const std::vector<membership::EntryHost> &hosts,
                              const std::shared_ptr<const changes::ActiveConfiguration> &active)
    {
        if (hosts == m_dividedHosts && active->revision == m_dividedRevision) {
            return;
        }
        m_dividedHosts = hosts;
        m_dividedRevision = active->revision;
        m_requestPacer.setSenders([hosts, active, hostsForCallers = m_settings.hostsForCallers](
                                      const core::ServiceName &service, const core::FailureDomain &domain) {
            std::set<core::HostId> usual;
            for (const auto &name : configuration::hostNamesOf(*active->configuration, service)) {
                for (const auto *host : hostsForCallers(hosts, domain, name)) {
                    usual.insert(host->id);
                }
            }
            return membership::RequestSenders{{usual.begin(), usual.end()}, hosts.size()};
        });
        m_router.updateRequestPaces();
    }

    /** Configures the queue and the router with a new active configuration before requests use it. */
    void applyConfiguration(const changes::ActiveConfiguration &active)
    {
        m_rollouts.follow(active.rollouts);
        m_countReporter.update();
        m_scheduler.configure(*active.configuration);
        m_hedgePolicy.configure(*active.configuration);
        m_router.setDomainsOutOfService(domainsOutOfService(active));
        if (m_router.configure(active.configuration)) {
            for (const auto &target : m_targets.all()) {
                m_router.update(target);
            }
        }
    }

    membership::EntryHost self() const
    {
        return {m_settings.id, m_settings.domain, m_settings.callerListen, m_incarnation, m_stopping};
    }

    std::function<void(telemetry::ControlMessage, telemetry::Direction, std::size_t)> messageHook()
    {
        return [this](telemetry::ControlMessage kind, telemetry::Direction direction, std::size_t bytes) {
            m_metrics.countMessage(kind, direction, bytes);
        };
    }

    void countKeyRefusal(const core::RouteName &route)
    {
        m_metrics.add(telemetry::Metric::KeyRefusals, {{"route", route.str()}}, 1);
    }

    /** Sets the gauges, from the same sources as the state page. */
    void updateGauges(telemetry::Registry &metrics) const
    {
        const auto now = m_timers.now();
        metrics.set(telemetry::Metric::RequestsInProgress, {}, static_cast<double>(m_callerServer->inProgress()));
        metrics.set(telemetry::Metric::Revision, {}, static_cast<double>(m_view.revision()));
        metrics.set(telemetry::Metric::RevisionAge, {}, core::toSeconds(m_revisionAge.age(now)));
        metrics.set(telemetry::Metric::ConfigurationCurrent, {}, core::ok(m_view.current(now)) ? 1 : 0);
        metrics.set(telemetry::Metric::EntryHosts, {}, static_cast<double>(m_view.hostCount()));
        m_quotaClient->updateMetrics(metrics);
        const auto known = m_targets.all();
        for (const auto &row : targets::ConditionNames) {
            const auto count = std::count_if(known.begin(), known.end(), [&row](const targets::Target &target) {
                return target.condition == row.value;
            });
            metrics.set(telemetry::Metric::Targets, {{"condition", std::string(row.name)}}, static_cast<double>(count));
        }
    }

    /** Records the configuration's revision for its age, ends expired target leases, and closes idle connections. */
    void runPeriodicTasks()
    {
        m_revisionAge.record(m_view.revision(), m_timers.now());
        for (const auto &target : m_targets.expire(m_timers.now())) {
            core::log(core::LogLevel::Warning, "target-lease-ended", {{"target", target.id.str()}});
            m_feedClient->report(target);
        }
        m_connections.closeIdle(m_timers.now(), IdleConnectionTimeout);
    }

    /**
     * How long callers may still hold this host's address: another host may give it out until its own permission ends,
     * and callers may use that response for the address lifetime.
     */
    core::Duration maxAddressHoldTime() const
    {
        const auto active = m_view.latest();
        return active ? active->configuration->limits.permission + active->configuration->limits.addressLifetime
                      : core::Duration{};
    }

    /** Blocks the calling thread until @p end, measured by the timer service like every wait of this class. */
    void waitUntil(core::TimePoint end)
    {
        std::promise<void> done;
        const auto timer = m_timers.after(end - m_timers.now(), [&done]() {
            done.set_value();
        });
        done.get_future().wait();
    }

    /**
     * Closes idle connections of callers and waits for the others until the end of the stop. Returns the number of
     * requests still in progress then.
     */
    std::size_t drainRequests()
    {
        if (!m_callerServer) {
            return 0;
        }
        // Shared, because the later of the two callers of end (timer, drain) may run after this function has returned.
        const auto done = std::make_shared<std::promise<void>>();
        const auto ended = std::make_shared<std::atomic<bool>>(false);
        const auto end = [done, ended]() {
            if (!ended->exchange(true)) {
                done->set_value();
            }
        };
        const auto limit = m_timers.after(m_stop.end - m_timers.now(), end);
        m_callerServer->drain(end);
        done->get_future().wait();
        return m_callerServer->inProgress();
    }

    const EntrySettings m_settings;
    const std::uint64_t m_incarnation;
    std::atomic<bool> m_stopping{false};
    /** Written once, before m_stopping is set. */
    requests::HostStop m_stop;
    std::atomic<bool> m_stopped{false};
    telemetry::Registry m_metrics;
    telemetry::RevisionAgeTracker m_revisionAge;
    ClusterView m_view;
    rollouts::ActiveRollouts m_rollouts;
    routing::ColdTargetLimiter m_coldTargetLimiter;
    routing::RequestPacer m_requestPacer;
    routing::Router m_router;
    targets::TargetTable m_targets;
    /** Declared before the pool, whose coroutines remove their rows when the pool ends. */
    requests::RequestsInProgress m_requestsInProgress;
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    CountReporter m_countReporter;
    http::ConnectionPool m_connections;
    RequestScheduler m_scheduler;
    requests::RetryBudgets m_retryBudgets;
    requests::HedgePolicy m_hedgePolicy;
    std::shared_ptr<ControlFeedClient> m_feedClient;
    std::shared_ptr<QuotaClient> m_quotaClient;
    std::shared_ptr<http::Server> m_callerServer;
    std::vector<std::shared_ptr<http::Server>> m_platformServers;
    core::TimerSubscription m_periodicTimer;
    /** The hosts and the revision for which divideLimitedTargets() was last called. Used only by the feed client. */
    std::vector<membership::EntryHost> m_dividedHosts;
    std::uint64_t m_dividedRevision = 0;
};

EntryHost::EntryHost(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

EntryHost::~EntryHost()
{
    m_impl->shutDown();
}

core::Result<std::unique_ptr<EntryHost>> EntryHost::start(const EntrySettings &settings)
{
    auto impl = std::make_shared<Impl>(settings);
    const auto started = impl->start();
    if (!core::ok(started)) {
        impl->shutDown();
        return core::error(started);
    }
    return std::unique_ptr<EntryHost>(new EntryHost(std::move(impl)));
}

void EntryHost::addControlHosts(const std::vector<std::string> &addresses)
{
    m_impl->addControlHosts(addresses);
}

std::size_t EntryHost::stop(core::TimePoint start)
{
    return m_impl->stop(start);
}

} // namespace pimentoshed::entry
