/**
 * @file
 * A stand-in for a target: announces itself to entry hosts and echoes each request after a fixed service time. With a
 * run journal, it writes a line when a request starts and one when it ends: "start PATH TIME" and "end PATH TIME", with
 * the machine's monotonic time in nanoseconds. The line "left TIME" follows the acknowledgement that it leaves.
 */
#include "core/log.h"
#include "core/timerservice.h"
#include "core/workerpool.h"
#include "http/client.h"
#include "http/server.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace core = pimentoshed::core;
namespace http = pimentoshed::http;

namespace
{

struct Settings {
    std::string id;
    std::string service;
    std::string domain;
    std::string listen;
    /** Address at which entry hosts reach the target, if it isn't the one it listens at. */
    std::string announcedAddress;
    std::vector<std::string> entries;
    unsigned serviceMicros = 1000;
    std::string condition = "warm";
    std::string runJournal;
    /** How long the target serves after it has announced that it leaves. */
    unsigned leaveMillis = 0;
};

/** A file of lines that survive when the process is killed, because each is written at once. Thread-safe. */
class RunJournal
{
public:
    explicit RunJournal(const std::string &name)
    {
        constexpr mode_t OwnerMayWrite = 0600;
        if (!name.empty()) {
            m_file = open(name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, OwnerMayWrite);
        }
    }

    void write(std::string_view what) const
    {
        if (m_file < 0) {
            return;
        }
        const auto line = fmt::format("{} {}\n", what, core::steadyNow().time_since_epoch().count());
        if (::write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            fmt::print(stderr, "the run journal can't be written\n");
        }
    }

private:
    int m_file = -1;
};

class Target
{
public:
    explicit Target(Settings settings)
        : m_settings(std::move(settings))
        , m_journal(m_settings.runJournal)
        , m_incarnation(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
        , m_pool(2)
        , m_timers(m_pool.context())
    {
    }

    bool start()
    {
        auto server = http::Server::Builder(m_pool.context())
                          .address(m_settings.listen)
                          .handler([this](http::Exchange &exchange) {
                              answer(exchange);
                          })
                          .start();
        if (!core::ok(server)) {
            fmt::print(stderr, "{}\n", core::describe(core::error(server)));
            return false;
        }
        m_server = core::value(server);
        announce(m_settings.condition);
        m_renewal = m_timers.every(std::chrono::seconds(1), [this]() {
            announce(m_settings.condition);
        });
        return true;
    }

    /** Announces that the target leaves, waits until its requests have ended, announces its removal and stops. */
    void withdraw()
    {
        m_renewal.cancel();
        ++m_sequence;
        if (announce("leaving")) {
            m_journal.write("left");
        }
        const auto end = core::steadyNow() + std::chrono::milliseconds(m_settings.leaveMillis);
        while (m_server->inProgress() > 0 || core::steadyNow() < end) {
            sleepFor(std::chrono::milliseconds(10));
        }
        ++m_sequence;
        announce("gone");
        m_server->drain();
        m_pool.stop();
    }

private:
    void answer(http::Exchange &exchange)
    {
        constexpr std::uint64_t BodyBytes = 64U << 20U;
        const auto body = exchange.readBody(BodyBytes);
        m_journal.write(fmt::format("start {}", exchange.path()));
        boost::asio::steady_timer timer(m_pool.context(), std::chrono::microseconds(m_settings.serviceMicros));
        boost::system::error_code ignored;
        timer.async_wait(exchange.yield()[ignored]);
        http::Reply reply;
        reply.contentType = "text/plain";
        reply.headers.emplace_back("Target-Id", m_settings.id);
        reply.body =
            fmt::format("{} {} {}", exchange.method(), exchange.path(), core::ok(body) ? core::value(body) : "");
        m_journal.write(fmt::format("end {}", exchange.path()));
        exchange.send(reply);
    }

    /** Announces @p condition to the first entry host that acknowledges it. Returns whether one did. */
    bool announce(const std::string &condition)
    {
        http::ClientRequest request;
        request.method = "POST";
        request.target = "/pimentoshed/v1/targets";
        request.body =
            fmt::format(R"({{"id":"{}","service":"{}","failure_domain":"{}","address":"{}",)"
                        R"("incarnation":{},"sequence":{},"condition":"{}"}})",
                        m_settings.id,
                        m_settings.service,
                        m_settings.domain,
                        m_settings.announcedAddress.empty() ? m_settings.listen : m_settings.announcedAddress,
                        m_incarnation,
                        m_sequence.load(),
                        condition);
        for (std::size_t attempt = 0; attempt < m_settings.entries.size(); ++attempt) {
            const auto &entry = m_settings.entries[m_entryIndex % m_settings.entries.size()];
            const auto answer = http::fetch(entry, request, std::chrono::seconds(1));
            if (core::ok(answer) && core::value(answer).status == 200) {
                return true;
            }
            ++m_entryIndex;
        }
        return false;
    }

    void sleepFor(core::Duration duration)
    {
        std::this_thread::sleep_for(duration);
    }

    const Settings m_settings;
    const RunJournal m_journal;
    const std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<std::size_t> m_entryIndex{0};
    core::WorkerPool m_pool;
    core::TimerService m_timers;
    std::shared_ptr<http::Server> m_server;
    core::TimerSubscription m_renewal;
};

} // namespace

int main(int argc, char **argv)
{
    Settings settings;
    CLI::App app("a target stand-in");
    app.add_option("--id", settings.id)->required();
    app.add_option("--service", settings.service)->required();
    app.add_option("--failure-domain", settings.domain)->required();
    app.add_option("--listen", settings.listen)->required();
    app.add_option("--entries", settings.entries, "Platform addresses of entry hosts")->delimiter(',')->required();
    app.add_option("--service-micros", settings.serviceMicros);
    app.add_option("--condition", settings.condition);
    app.add_option("--announced-address", settings.announcedAddress);
    app.add_option("--run-journal", settings.runJournal);
    app.add_option("--leave-millis", settings.leaveMillis);
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    Target target(std::move(settings));
    if (!target.start()) {
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    target.withdraw();
    return 0;
}
