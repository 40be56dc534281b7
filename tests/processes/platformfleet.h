/**
 * @file
 * Starts the hosts of the users' platform as processes, and targets within the test that respond as it says.
 */
#pragma once

#include "core/timerservice.h"
#include "core/workerpool.h"
#include "http/server.h"
#include "processes/harness.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pimentoshed::processes
{

/** A request that a PlatformTarget received. */
struct ReceivedRequest {
    core::TimePoint at{};
    std::string path;
    std::string id;
    http::RequestHead head{};

    bool isProbe() const;
};

/** The response of a PlatformTarget; its id, signature and load are added if they are not among the headers. */
using TargetScript = std::function<http::Reply(const ReceivedRequest &)>;

/** A TargetScript that responds to each request with an empty 200. */
http::Reply succeed(const ReceivedRequest &request);

/** A target on the users' platform that announces itself to a control host. */
class PlatformTarget
{
public:
    /** Start of a target in Unix milliseconds; a later start under the same id has a higher one. */
    static constexpr std::uint64_t FirstIncarnation = 1'700'000'000'000;
    static constexpr const char *DefaultService = "loans";

    /** Responds by @p script, to requests after @p processingTime and to load probes after @p probeTime. */
    PlatformTarget(std::string id,
                   std::string address,
                   core::Duration processingTime,
                   TargetScript script,
                   core::Duration probeTime = {},
                   std::uint64_t incarnation = FirstIncarnation);
    ~PlatformTarget();
    PlatformTarget(const PlatformTarget &) = delete;
    PlatformTarget &operator=(const PlatformTarget &) = delete;

    /** Responds to requests that arrive from now on after @p processingTime. */
    void setProcessingTime(core::Duration processingTime);

    /** Sets the service that this target announces from now on. */
    void setService(std::string service);

    /**
     * Announces this target to the control host at @p control, and again every second until it is destroyed or its
     * state changes. Returns the status of the response, or 0.
     */
    unsigned announce(const std::string &control, const std::string &state = "ready");

    void stopAnnouncing();

    /**
     * Stops the announcements and removes this target at the control host at @p control, without naming its
     * incarnation. It goes on responding to requests. Returns the status of the response, or 0.
     */
    unsigned remove(const std::string &control);

    /** The requests received so far; without load probes. */
    std::vector<ReceivedRequest> requests() const;
    std::vector<ReceivedRequest> probes() const;

private:
    unsigned announceOnce(const std::string &control, const std::string &state);
    void answer(http::Exchange &exchange);
    std::vector<ReceivedRequest> received(bool probes) const;

    const std::string m_id;
    const std::string m_address;
    std::atomic<core::Duration> m_processingTime;
    const core::Duration m_probeTime;
    const std::uint64_t m_incarnation;
    std::string m_service = DefaultService;
    const TargetScript m_script;
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_received;
    std::atomic<unsigned> m_sequence{0};
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    std::shared_ptr<http::Server> m_server;
    core::TimerSubscription m_renewal;
};

/**
 * Announces once, to the control host at @p control, a target of the default service that is no PlatformTarget: ready,
 * warm, with the id @p id at @p address. @p sequence increases with each announcement. Returns the status of the
 * response, or 0.
 */
unsigned announceTarget(
    const std::string &control, const std::string &id, const std::string &address, unsigned slots, unsigned sequence);

/** Control hosts and entry hosts in one failure domain, and a configuration with two routes and one service. */
class PlatformFleet
{
public:
    /** Time from SIGTERM until a host has to have ended. */
    static constexpr auto GracePeriod = std::chrono::seconds(6);

    /**
     * Addresses are 127.@p subnet.0.x. Routes and requests have the timeout @p timeout. There are @p controlHosts
     * control hosts, an odd number. Waits until every entry host is ready. Throws std::runtime_error.
     */
    PlatformFleet(unsigned subnet,
                  unsigned entryHosts,
                  std::chrono::milliseconds timeout = std::chrono::seconds(1),
                  unsigned controlHosts = 1);
    /** If the test has failed, prints the last log lines of each host. */
    ~PlatformFleet();

    std::string controlAddress(unsigned control = 0) const;
    std::string callerAddress(unsigned entry) const;
    std::string targetAddress(unsigned target) const;
    Process &entry(unsigned number);
    Process &control(unsigned number = 0);
    /** The path of the settings file of entry host @p number or of control host @p number. */
    std::string entrySettings(unsigned number) const;
    std::string controlSettings(unsigned number) const;
    /** What entry host @p number or control host @p number has logged. */
    std::string entryLog(unsigned number) const;
    std::string controlLog(unsigned number) const;
    /** Kills entry host @p number and starts it again. */
    void restartEntry(unsigned number);
    /** Kills all control hosts, calls @p beforeStart with the data folder of each, and starts them again. */
    void restartControls(const std::function<void(const std::string &)> &beforeStart = {});

    /**
     * Applies the next @p version of the configuration, in which all routes lead to @p service and no other service is
     * listed, and the route of reads is of the kind @p readsKind. Returns the status of the response, or 0.
     */
    unsigned configure(unsigned version, const std::string &service, const std::string &readsKind = "safe") const;

    /** Waits until every entry host sends requests to some target. Returns whether that happened within 5 s. */
    bool waitUntilServing() const;

    /** Sends one request of the route to entry host @p entry and returns its response. */
    core::Result<http::ClientAnswer> request(unsigned entry, const std::string &method = "GET") const;
    /** The same with the request id @p id. */
    core::Result<http::ClientAnswer> request(unsigned entry, const std::string &method, const std::string &id) const;
    /** A request whose caller has only @p timeLeft left, as after earlier attempts. */
    core::Result<http::ClientAnswer> lateRequest(unsigned entry,
                                                 std::chrono::milliseconds timeLeft,
                                                 const std::string &method = "GET") const;

    /**
     * Sends @p perSecond requests a second for @p length, spread over the entry hosts, each on a connection and thread
     * of its own. Returns the responses.
     */
    std::vector<core::Result<http::ClientAnswer>> load(double perSecond, core::Duration length) const;

private:
    core::Result<http::ClientAnswer> send(unsigned entry,
                                          const std::string &method,
                                          const std::string &id,
                                          std::chrono::milliseconds timeout) const;
    std::string settingsFile(const std::string &name) const;
    std::string logFile(const std::string &name) const;
    std::string dataFolder(const std::string &name) const;
    Process startControl(unsigned number);
    Process start(const std::string &role, const std::string &name, unsigned host);
    std::string writeSettings(const std::string &name, unsigned host, bool isControl);

    const unsigned m_subnet;
    const std::chrono::milliseconds m_timeout;
    const unsigned m_controlHosts;
    const support::TemporaryFolder m_folder;
    std::vector<Process> m_controls;
    std::vector<Process> m_entries;
    mutable std::atomic<unsigned> m_nextRequest{0};
};

} // namespace pimentoshed::processes
