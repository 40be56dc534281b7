#include "control/orderage.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using namespace std::chrono_literals;
using control::OrderAge;

namespace
{

/** A process whose clock the test moves. */
class FakeProcess
{
public:
    OrderAge receiveOrder()
    {
        return OrderAge(m_stalls, clock());
    }

    void run(core::Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += 50ms;
            m_stalls.beat();
        }
    }

    void freeze(core::Duration duration)
    {
        m_now += duration;
    }

private:
    core::StallMonitor::BootClockHook clock()
    {
        return [this]() {
            return m_now;
        };
    }

    core::BootTime m_now{100s};
    core::StallMonitor m_stalls{control::LongestPause, clock()};
};

} // namespace

TEST_CASE("an order of a process that runs is not stale while its caller waits")
{
    FakeProcess process;
    process.run(1s);
    const auto age = process.receiveOrder();
    CHECK_FALSE(age.mayBeStale());
    process.run(300ms);
    CHECK_FALSE(age.mayBeStale());
    process.run(300ms);
    CHECK(age.mayBeStale());
}

TEST_CASE("an order that is read shortly after a freeze may be stale, whether or not a beat came first")
{
    const auto beats = GENERATE(0ms, 50ms, 200ms);
    FakeProcess process;
    process.run(1s);
    process.freeze(1200ms);
    process.run(beats);
    CHECK(process.receiveOrder().mayBeStale());
    process.run(2s);
    CHECK_FALSE(process.receiveOrder().mayBeStale());
}

TEST_CASE("an order that was read before a freeze is stale after it")
{
    FakeProcess process;
    process.run(1s);
    const auto age = process.receiveOrder();
    process.freeze(501ms);
    CHECK(age.mayBeStale());
}

TEST_CASE("a short pause makes no order stale")
{
    FakeProcess process;
    process.run(1s);
    process.freeze(400ms);
    CHECK_FALSE(process.receiveOrder().mayBeStale());
}
