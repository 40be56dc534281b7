#include "entry/entryhost.h"

#include "core/log.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "entry/controlfeedclient.h"
#include "membership/ownership.h"
#include "routing/coldratelimiter.h"
#include "telemetry/exposition.h"
#include "telemetry/revisionagetracker.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <random>
#include <utility>

namespace pimentoshed::entry
{

namespace
{

constexpr auto ExpiryPeriod = std::chrono::milliseconds(500);
constexpr auto IdleConnectionLimit = std::chrono::seconds(30);

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
        , m_coldPace({settings.id, m_incarnation, settings.domain})
        , m_router(settings.domain, routerHooks())
        , m_targets([this](const auto &target) {
            m_router.update(target);
        })
        , m_pool(settings.workers)
        , m_timers(m_pool.context())
        , m_connections(m_pool.context())
        , m_waiting(m_timers)
        , m_retryBudgets(settings.maxUnspentRetries ? std::function<double()>([this]() {
            return *m_settings.maxUnspentRetries / static_cast<double>(std::max<std::size_t>(1, m_view.hosts().size()));
        })
                                                    : nullptr)
        , m_follower(std::make_shared<ControlFeedClient>(
              ControlFeedClient::Dependencies{m_pool,
                                              m_timers,
                                              m_view,
                                              m_targets,
                                              [this]() {
                                                  return self();
                                              },
                                              settings.parser,
                                              [this](const changes::ActiveConfiguration &standing) {
                                                  followStanding(standing);
                                              },
                                              [this]() {
                                                  shareOutColdTargets();
                                              },
                                              trafficHook()},
              settings.controlAddresses))
    {
    }

    core::Status start()
    {
        auto listening = listen();
        if (!core::ok(listening)) {
            return listening;
        }
        m_follower->start();
        m_expiryTimer = m_timers.every(ExpiryPeriod, [this]() {
            expire();
        });
        core::log(core::LogLevel::Info,
                  "entry-started",
                  {{"callers", m_callers->address()}, {"platform", m_platform.front()->address()}});
        return std::monostate{};
    }

    std::size_t stop()
    {
        if (m_stopped.exchange(true)) {
            return 0;
        }
        m_stopping = true;
        m_follower->tell();
        if (m_callers) {
            m_callers->closeAfterAnswers();
            waitFor(m_settings.acceptDurationOnStop.value_or(addressesHeld()));
        }
        const auto left = finishRequests();
        if (left > 0) {
            core::log(core::LogLevel::Error, "stop-limit-passed", {{"requests_in_progress", left}});
        }
        shutDown();
        return left;
    }

    void learnControlHosts(const std::vector<std::string> &addresses)
    {
        m_follower->addControlHosts(addresses);
    }

    /** Ends everything at once. */
    void shutDown()
    {
        m_stopped = true;
        m_expiryTimer.cancel();
        m_follower->stop();
        for (const auto &server : m_platform) {
            server->drain();
        }
        m_pool.stop();
    }

private:
    core::Status listen()
    {
        m_metrics.beforeExposition([this](telemetry::Registry &metrics) {
            measure(metrics);
        });
        auto callers = http::Server::Builder(m_pool.context())
                           .address(m_settings.callerListen)
                           .handler(makeCallerHttpHandler({m_view,
                                                           m_targets,
                                                           m_router,
                                                           m_connections,
                                                           m_waiting,
                                                           m_timers,
                                                           threadRandom(),
                                                           [this]() {
                                                               return self();
                                                           },
                                                           retryWithin(m_retryBudgets),
                                                           [this](const auto &service) {
                                                               m_retryBudgets.earn(service);
                                                           },
                                                           [this](const telemetry::CompletedRequest &end) {
                                                               m_metrics.countRequest(end);
                                                           },
                                                           m_settings.marking,
                                                           m_settings.callerOptions}))
                           .start();
        if (!core::ok(callers)) {
            return core::error(callers);
        }
        m_callers = core::value(callers);
        const auto handler = telemetry::withMetrics(m_metrics,
                                                    m_settings.makeTargetHandler({m_view,
                                                                                  m_targets,
                                                                                  m_timers,
                                                                                  [this]() {
                                                                                      return self();
                                                                                  },
                                                                                  [this](const auto &target) {
                                                                                      m_follower->report(target);
                                                                                  },
                                                                                  [this]() {
                                                                                      return m_callers->inProgress();
                                                                                  },
                                                                                  trafficHook()}));
        for (const auto &address : {m_settings.platformListen, m_settings.directoryListen}) {
            if (address.empty()) {
                continue;
            }
            auto platform = http::Server::Builder(m_pool.context()).address(address).handler(handler).start();
            if (!core::ok(platform)) {
                return core::error(platform);
            }
            m_platform.push_back(core::value(platform));
        }
        return std::monostate{};
    }

    routing::RouterHooks routerHooks()
    {
        routing::RouterHooks hooks;
        hooks.picker = routing::makePicker(m_settings.picker);
        hooks.random = threadRandom();
        hooks.canSendToCold = [this](const auto &target, const auto &service, core::TimePoint now) {
            return m_coldPace.canSend(target, service, now);
        };
        hooks.onColdAssigned = [this](const auto &target, const auto &service, core::TimePoint now) {
            m_coldPace.recordSent(target, service, now);
        };
        return hooks;
    }

    /** Has the cold targets shared out among the entry hosts that are known now. */
    void shareOutColdTargets()
    {
        const auto now = m_timers.now();
        const auto standing = m_view.latest();
        if (!standing || !m_view.isCurrent(now)) {
            return;
        }
        membership::OwnershipView view;
        for (const auto &host : m_view.hosts()) {
            if (!host.stopping) {
                view.members.push_back({host.id, host.incarnation, host.domain});
            }
        }
        m_coldPace.setHosts(std::move(view), now + standing->configuration->limits.permission);
    }

    /** Has the router know a standing's services before requests are routed by it. */
    void followStanding(const changes::ActiveConfiguration &standing)
    {
        m_waiting.configure(*standing.configuration);
        m_router.setDomainsOutOfService(outDomains(standing));
        if (m_router.configure(standing.configuration)) {
            for (const auto &target : m_targets.all()) {
                m_router.update(target);
            }
        }
    }

    membership::EntryHost self() const
    {
        return {m_settings.id, m_settings.domain, m_settings.callerListen, m_incarnation, m_stopping};
    }

    std::function<void(telemetry::ControlMessage, telemetry::Direction, std::size_t)> trafficHook()
    {
        return [this](telemetry::ControlMessage kind, telemetry::Direction direction, std::size_t bytes) {
            m_metrics.countMessage(kind, direction, bytes);
        };
    }

    /** Sets the gauges from what the state dump reads too. */
    void measure(telemetry::Registry &metrics) const
    {
        const auto now = m_timers.now();
        metrics.set(telemetry::Metric::RequestsInProgress, {}, static_cast<double>(m_callers->inProgress()));
        metrics.set(telemetry::Metric::Revision, {}, static_cast<double>(m_view.revision()));
        metrics.set(telemetry::Metric::RevisionAge, {}, core::toSeconds(m_revisionClock.age(now)));
        metrics.set(telemetry::Metric::ConfigurationCurrent, {}, core::ok(m_view.current(now)) ? 1 : 0);
        metrics.set(telemetry::Metric::EntryHosts, {}, static_cast<double>(m_view.hosts().size()));
        const auto known = m_targets.all();
        for (const auto &row : targets::ConditionNames) {
            const auto count = std::count_if(known.begin(), known.end(), [&row](const targets::Target &target) {
                return target.condition == row.value;
            });
            metrics.set(telemetry::Metric::Targets, {{"condition", std::string(row.name)}}, static_cast<double>(count));
        }
    }

    void expire()
    {
        m_revisionClock.record(m_view.revision(), m_timers.now());
        for (const auto &target : m_targets.expire(m_timers.now())) {
            core::log(core::LogLevel::Warning, "target-lease-ended", {{"target", target.id.str()}});
            m_follower->report(target);
        }
        m_connections.closeIdle(m_timers.now(), IdleConnectionLimit);
    }

    /**
     * How long callers may still hold this host's address: another host may give it out until its permission ends, and
     * what it gave out then lasts for the address lifetime.
     */
    core::Duration addressesHeld() const
    {
        const auto standing = m_view.latest();
        return standing ? standing->configuration->limits.permission + standing->configuration->limits.addressLifetime
                        : core::Duration{};
    }

    /** Waits on the timer service, as every wait here does. */
    void waitFor(core::Duration duration)
    {
        std::promise<void> done;
        const auto timer = m_timers.after(duration, [&done]() {
            done.set_value();
        });
        done.get_future().wait();
    }

    /** Ends idle connections and waits for the others. Returns the requests still in progress at the stop limit. */
    std::size_t finishRequests()
    {
        if (!m_callers) {
            return 0;
        }
        // Shared: whichever of the two comes second may come after this function has returned.
        const auto done = std::make_shared<std::promise<void>>();
        const auto ended = std::make_shared<std::atomic<bool>>(false);
        const auto end = [done, ended]() {
            if (!ended->exchange(true)) {
                done->set_value();
            }
        };
        const auto limit = m_timers.after(m_settings.stopLimit, end);
        m_callers->drain(end);
        done->get_future().wait();
        return m_callers->inProgress();
    }

    const EntrySettings m_settings;
    const std::uint64_t m_incarnation;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_stopped{false};
    telemetry::Registry m_metrics;
    telemetry::RevisionAgeTracker m_revisionClock;
    ClusterView m_view;
    routing::ColdRateLimiter m_coldPace;
    routing::Router m_router;
    targets::TargetTable m_targets;
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    http::ConnectionPool m_connections;
    RequestScheduler m_waiting;
    RetryBudgets m_retryBudgets;
    std::shared_ptr<ControlFeedClient> m_follower;
    std::shared_ptr<http::Server> m_callers;
    std::vector<std::shared_ptr<http::Server>> m_platform;
    core::TimerSubscription m_expiryTimer;
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
    m_impl->learnControlHosts(addresses);
}

std::size_t EntryHost::stop()
{
    return m_impl->stop();
}

} // namespace pimentoshed::entry
