/**
 * @file
 * A simulated target with slots, overload while cold, slow periods, fast failures and false load reports.
 */
#pragma once

#include "core/time.h"
#include "targets/target.h"

#include <optional>
#include <variant>
#include <vector>

namespace pimentoshed::replay
{

/** What a target does with a request. */
enum class ReceiveResult : std::uint8_t {
    /** Runs it in a free slot. */
    Accepted,
    /** No slot is free. */
    Shed,
    /** The target fails every request at this time. */
    Failed,
    /** The target is cold and already has as many requests as it has cold slots. */
    ColdOverload,
};

/** Not thread-safe. */
class FakeTarget
{
public:
    FakeTarget(const targets::Target &target, unsigned slots, unsigned coldSlots);

    /** Receives a request. If it is accepted, the caller must call finish() once, at the completionTime(). */
    ReceiveResult receive(core::TimePoint now);
    /** Returns when a request ends that starts at @p now and takes @p serviceTime at full speed. */
    core::TimePoint completionTime(core::Duration serviceTime, core::TimePoint now) const;
    void finish();

    /** Adds a period in which requests take @p slowdown times as long. Periods must be added in order of time. */
    void addSlowPeriod(core::TimePoint from, core::Duration length, double slowdown);
    void failUntil(core::TimePoint end);
    /** Has reportedLoad() return @p load from now on, instead of the requests in progress. */
    void setReportedLoad(unsigned load);
    /** Changes the condition, and raises the sequence as a new announcement does. */
    void setCondition(targets::Condition condition);

    const targets::Target &target() const;
    unsigned reportedLoad() const;

private:
    struct SlowPeriod {
        core::TimePoint from{};
        core::TimePoint until{};
        double slowdown = 1;
    };

    targets::Target m_target;
    unsigned m_slots;
    unsigned m_coldSlots;
    unsigned m_inProgress = 0;
    core::TimePoint m_failsUntil{};
    std::optional<unsigned> m_falseLoad;
    std::vector<SlowPeriod> m_slowPeriods;
};

} // namespace pimentoshed::replay
