/**
 * @file
 * A trace: external events in order of time, such as requests and target failures, against which entry hosts are
 * simulated.
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
    /** Index of the entry host. */
    std::size_t host = 0;
    bool idempotent = true;
    /** Time that a target of full speed needs for the request. */
    core::Duration serviceTime{};
};

/** For a time, requests at a target take @c slowdown times as long. */
struct TargetSlowdown {
    core::TargetId target;
    core::Duration length{};
    double slowdown = 1;
};

/** For a time, a target fails every request immediately. */
struct TargetFailure {
    core::TargetId target;
    core::Duration length{};
};

/** From now on a target reports this load instead of the actual one. */
struct TargetMisreport {
    core::TargetId target;
    unsigned load = 0;
};

/** A target changes its condition and announces that. */
struct TargetConditionChange {
    core::TargetId target;
    targets::Condition condition = targets::Condition::Warm;
};

/** Operators take a failure domain out of service or return it. */
struct DomainChange {
    core::FailureDomain domain;
    bool isOut = false;
};

/** An event and its time. */
struct Event {
    core::TimePoint at{};
    std::variant<RequestArrival, TargetSlowdown, TargetFailure, TargetMisreport, TargetConditionChange, DomainChange>
        action;
};

/** One service, its targets, the entry hosts, and the events in order of time. */
struct Trace {
    configuration::Service service;
    std::vector<targets::Target> targets;
    /** The failure domain of each entry host. */
    std::vector<core::FailureDomain> hosts;
    /** One-way network delay within a failure domain. */
    core::Duration localDelay{};
    /** One-way network delay between two failure domains. */
    core::Duration remoteDelay{};
    std::vector<Event> events;
};

} // namespace pimentoshed::replay
