#include "processes/platformfleet.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace pimentoshed::processes
{

namespace
{

constexpr const char *HostName = "loans.example";
constexpr unsigned ControlPort = 8544;
constexpr unsigned CallerPort = 8548;
constexpr unsigned ReadyPort = 8542;
constexpr unsigned TargetPort = 8080;
constexpr unsigned FirstControl = 1;
constexpr unsigned FirstEntry = 10;
constexpr unsigned FirstTarget = 100;
constexpr auto StartLimit = std::chrono::seconds(10);

/** The configuration @p version, with routes to @p service only and reads of the kind @p readsKind. */
std::string configuration(std::chrono::milliseconds timeout,
                          unsigned version,
                          const std::string &service,
                          const std::string &readsKind)
{
    constexpr auto Format = R"({{"version":"{1:08x}","base_version":"{2:08x}",
    "routes":{{"reads":{{"hostname":"loans.example","path_prefix":"/a/","kind":"{4}","timeout":"{0}ms","slo":"400ms",
                       "priority":0,"service":"{3}","attempts":2}},
              "writes":{{"hostname":"loans.example","path_prefix":"/b/","kind":"unsafe","timeout":"{0}ms",
                        "slo":"400ms","priority":0,"service":"{3}","attempts":2}}}},
    "services":{{"{3}":{{"health_path":"/health","max_conns":260,"cold":"3s","cold_per_s":20.0}}}},
    "limits":{{"max_header_bytes":16384,"max_body_bytes":1048576}}}})";
    return fmt::format(Format, timeout.count(), version, version - 1, service, readsKind);
}

bool hasHeader(const http::Reply &reply, const std::string &name)
{
    return std::any_of(reply.headers.begin(), reply.headers.end(), [&name](const http::Header &header) {
        return header.first == name;
    });
}

void setDefault(http::Reply &reply, const std::string &name, const std::string &value)
{
    if (!hasHeader(reply, name)) {
        reply.headers.emplace_back(name, value);
    }
}

} // namespace

http::Reply succeed(const ReceivedRequest & /*request*/)
{
    return {};
}

bool ReceivedRequest::isProbe() const
{
    return path == "/health";
}

PlatformTarget::PlatformTarget(std::string id,
                               std::string address,
                               core::Duration processingTime,
                               TargetScript script,
                               core::Duration probeTime,
                               std::uint64_t incarnation)
    : m_id(std::move(id))
    , m_address(std::move(address))
    , m_processingTime(processingTime)
    , m_probeTime(probeTime)
    , m_incarnation(incarnation)
    , m_script(std::move(script))
    , m_pool(2)
    , m_timers(m_pool.context())
{
    auto server = http::Server::Builder(m_pool.context())
                      .address(m_address)
                      .handler([this](http::Exchange &exchange) {
                          answer(exchange);
                      })
                      .start();
    if (!core::ok(server)) {
        throw std::runtime_error(core::describe(core::error(server)));
    }
    m_server = core::value(server);
}

PlatformTarget::~PlatformTarget()
{
    m_renewal.cancel();
    m_server->drain();
    m_pool.stop();
}

void PlatformTarget::setProcessingTime(core::Duration processingTime)
{
    m_processingTime = processingTime;
}

void PlatformTarget::setService(std::string service)
{
    m_service = std::move(service);
}

unsigned PlatformTarget::announce(const std::string &control, const std::string &state)
{
    m_renewal.cancel();
    m_renewal = m_timers.every(std::chrono::seconds(1), [this, control, state]() {
        announceOnce(control, state);
    });
    return announceOnce(control, state);
}

unsigned PlatformTarget::announceOnce(const std::string &control, const std::string &state)
{
    http::ClientRequest request;
    request.method = "PUT";
    request.target = "/instances/" + m_id;
    request.body =
        fmt::format(R"({{"service":"{}","address":"{}","zone":"ravne","version":"v1","slots":6,"state":"{}",)"
                    R"("cold_left":"0ms","seq":{},"born":{}}})",
                    m_service,
                    m_address,
                    state,
                    ++m_sequence,
                    m_incarnation);
    const auto answered = http::fetch(control, request, std::chrono::seconds(2));
    return core::ok(answered) ? core::value(answered).status : 0;
}

void PlatformTarget::stopAnnouncing()
{
    m_renewal.cancel();
}

unsigned PlatformTarget::remove(const std::string &control)
{
    stopAnnouncing();
    const auto answered = sendRequest(control, "/instances/" + m_id, "DELETE");
    return core::ok(answered) ? core::value(answered).status : 0;
}

std::vector<ReceivedRequest> PlatformTarget::requests() const
{
    return received(false);
}

std::vector<ReceivedRequest> PlatformTarget::probes() const
{
    return received(true);
}

std::vector<ReceivedRequest> PlatformTarget::received(bool probes) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<ReceivedRequest> found;
    std::copy_if(m_received.begin(), m_received.end(), std::back_inserter(found), [probes](const auto &request) {
        return request.isProbe() == probes;
    });
    return found;
}

void PlatformTarget::answer(http::Exchange &exchange)
{
    constexpr std::uint64_t BodyBytes = 65536;
    const ReceivedRequest request{core::steadyNow(),
                                  std::string(exchange.path()),
                                  std::string(exchange.header("X-Request-Id")),
                                  exchange.request()};
    exchange.readBody(BodyBytes);
    {
        const std::lock_guard lock(m_mutex);
        m_received.push_back(request);
    }
    const auto wait = request.isProbe() ? m_probeTime : m_processingTime.load();
    if (wait > core::Duration{}) {
        boost::asio::steady_timer timer(m_pool.context(), std::chrono::duration_cast<std::chrono::microseconds>(wait));
        boost::system::error_code ignored;
        timer.async_wait(exchange.yield()[ignored]);
    }
    auto reply = m_script(request);
    if (!request.id.empty()) {
        setDefault(reply, "X-Request-Id", request.id);
    }
    setDefault(reply, "X-Response-Sig", "s");
    setDefault(reply, "X-Instance-Id", m_id);
    setDefault(reply, "X-Load", "0,0,6,100");
    exchange.send(reply);
}

unsigned announceTarget(
    const std::string &control, const std::string &id, const std::string &address, unsigned slots, unsigned sequence)
{
    const auto body = fmt::format(R"({{"service":"{}","address":"{}","zone":"ravne","version":"v1","slots":{},)"
                                  R"("state":"ready","cold_left":"0ms","seq":{},"born":{}}})",
                                  PlatformTarget::DefaultService,
                                  address,
                                  slots,
                                  sequence,
                                  PlatformTarget::FirstIncarnation);
    const auto answer = sendRequest(control, "/instances/" + id, "PUT", body);
    return core::ok(answer) ? core::value(answer).status : 0;
}

PlatformFleet::PlatformFleet(unsigned subnet,
                             unsigned entryHosts,
                             std::chrono::milliseconds timeout,
                             unsigned controlHosts)
    : m_subnet(subnet)
    , m_timeout(timeout)
    , m_controlHosts(controlHosts)
{
    for (unsigned i = 0; i < m_controlHosts; ++i) {
        m_controls.push_back(startControl(i));
    }
    for (unsigned i = 0; i < entryHosts; ++i) {
        m_entries.push_back(start("entry", fmt::format("entry-{}", i), FirstEntry + i));
    }
    const auto isConfigured = [this]() {
        return configure(1, PlatformTarget::DefaultService) == 200;
    };
    const auto areReady = [this]() {
        for (unsigned i = 0; i < m_entries.size(); ++i) {
            const auto answer =
                sendRequest(fmt::format("127.{}.0.{}:{}", m_subnet, FirstEntry + i, ReadyPort), "/ready");
            if (!core::ok(answer) || core::value(answer).status != 200) {
                return false;
            }
        }
        return true;
    };
    if (!eventually(isConfigured, StartLimit) || !eventually(areReady, StartLimit)) {
        throw std::runtime_error("the hosts were not ready within 10 s:\n" + lastLines(logFile("control-0"), 10));
    }
}

PlatformFleet::~PlatformFleet()
{
    constexpr std::size_t Lines = 40;
    if (!hasTestFailed() || !hasTestFailed()()) {
        return;
    }
    for (unsigned i = 0; i < m_controlHosts; ++i) {
        fmt::print("control {}:\n{}", i, lastLines(logFile(fmt::format("control-{}", i)), Lines));
    }
    for (unsigned i = 0; i < m_entries.size(); ++i) {
        fmt::print("entry {}:\n{}", i, lastLines(logFile(fmt::format("entry-{}", i)), Lines));
    }
}

Process PlatformFleet::startControl(unsigned number)
{
    return start("control", fmt::format("control-{}", number), FirstControl + number);
}

Process PlatformFleet::start(const std::string &role, const std::string &name, unsigned host)
{
    const auto settings = writeSettings(name, host, role == "control");
    return Process({"/usr/bin/env", "PIMENTOSHED_CONFIG=" + settings, PIMENTOSHED_BINARY, "platform", role},
                   logFile(name));
}

std::string PlatformFleet::entrySettings(unsigned number) const
{
    return settingsFile(fmt::format("entry-{}", number));
}

std::string PlatformFleet::controlSettings(unsigned number) const
{
    return settingsFile(fmt::format("control-{}", number));
}

void PlatformFleet::restartEntry(unsigned number)
{
    m_entries.at(number).signal(SIGKILL);
    m_entries.at(number).wait();
    m_entries.at(number) = start("entry", fmt::format("entry-{}", number), FirstEntry + number);
}

void PlatformFleet::restartControls(const std::function<void(const std::string &)> &beforeStart)
{
    for (auto &control : m_controls) {
        control.signal(SIGKILL);
        control.wait();
    }
    for (unsigned i = 0; i < m_controlHosts; ++i) {
        if (beforeStart) {
            beforeStart(dataFolder(fmt::format("control-{}", i)));
        }
        m_controls.at(i) = startControl(i);
    }
}

unsigned PlatformFleet::configure(unsigned version, const std::string &service, const std::string &readsKind) const
{
    const auto answer =
        sendRequest(controlAddress(), "/config", "PUT", configuration(m_timeout, version, service, readsKind));
    return core::ok(answer) ? core::value(answer).status : 0;
}

std::string PlatformFleet::settingsFile(const std::string &name) const
{
    return m_folder.path() / (name + ".toml");
}

std::string PlatformFleet::entryLog(unsigned number) const
{
    return support::readFile(logFile(fmt::format("entry-{}", number)));
}

std::string PlatformFleet::controlLog(unsigned number) const
{
    return support::readFile(logFile(fmt::format("control-{}", number)));
}

std::string PlatformFleet::logFile(const std::string &name) const
{
    return m_folder.path() / (name + ".log");
}

std::string PlatformFleet::dataFolder(const std::string &name) const
{
    return m_folder.path() / ("data-" + name);
}

std::string PlatformFleet::writeSettings(const std::string &name, unsigned host, bool isControl)
{
    const auto ip = fmt::format("127.{}.0.{}", m_subnet, host);
    auto path = settingsFile(name);
    std::ofstream file(path);
    std::string seeds;
    for (unsigned i = 0; i < m_controlHosts; ++i) {
        seeds += fmt::format("{}\"{}\"", i == 0 ? "" : ",", controlAddress(i));
    }
    file << fmt::format("node_name = \"{}\"\nip = \"{}\"\nzone = \"ravne\"\nport_range = [7540,7555]\n", name, ip)
         << fmt::format("seeds = [{}]\nbootstrap = true\nheartbeat = \"1500ms\"\n", seeds)
         << fmt::format("bounds = [\"grace={}s\",", GracePeriod.count())
         << "\"ttl_max=5s\",\"retry_ratio=0.2\",\"retry_slack=62\"]\n"
         << fmt::format("fault_tolerance.machines = {}\n", m_controlHosts / 2)
         << "limits.cpu_share = 1.0\nzones.ravne = \"koroska\"\n";
    if (isControl) {
        file << fmt::format("data_dir = \"{}\"\n", dataFolder(name))
             << fmt::format("listen.control = \"{}:{}\"\n", ip, ControlPort);
    } else {
        file << fmt::format("listen.front = \"{}:{}\"\nlisten.ready = \"{}:{}\"\n", ip, CallerPort, ip, ReadyPort);
    }
    return path;
}

std::string PlatformFleet::controlAddress(unsigned control) const
{
    return fmt::format("127.{}.0.{}:{}", m_subnet, FirstControl + control, ControlPort);
}

std::string PlatformFleet::callerAddress(unsigned entry) const
{
    return fmt::format("127.{}.0.{}:{}", m_subnet, FirstEntry + entry, CallerPort);
}

std::string PlatformFleet::targetAddress(unsigned target) const
{
    return fmt::format("127.{}.0.{}:{}", m_subnet, FirstTarget + target, TargetPort);
}

Process &PlatformFleet::entry(unsigned number)
{
    return m_entries.at(number);
}

Process &PlatformFleet::control(unsigned number)
{
    return m_controls.at(number);
}

bool PlatformFleet::waitUntilServing() const
{
    for (unsigned i = 0; i < m_entries.size(); ++i) {
        const auto isServing = [this, i]() {
            const auto answer = request(i);
            return core::ok(answer) && core::value(answer).status == 200;
        };
        if (!eventually(isServing, std::chrono::seconds(5))) {
            return false;
        }
    }
    return true;
}

core::Result<http::ClientAnswer> PlatformFleet::request(unsigned entry, const std::string &method) const
{
    return request(entry, method, fmt::format("r{}", ++m_nextRequest));
}

core::Result<http::ClientAnswer> PlatformFleet::request(unsigned entry,
                                                        const std::string &method,
                                                        const std::string &id) const
{
    return send(entry, method, id, m_timeout);
}

core::Result<http::ClientAnswer> PlatformFleet::lateRequest(unsigned entry,
                                                            std::chrono::milliseconds timeLeft,
                                                            const std::string &method) const
{
    return send(entry, method, fmt::format("r{}", ++m_nextRequest), timeLeft);
}

core::Result<http::ClientAnswer> PlatformFleet::send(unsigned entry,
                                                     const std::string &method,
                                                     const std::string &id,
                                                     std::chrono::milliseconds timeout) const
{
    http::ClientRequest request;
    request.method = method;
    request.target = method == "GET" ? "/a/x" : "/b/x";
    request.headers = {{"Host", HostName}, {"X-Request-Id", id}, {"X-Timeout-Ms", fmt::format("{}", timeout.count())}};
    return http::fetch(callerAddress(entry), request, timeout + std::chrono::seconds(1));
}

std::vector<core::Result<http::ClientAnswer>> PlatformFleet::load(double perSecond, core::Duration length) const
{
    const auto count = static_cast<unsigned>(perSecond * core::toSeconds(length));
    std::vector<core::Result<http::ClientAnswer>> answers(count, core::Error{});
    std::vector<std::thread> callers;
    const auto start = core::steadyNow();
    for (unsigned i = 0; i < count; ++i) {
        std::this_thread::sleep_until(start + i * length / count);
        callers.emplace_back([this, i, &answers]() {
            answers[i] = request(i % static_cast<unsigned>(m_entries.size()));
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    return answers;
}

} // namespace pimentoshed::processes
