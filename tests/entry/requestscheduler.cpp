#include "entry/requestscheduler.h"

#include "core/workerpool.h"

#include <atomic>
#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

using namespace pimentoshed;
using namespace std::chrono_literals;
using entry::RequestScheduler;

namespace
{

const core::ServiceName Loans("loans");
/** How long requests stay after their deadline at most. */
constexpr auto Margin = 2s;

configuration::Configuration configurationOf(const std::vector<core::ServiceName> &names)
{
    configuration::Configuration configuration;
    configuration.institutions = {{core::InstitutionName("library"), 1}};
    for (const auto &name : names) {
        configuration::Service service;
        service.name = name;
        service.institution = core::InstitutionName("library");
        service.queueLimit = 100;
        configuration.services.push_back(service);
    }
    return configuration;
}

/** What requests at one scheduler have in common; kept by each of them. */
struct Waiting {
    explicit Waiting(core::TimerService &timers)
        : scheduler(timers)
    {
        scheduler.configure(configurationOf({Loans}));
    }

    RequestScheduler scheduler;
    std::atomic<unsigned> running{0};
    /** Whether a request that is scheduled lets the next one be scheduled. */
    bool completes = true;
};

/** The schedulers of a test, which the pool's timers may use until it has stopped. */
using AllWaiting = std::vector<std::shared_ptr<Waiting>>;

/** Lets one request wait @p times in a row, each time until @p duration has passed at the latest. */
void spawnWaits(core::WorkerPool &pool, const std::shared_ptr<Waiting> &waiting, core::Duration duration, int times)
{
    ++waiting->running;
    const auto strand = boost::asio::make_strand(pool.context());
    boost::asio::spawn(strand, [strand, waiting, duration, times](const http::Yield &yield) {
        boost::beast::tcp_stream stream(strand);
        boost::beast::flat_buffer buffer;
        http::RequestParser parser;
        http::Exchange exchange(stream, buffer, parser, yield);
        for (int i = 0; i < times; ++i) {
            const auto scheduled =
                waiting->scheduler.wait(exchange, Loans, core::steadyNow() + duration, core::Duration{});
            if (core::ok(scheduled) && waiting->completes) {
                waiting->scheduler.complete(core::value(scheduled));
            }
        }
        --waiting->running;
    });
}

bool endsWithin(const Waiting &waiting, core::Duration limit)
{
    const auto end = core::steadyNow() + limit;
    while (waiting.running > 0 && core::steadyNow() < end) {
        std::this_thread::sleep_for(20us);
    }
    return waiting.running == 0;
}

} // namespace

// Guards against a request whose caller gets no answer because it joined the queue at the moment of SIGTERM.
TEST_CASE("RequestScheduler: a request that enters the queue while the host begins to stop doesn't wait for ever")
{
    constexpr int Rounds = 2000;
    constexpr int Requests = 8;
    const std::size_t workers = GENERATE(1, 3);
    CAPTURE(workers);
    core::WorkerPool pool(workers);
    core::TimerService timers(pool.context());
    AllWaiting all;
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        const auto waiting = all.emplace_back(std::make_shared<Waiting>(timers));
        for (int i = 0; i < Requests; ++i) {
            spawnWaits(pool, waiting, 60s, 1);
        }
        waiting->scheduler.stopAt(core::steadyNow() + 1s);
        REQUIRE(endsWithin(*waiting, Margin));
    }
    pool.stop();
}

// Guards against a request whose caller gets no answer because it joined the queue of a service as that was dropped.
TEST_CASE("RequestScheduler: a request that enters the queue of a service that is dropped doesn't wait for ever")
{
    constexpr int Requests = 8;
    constexpr int Waits = 2000;
    core::WorkerPool pool(3);
    core::TimerService timers(pool.context());
    const auto waiting = std::make_shared<Waiting>(timers);
    for (int i = 0; i < Requests; ++i) {
        spawnWaits(pool, waiting, 2ms, Waits);
    }
    const auto end = core::steadyNow() + 1s;
    while (waiting->running > 0 && core::steadyNow() < end) {
        waiting->scheduler.configure(configurationOf({}));
        waiting->scheduler.configure(configurationOf({Loans}));
    }
    waiting->scheduler.configure(configurationOf({}));
    CHECK(endsWithin(*waiting, Margin));
    pool.stop();
}

// Guards against a request whose caller gets no answer because it was out of the queue for a moment.
TEST_CASE("RequestScheduler: a request that returns to the queue while its wait is ended doesn't wait for ever")
{
    constexpr int Rounds = 500;
    constexpr int Requests = 8;
    const bool isStop = GENERATE(true, false);
    CAPTURE(isStop);
    core::WorkerPool pool(3);
    core::TimerService timers(pool.context());
    AllWaiting all;
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        const auto waiting = all.emplace_back(std::make_shared<Waiting>(timers));
        waiting->completes = false;
        for (int i = 0; i < Requests; ++i) {
            spawnWaits(pool, waiting, 60s, 1);
        }
        std::atomic<bool> isOver{false};
        std::thread notifier([&waiting, &isOver]() {
            while (!isOver) {
                waiting->scheduler.notifyCapacity(Loans);
            }
        });
        // One request is scheduled and keeps the others from being so.
        const auto end = core::steadyNow() + Margin;
        while (waiting->running == Requests && core::steadyNow() < end) {
            std::this_thread::sleep_for(20us);
        }
        if (isStop) {
            waiting->scheduler.stopAt(core::steadyNow() + 1s);
        } else {
            waiting->scheduler.configure(configurationOf({}));
        }
        const bool hasEnded = endsWithin(*waiting, Margin);
        isOver = true;
        notifier.join();
        REQUIRE(hasEnded);
    }
    pool.stop();
}
