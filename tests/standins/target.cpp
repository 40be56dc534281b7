/**
 * @file
 * A stand-in for a target: announces itself to entry hosts and echoes each request after a fixed service time.
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
#include <fmt/format.h>

namespace core = pimentoshed::core;
namespace http = pimentoshed::http;

namespace
{

struct Settings {
    std::string id;
    std::string service;
    std::string domain;
    std::string listen;
    std::vector<std::string> entries;
    unsigned serviceMicros = 1000;
    std::string condition = "warm";
};

class Target
{
public:
    explicit Target(Settings settings)
        : m_settings(std::move(settings))
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
        announce("leaving");
        while (m_server->inProgress() > 0) {
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
        boost::asio::steady_timer timer(m_pool.context(), std::chrono::microseconds(m_settings.serviceMicros));
        boost::system::error_code ignored;
        timer.async_wait(exchange.yield()[ignored]);
        http::Reply reply;
        reply.contentType = "text/plain";
        reply.headers.emplace_back("Target-Id", m_settings.id);
        reply.body =
            fmt::format("{} {} {}", exchange.method(), exchange.path(), core::ok(body) ? core::value(body) : "");
        ++m_answerCount;
        exchange.send(reply);
    }

    void announce(const std::string &condition)
    {
        http::ClientRequest request;
        request.method = "POST";
        request.target = "/pimentoshed/v1/targets";
        request.body = fmt::format(R"({{"id":"{}","service":"{}","failure_domain":"{}","address":"{}",)"
                                   R"("incarnation":{},"sequence":{},"condition":"{}"}})",
                                   m_settings.id,
                                   m_settings.service,
                                   m_settings.domain,
                                   m_settings.listen,
                                   m_incarnation,
                                   m_sequence.load(),
                                   condition);
        for (std::size_t attempt = 0; attempt < m_settings.entries.size(); ++attempt) {
            const auto &entry = m_settings.entries[m_entryIndex % m_settings.entries.size()];
            if (core::ok(http::fetch(entry, request, std::chrono::seconds(1)))) {
                return;
            }
            ++m_entryIndex;
        }
    }

    void sleepFor(core::Duration duration)
    {
        std::this_thread::sleep_for(duration);
    }

    const Settings m_settings;
    const std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<std::size_t> m_entryIndex{0};
    std::atomic<std::uint64_t> m_answerCount{0};
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
