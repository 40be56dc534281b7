/**
 * @file
 * A target as a replay needs it: slots, a cold start that falls over, stragglers, fast failures, false reports.
 */
#pragma once

#include "core/time.h"
#include "targets/target.h"

#include <optional>
#include <variant>
#include <vector>

namespace pimentoshed::replay
{

/** What becomes of a request at a target. */
enum class ReceiveResult : std::uint8_t {
    Runs,
    /** No slot is free. */
    Shed,
    Failed,
    /** It was cold and got more than it can carry. */
    FellOver,
};

/** Not thread-safe. */
class FakeTarget
{
public:
    FakeTarget(const targets::Target &target, unsigned slots, unsigned coldSlots);

    /** Takes a request. One that runs ends at @c endOf and then with one finish. */
    ReceiveResult receive(core::TimePoint now);
    core::TimePoint endOf(core::Duration work, core::TimePoint now) const;
    void finish();

    void straggle(core::TimePoint from, core::Duration length, double slowdown);
    void failUntil(core::TimePoint end);
    void misreport(unsigned load);
    void change(targets::Condition condition);

    const targets::Target &target() const;
    unsigned reportedLoad() const;

private:
    struct Spell {
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
    std::vector<Spell> m_spells;
};

} // namespace pimentoshed::replay
