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
/** Planned work that is drawn by itself; the rest comes in series. */
constexpr std::array SinglePlannedKinds{EventKind::StopEntry, EventKind::StopControl, EventKind::StopTarget};
constexpr std::array SeriesKinds{EventKind::StopEntry,
                                 EventKind::ReloadAndStopEntry,
                                 EventKind::ReloadAndStopControl,
                                 EventKind::ReloadEntry,
                                 EventKind::ReloadControl};
constexpr unsigned SeriesPerCycle = 2;
/** One in this many entry hosts may be in one series, so that others always serve. */
constexpr unsigned SeriesDivisor = 3;

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
            if (!isPlannedWork(row.value)) {
                m_faults.push_back(row.value);
            }
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
            plan.push_back(draw(SinglePlannedKinds, start + millis(0, 16000), millis(200, 2000)));
        }
        return end + CalmTime;
    }

private:
    core::Duration millis(unsigned from, unsigned until)
    {
        return std::chrono::milliseconds(from + core::randomBelow(m_random, until - from));
    }

    template<typename Kinds>
    Event draw(const Kinds &kinds, core::Duration at, core::Duration length)
    {
        const auto kind = kinds[core::randomBelow(m_random, kinds.size())];
        return {kind, static_cast<unsigned>(core::randomBelow(m_random, subjectCount(kind, m_size))), at, length};
    }

    core::RandomSource m_random;
    const FleetSize m_size;
    std::vector<EventKind> m_faults;
};

/** Draws series of planned work, with a source of its own so that the rest of a seed's schedule stays the same. */
class SeriesPlanner
{
public:
    SeriesPlanner(std::uint64_t seed, const FleetSize &size)
        : m_random(core::seededRandom(~seed))
        , m_size(size)
    {
    }

    /** Adds the series of the cycle from @p start until @p end. */
    void addCycle(core::Duration start, core::Duration end, std::vector<Event> &plan)
    {
        const auto cycle = std::chrono::duration_cast<std::chrono::milliseconds>(end - start).count();
        for (unsigned i = 0; i < SeriesPerCycle; ++i) {
            addSeries(start + millis(0, static_cast<unsigned>(cycle)), plan);
        }
    }

private:
    core::Duration millis(unsigned from, unsigned until)
    {
        return std::chrono::milliseconds(from + core::randomBelow(m_random, until - from));
    }

    void addSeries(core::Duration at, std::vector<Event> &plan)
    {
        const auto kind = SeriesKinds[core::randomBelow(m_random, SeriesKinds.size())];
        const auto subjects = subjectCount(kind, m_size);
        const auto first = static_cast<unsigned>(core::randomBelow(m_random, subjects));
        const auto count = subjectOf(kind) == SubjectKind::EntryHost ? std::max(1U, subjects / SeriesDivisor) : 1;
        const auto gap = millis(100, 1500);
        for (unsigned i = 0; i < count; ++i) {
            plan.push_back({kind, (first + i) % subjects, at + i * gap, millis(200, 2000)});
        }
    }

    core::RandomSource m_random;
    const FleetSize m_size;
};

} // namespace

SubjectKind subjectOf(EventKind kind)
{
    switch (kind) {
    case EventKind::KillEntry:
    case EventKind::FreezeEntry:
    case EventKind::CutCallers:
    case EventKind::StopEntry:
    case EventKind::ReloadEntry:
    case EventKind::ReloadAndStopEntry:
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
    return kind >= EventKind::StopEntry;
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
    SeriesPlanner seriesPlanner(seed, size);
    std::vector<Event> plan;
    for (core::Duration at = FirstEvent; at < length;) {
        const auto next = planner.addCycle(at, plan);
        seriesPlanner.addCycle(at, next, plan);
        at = next;
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
