#include "admission/queue.h"

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

admission::Ticket offer(Queue &queue, const core::ServiceName &service, core::Duration deadline = 10s)
{
    const auto admitted = queue.enqueue(service, Start + deadline, 1ms, Start);
    REQUIRE(core::ok(admitted));
    return core::value(admitted).ticket;
}

core::ErrorCode refusal(Queue &queue, const core::ServiceName &service, core::Duration deadline, core::TimePoint now)
{
    const auto admitted = queue.enqueue(service, Start + deadline, 10ms, now);
    REQUIRE_FALSE(core::ok(admitted));
    return core::error(admitted).code;
}

} // namespace

TEST_CASE("within a service the earliest deadline goes first")
{
    Queue queue(100);
    setUp(queue);
    const auto late = offer(queue, Search, 3s);
    const auto early = offer(queue, Search, 1s);
    const auto middle = offer(queue, Search, 2s);
    CHECK(queue.dequeue(Start)->ticket == early);
    CHECK(queue.dequeue(Start)->ticket == middle);
    CHECK(queue.dequeue(Start)->ticket == late);
    CHECK_FALSE(queue.dequeue(Start));
}

TEST_CASE("institutions take turns by weight, and their services evenly")
{
    Queue queue(1000);
    setUp(queue);
    for (unsigned i = 0; i < 80; ++i) {
        offer(queue, Search);
        offer(queue, Loans);
        offer(queue, Awards);
    }
    std::map<core::ServiceName, unsigned> turns;
    for (unsigned i = 0; i < 80; ++i) {
        ++turns[queue.dequeue(Start)->service];
    }
    CHECK(turns[Awards] == 60);
    CHECK(turns[Search] == 10);
    CHECK(turns[Loans] == 10);
}

TEST_CASE("an institution that was idle gets no turns for that time, and none is starved")
{
    Queue queue(1000);
    setUp(queue);
    for (unsigned i = 0; i < 50; ++i) {
        offer(queue, Search);
    }
    for (unsigned i = 0; i < 40; ++i) {
        queue.dequeue(Start);
    }
    for (unsigned i = 0; i < 50; ++i) {
        offer(queue, Awards);
    }
    unsigned search = 0;
    for (unsigned i = 0; i < 16; ++i) {
        search += queue.dequeue(Start)->service == Search ? 1 : 0;
    }
    CHECK(search >= 3);
    CHECK(search <= 5);
}

TEST_CASE("a service without room is passed over until it has room again")
{
    Queue queue(100);
    setUp(queue);
    const auto award = offer(queue, Awards);
    const auto loan = offer(queue, Loans);
    const auto turn = queue.dequeue(Start);
    REQUIRE(turn->ticket == award);
    CHECK(queue.requeue(*turn));
    CHECK(queue.dequeue(Start)->ticket == loan);
    CHECK_FALSE(queue.dequeue(Start));
    CHECK(queue.waitingCount(Awards) == 1);
    queue.markReady(Awards);
    CHECK(queue.dequeue(Start)->ticket == award);
}

TEST_CASE("room that came while a turn looked for a target is not lost")
{
    Queue queue(100);
    setUp(queue);
    const auto loan = offer(queue, Loans);
    const auto turn = queue.dequeue(Start);
    queue.markReady(Loans);
    queue.requeue(*turn);
    CHECK(queue.dequeue(Start)->ticket == loan);
}

TEST_CASE("what cannot meet its deadline is refused at once")
{
    Queue queue(100);
    setUp(queue);
    CHECK(refusal(queue, Search, 5ms, Start) == core::ErrorCode::DeadlinePassed);
    for (unsigned i = 0; i < 30; ++i) {
        offer(queue, Search, 1s);
    }
    core::TimePoint now = Start;
    for (unsigned i = 0; i < 10; ++i) {
        queue.dequeue(now += 20ms);
    }
    // 20 wait until 1 s, one turn in 20 ms: a later one has its turn 400 ms from now, an earlier one at once.
    CHECK(core::ok(queue.enqueue(Search, now + 50ms, 10ms, now)));
    for (unsigned i = 0; i < 40; ++i) {
        queue.enqueue(Search, Start + 1s, 10ms, now);
    }
    CHECK(refusal(queue, Search, 1001ms, now) == core::ErrorCode::DeadlinePassed);
}

TEST_CASE("requests expire while they still could be told in time")
{
    Queue queue(100);
    setUp(queue);
    const auto early = offer(queue, Search, 1s);
    offer(queue, Search, 2s);
    CHECK(queue.removeExpired(Start + 990ms).empty());
    CHECK(queue.removeExpired(Start + 1s) == std::vector{early});
    CHECK(queue.waitingCount(Search) == 1);
}

TEST_CASE("queues are bounded, and the least important loses its place first")
{
    Queue queue(100);
    setUp(queue);
    for (unsigned i = 0; i < 99; ++i) {
        offer(queue, Search);
    }
    const auto last = offer(queue, Search, 11s);
    CHECK(refusal(queue, Search, 10s, Start) == core::ErrorCode::QueueFull);
    const auto admitted = queue.enqueue(Awards, Start + 10s, 1ms, Start);
    REQUIRE(core::ok(admitted));
    CHECK(core::value(admitted).evicted == last);
    CHECK_FALSE(queue.cancel(last));
    CHECK(queue.cancel(core::value(admitted).ticket));
}

TEST_CASE("among equals the institution above its share loses its place")
{
    Queue queue(40);
    setUp(queue);
    for (unsigned i = 0; i < 40; ++i) {
        offer(queue, Loans);
    }
    unsigned admitted = 0;
    while (core::ok(queue.enqueue(Awards, Start + 10s, 1ms, Start))) {
        ++admitted;
    }
    CHECK(admitted >= 28);
    CHECK(admitted <= 30);
    CHECK(queue.waitingCount(Loans) + queue.waitingCount(Awards) == 40);
}

TEST_CASE("what waits for a service that is gone is handed back")
{
    Queue queue(100);
    setUp(queue);
    const auto search = offer(queue, Search);
    CHECK(queue.configure({}) == std::vector{search});
    CHECK(refusal(queue, Search, 10s, Start) == core::ErrorCode::NoSuchService);
}
