#include "soak/plan.h"

#include "core/random.h"

#include <algorithm>
#include <fmt/format.h>

namespace pimentoshed::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr core::Duration FirstEvent = 4s;
/** No event starts in this last part of a soak, so that the system can recover. */
constexpr core::Duration QuietEnd = 8s;
/** Longer than a burst's faults, a permission and a target's lease, so that part of it is undisturbed. */
constexpr core::Duration CalmTime = 16s;
constexpr unsigned MaxFaultsPerBurst = 4;
constexpr unsigned MaxPlannedPerCycle = 3;

unsigned subjectCount(EventKind kind, const FleetSize &size)
{
    switch (subjectOf(kind)) {
    case SubjectKind::EntryHost:
        return size.entry;
    case SubjectKind::Target:
        return size.targets;
    case SubjectKind::ControlHost:
        return size.control;
    case SubjectKind::AllControlHosts:
        break;
    }
    return 1;
}

/** Draws the events of one cycle: a burst of faults, then a calm time; planned work in both. */
class CyclePlanner
{
public:
    CyclePlanner(std::uint64_t seed, const FleetSize &size)
        : m_random(core::seededRandom(seed))
        , m_size(size)
    {
        for (const auto &row : EventKindNames) {
            (isPlannedWork(row.value) ? m_planned : m_faults).push_back(row.value);
        }
    }

    /** Adds the events of the cycle that starts at @p start. Returns when the next cycle starts. */
    core::Duration addCycle(core::Duration start, std::vector<Event> &plan)
    {
        core::Duration end = start;
        for (auto count = 1 + core::randomBelow(m_random, MaxFaultsPerBurst); count > 0; --count) {
            const auto event = draw(m_faults, start + millis(0, 3000), millis(500, 6000));
            end = std::max(end, event.at + event.length);
            plan.push_back(event);
        }
        for (auto count = core::randomBelow(m_random, MaxPlannedPerCycle + 1); count > 0; --count) {
            plan.push_back(draw(m_planned, start + millis(0, 16000), millis(200, 2000)));
        }
        return end + CalmTime;
    }

private:
    core::Duration millis(unsigned from, unsigned until)
    {
        return std::chrono::milliseconds(from + core::randomBelow(m_random, until - from));
    }

    Event draw(const std::vector<EventKind> &kinds, core::Duration at, core::Duration length)
    {
        const auto kind = kinds[core::randomBelow(m_random, kinds.size())];
        return {kind, static_cast<unsigned>(core::randomBelow(m_random, subjectCount(kind, m_size))), at, length};
    }

    core::RandomSource m_random;
    const FleetSize m_size;
    std::vector<EventKind> m_faults;
    std::vector<EventKind> m_planned;
};

} // namespace

SubjectKind subjectOf(EventKind kind)
{
    switch (kind) {
    case EventKind::KillEntry:
    case EventKind::FreezeEntry:
    case EventKind::CutCallers:
    case EventKind::StopEntry:
        return SubjectKind::EntryHost;
    case EventKind::KillTarget:
    case EventKind::FreezeTarget:
    case EventKind::SilenceTarget:
    case EventKind::ResetTarget:
    case EventKind::StopTarget:
        return SubjectKind::Target;
    case EventKind::KillAllControl:
        return SubjectKind::AllControlHosts;
    default:
        return SubjectKind::ControlHost;
    }
}

bool isPlannedWork(EventKind kind)
{
    return kind == EventKind::StopEntry || kind == EventKind::StopControl || kind == EventKind::StopTarget;
}

FleetSize fleetSize(unsigned processes)
{
    constexpr unsigned LargeFleet = 100;
    FleetSize size;
    size.control = processes >= LargeFleet ? 5 : 3;
    size.entry = std::max(3U, processes / 4);
    size.targets = std::max(4U, processes - std::min(processes, size.control + size.entry));
    return size;
}

std::vector<Event> makePlan(std::uint64_t seed, core::Duration length, const FleetSize &size)
{
    CyclePlanner planner(seed, size);
    std::vector<Event> plan;
    for (core::Duration at = FirstEvent; at < length;) {
        at = planner.addCycle(at, plan);
    }
    std::erase_if(plan, [length](const Event &event) {
        return event.at + event.length + QuietEnd > length;
    });
    std::stable_sort(plan.begin(), plan.end(), [](const Event &left, const Event &right) {
        return left.at < right.at;
    });
    return plan;
}

std::string describe(const std::vector<Event> &plan)
{
    std::string text;
    for (const auto &event : plan) {
        text += fmt::format("  {:6.1f} s  {} {} for {:.1f} s\n",
                            core::toSeconds(event.at),
                            core::nameOf(EventKindNames, event.kind),
                            event.subject,
                            core::toSeconds(event.length));
    }
    return text;
}

} // namespace pimentoshed::soak
