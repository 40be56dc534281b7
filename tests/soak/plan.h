/**
 * @file
 * The schedule of a soak: faults in bursts, with calm times between them, and planned work at any time, alone and in
 * series that overlap.
 */
#pragma once

#include "core/enumtable.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace pimentoshed::soak
{

enum class EventKind : std::uint8_t {
    // Faults.
    KillEntry,
    KillControl,
    KillTarget,
    KillAllControl,
    FreezeEntry,
    FreezeControl,
    FreezeTarget,
    CutControl,
    CutControlOutbound,
    DelayControl,
    SilenceTarget,
    ResetTarget,
    CutCallers,
    FillDisk,
    TearJournal,
    // Planned work.
    StopEntry,
    StopControl,
    StopTarget,
    ReloadEntry,
    ReloadControl,
    /** Stops the process while it gets SIGHUP before and after SIGTERM. */
    ReloadAndStopEntry,
    ReloadAndStopControl,
};

inline constexpr std::array EventKindNames{
    core::EnumName<EventKind>{EventKind::KillEntry, "kill-entry"},
    core::EnumName<EventKind>{EventKind::KillControl, "kill-control"},
    core::EnumName<EventKind>{EventKind::KillTarget, "kill-target"},
    core::EnumName<EventKind>{EventKind::KillAllControl, "kill-all-control"},
    core::EnumName<EventKind>{EventKind::FreezeEntry, "freeze-entry"},
    core::EnumName<EventKind>{EventKind::FreezeControl, "freeze-control"},
    core::EnumName<EventKind>{EventKind::FreezeTarget, "freeze-target"},
    core::EnumName<EventKind>{EventKind::CutControl, "cut-control"},
    core::EnumName<EventKind>{EventKind::CutControlOutbound, "cut-control-outbound"},
    core::EnumName<EventKind>{EventKind::DelayControl, "delay-control"},
    core::EnumName<EventKind>{EventKind::SilenceTarget, "silence-target"},
    core::EnumName<EventKind>{EventKind::ResetTarget, "reset-target"},
    core::EnumName<EventKind>{EventKind::CutCallers, "cut-callers"},
    core::EnumName<EventKind>{EventKind::FillDisk, "fill-disk"},
    core::EnumName<EventKind>{EventKind::TearJournal, "tear-journal"},
    core::EnumName<EventKind>{EventKind::StopEntry, "stop-entry"},
    core::EnumName<EventKind>{EventKind::StopControl, "stop-control"},
    core::EnumName<EventKind>{EventKind::StopTarget, "stop-target"},
    core::EnumName<EventKind>{EventKind::ReloadEntry, "reload-entry"},
    core::EnumName<EventKind>{EventKind::ReloadControl, "reload-control"},
    core::EnumName<EventKind>{EventKind::ReloadAndStopEntry, "reload-and-stop-entry"},
    core::EnumName<EventKind>{EventKind::ReloadAndStopControl, "reload-and-stop-control"},
};

/** What an event affects. */
enum class SubjectKind : std::uint8_t {
    ControlHost,
    AllControlHosts,
    EntryHost,
    Target,
};

SubjectKind subjectOf(EventKind kind);

/** Whether @p kind is planned work, which must not disturb any request. */
bool isPlannedWork(EventKind kind);

struct Event {
    EventKind kind = EventKind::KillEntry;
    /** Index of the host or target. */
    unsigned subject = 0;
    /** From the start of the soak. */
    core::Duration at{};
    /** How long the fault lasts, or the process is down. */
    core::Duration length{};
};

/** Numbers of processes. */
struct FleetSize {
    unsigned control = 3;
    unsigned entry = 6;
    unsigned targets = 12;
};

/** Returns the sizes of a fleet of @p processes, at least 10. */
FleetSize fleetSize(unsigned processes);

/** Returns the events of a soak of @p length, in order of time. The same arguments give the same events. */
std::vector<Event> makePlan(std::uint64_t seed, core::Duration length, const FleetSize &size);

/** Returns one line per event. */
std::string describe(const std::vector<Event> &plan);

} // namespace pimentoshed::soak
