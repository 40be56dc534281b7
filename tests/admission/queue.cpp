#include "admission/queue.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using admission::Queue;

namespace
{

const core::TimePoint Start{};
const core::ServiceName Search("search");
const core::ServiceName Loans("loans");
const core::ServiceName Awards("awards");

configuration::Service makeService(const core::ServiceName &name,
                                   const char *institution,
                                   unsigned importance,
                                   unsigned limit)
{
    configuration::Service service;
    service.name = name;
    service.institution = core::InstitutionName(institution);
    service.importance = importance;
    service.queueLimit = limit;
    return service;
}

Queue &setUp(Queue &queue)
{
    configuration::Configuration configuration;
    configuration.institutions = {{core::InstitutionName("library"), 1}, {core::InstitutionName("fund"), 3}};
    configuration.services = {makeService(Search, "library", 1, 100),
                              makeService(Loans, "library", 5, 100),
                              makeService(Awards, "fund", 5, 100)};
    queue.configure(configuration);
    return queue;
}

admission::Ticket enqueue(Queue &queue, const core::ServiceName &service, core::Duration deadline = 10s)
{
    const auto enqueued = queue.enqueue(service, Start + deadline, 1ms, Start);
    REQUIRE(core::ok(enqueued));
    return core::value(enqueued).ticket;
}

core::ErrorCode refusal(Queue &queue, const core::ServiceName &service, core::Duration deadline, core::TimePoint now)
{
    const auto enqueued = queue.enqueue(service, Start + deadline, 10ms, now);
    REQUIRE_FALSE(core::ok(enqueued));
    return core::error(enqueued).code;
}

} // namespace

TEST_CASE("the queue dequeues the earliest deadline of a service first")
{
    Queue queue(100);
    setUp(queue);
    const auto late = enqueue(queue, Search, 3s);
    const auto early = enqueue(queue, Search, 1s);
    const auto middle = enqueue(queue, Search, 2s);
    CHECK(queue.dequeue(Start)->ticket == early);
    CHECK(queue.dequeue(Start)->ticket == middle);
    CHECK(queue.dequeue(Start)->ticket == late);
    CHECK_FALSE(queue.dequeue(Start));
}

TEST_CASE("institutions are scheduled by weight, and the services of one institution equally")
{
    Queue queue(1000);
    setUp(queue);
    for (unsigned i = 0; i < 80; ++i) {
        enqueue(queue, Search);
        enqueue(queue, Loans);
        enqueue(queue, Awards);
    }
    std::map<core::ServiceName, unsigned> dequeued;
    for (unsigned i = 0; i < 80; ++i) {
        ++dequeued[queue.dequeue(Start)->service];
    }
    CHECK(dequeued[Awards] == 60);
    CHECK(dequeued[Search] == 10);
    CHECK(dequeued[Loans] == 10);
}

TEST_CASE("an institution earns no credit while idle, and no institution is starved")
{
    Queue queue(1000);
    setUp(queue);
    for (unsigned i = 0; i < 50; ++i) {
        enqueue(queue, Search);
    }
    for (unsigned i = 0; i < 40; ++i) {
        queue.dequeue(Start);
    }
    for (unsigned i = 0; i < 50; ++i) {
        enqueue(queue, Awards);
    }
    unsigned search = 0;
    for (unsigned i = 0; i < 16; ++i) {
        search += queue.dequeue(Start)->service == Search ? 1 : 0;
    }
    CHECK(search >= 3);
    CHECK(search <= 5);
}

TEST_CASE("a service without capacity is skipped until it is marked ready")
{
    Queue queue(100);
    setUp(queue);
    const auto award = enqueue(queue, Awards);
    const auto loan = enqueue(queue, Loans);
    const auto request = queue.dequeue(Start);
    REQUIRE(request->ticket == award);
    CHECK(queue.requeue(*request));
    CHECK(queue.dequeue(Start)->ticket == loan);
    CHECK_FALSE(queue.dequeue(Start));
    CHECK(queue.waitingCount(Awards) == 1);
    queue.markReady(Awards);
    CHECK(queue.dequeue(Start)->ticket == award);
}

TEST_CASE("a service that is marked ready before the requeue stays ready")
{
    Queue queue(100);
    setUp(queue);
    const auto loan = enqueue(queue, Loans);
    const auto request = queue.dequeue(Start);
    queue.markReady(Loans);
    queue.requeue(*request);
    CHECK(queue.dequeue(Start)->ticket == loan);
}

TEST_CASE("a request that can't meet its deadline is refused at once")
{
    Queue queue(100);
    setUp(queue);
    CHECK(refusal(queue, Search, 5ms, Start) == core::ErrorCode::DeadlinePassed);
    for (unsigned i = 0; i < 30; ++i) {
        enqueue(queue, Search, 1s);
    }
    core::TimePoint now = Start;
    for (unsigned i = 0; i < 10; ++i) {
        queue.dequeue(now += 20ms);
    }
    // 20 requests with a deadline of 1 s are queued and one is dequeued every 20 ms: a request with a later deadline
    // would wait 400 ms, one with an earlier deadline is next.
    CHECK(core::ok(queue.enqueue(Search, now + 50ms, 10ms, now)));
    for (unsigned i = 0; i < 40; ++i) {
        queue.enqueue(Search, Start + 1s, 10ms, now);
    }
    CHECK(refusal(queue, Search, 1001ms, now) == core::ErrorCode::DeadlinePassed);
}

TEST_CASE("a request expires when its deadline is nearer than the expected latency")
{
    Queue queue(100);
    setUp(queue);
    const auto early = enqueue(queue, Search, 1s);
    enqueue(queue, Search, 2s);
    CHECK(queue.removeExpired(Start + 990ms).empty());
    CHECK(queue.removeExpired(Start + 1s) == std::vector{early});
    CHECK(queue.waitingCount(Search) == 1);
}

TEST_CASE("queues are bounded, and a full host evicts a request of the least important service")
{
    Queue queue(100);
    setUp(queue);
    for (unsigned i = 0; i < 99; ++i) {
        enqueue(queue, Search);
    }
    const auto last = enqueue(queue, Search, 11s);
    CHECK(refusal(queue, Search, 10s, Start) == core::ErrorCode::QueueFull);
    const auto enqueued = queue.enqueue(Awards, Start + 10s, 1ms, Start);
    REQUIRE(core::ok(enqueued));
    CHECK(core::value(enqueued).evicted == last);
    CHECK_FALSE(queue.cancel(last));
    CHECK(queue.cancel(core::value(enqueued).ticket));
}

TEST_CASE("among equally important services, a full host evicts from the institution above its share")
{
    Queue queue(40);
    setUp(queue);
    for (unsigned i = 0; i < 40; ++i) {
        enqueue(queue, Loans);
    }
    unsigned enqueued = 0;
    while (core::ok(queue.enqueue(Awards, Start + 10s, 1ms, Start))) {
        ++enqueued;
    }
    CHECK(enqueued >= 28);
    CHECK(enqueued <= 30);
    CHECK(queue.waitingCount(Loans) + queue.waitingCount(Awards) == 40);
}

TEST_CASE("configure returns the queued requests of a removed service")
{
    Queue queue(100);
    setUp(queue);
    const auto search = enqueue(queue, Search);
    CHECK(queue.configure({}) == std::vector{search});
    CHECK(refusal(queue, Search, 10s, Start) == core::ErrorCode::NoSuchService);
}

// Guards against requests that still wait without an answer when a stopping host ends.
TEST_CASE("requests whose deadline is after the end of a stopping host are removed from all services, the others stay")
{
    Queue queue(100);
    setUp(queue);
    const auto early = enqueue(queue, Search, 1s);
    const auto atEnd = enqueue(queue, Search, 2s);
    const auto late = enqueue(queue, Search, 3s);
    const auto lateLoan = enqueue(queue, Loans, 4s);
    auto removed = queue.removeEndingAfter(Start + 2s);
    std::sort(removed.begin(), removed.end());
    CHECK(removed == std::vector{late, lateLoan});
    CHECK(queue.dequeue(Start)->ticket == early);
    CHECK(queue.dequeue(Start)->ticket == atEnd);
    CHECK_FALSE(queue.dequeue(Start));
    CHECK(queue.waitingCount(Loans) == 0);
}
