/**
 * @file
 * A trace: what happened around the system, in order of time, as decisions are replayed against it.
 */
#pragma once

#include "configuration/model.h"
#include "core/ids.h"
#include "core/time.h"
#include "targets/target.h"

#include <variant>
#include <vector>

namespace pimentoshed::replay
{

/** A caller's request reaches an entry host. */
struct RequestArrival {
    std::size_t host = 0;
    bool idempotent = true;
    /** Time that a warm target needs for it. */
    core::Duration work{};
};

/** A target works @c slowdown times slower for a while. */
struct TargetSlowdown {
    core::TargetId target;
    core::Duration length{};
    double slowdown = 1;
};

/** A target refuses everything at once for a while. */
struct TargetFailure {
    core::TargetId target;
    core::Duration length{};
};

/** A target reports this load from now on, whatever it has. */
struct TargetMisreport {
    core::TargetId target;
    unsigned load = 0;
};

/** A target's condition changes, and it says so. */
struct TargetConditionChange {
    core::TargetId target;
    targets::Condition condition = targets::Condition::Warm;
};

/** Operators take a failure domain out or return it. */
struct DomainChange {
    core::FailureDomain domain;
    bool out = false;
};

/** One event and when it comes. */
struct Event {
    core::TimePoint at{};
    std::variant<RequestArrival, TargetSlowdown, TargetFailure, TargetMisreport, TargetConditionChange, DomainChange>
        action;
};

/** One service, its targets, the entry hosts, and what happens, in order of time. */
struct Trace {
    configuration::Service service;
    std::vector<targets::Target> targets;
    /** The failure domain of each entry host. */
    std::vector<core::FailureDomain> hosts;
    /** One way within a failure domain, and between two. */
    core::Duration localDelay{};
    core::Duration remoteDelay{};
    std::vector<Event> events;
};

} // namespace pimentoshed::replay
