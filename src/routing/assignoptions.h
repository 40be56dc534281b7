/**
 * @file
 * What a router is asked for, and what it answers.
 */
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "targets/target.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pimentoshed::routing
{

/** Restricts a request to targets by their software version. */
struct VersionFilter {
    std::string_view version;
    /** Whether only targets of the version may be chosen; if not, only those of any other version. */
    bool only = true;
};

/** Restrictions on the target of one request. */
struct AssignOptions {
    /** Targets that must not be chosen. */
    std::span<const core::TargetId> excludedTargets;
    /** If not empty, only these targets may be chosen. */
    std::span<const core::TargetId> allowedTargets;
    /** Time within which the request should end; zero if there is no objective. */
    core::Duration objective{};
    /** Whether only local targets may be chosen. Ignored if none of them is serving and reachable. */
    bool localOnly = false;
    /** Whether only targets of usual speed with most of their slots free may be chosen. */
    bool idleOnly = false;
    /**
     * Whether the request is one that the service could do without, so that it may only use what is to spare: idle
     * targets that are warm, no outliers and without a request limit. Such a request is never one of probation.
     */
    bool spareOnly = false;
    /**
     * Whether an ejected target gets a probation request only if it has just reported its load and can be expected to
     * end the request in time. For hosts that probe targets; shortlist() then also offers targets that are due.
     */
    bool probationNeedsReport = false;
    /** If set, only the targets that it names may be chosen, also if none of them is serving. */
    std::optional<VersionFilter> softwareVersion{};
};

/** Whether @p filter, if there is one, names targets of @p softwareVersion. */
bool matches(const std::optional<VersionFilter> &filter, std::string_view softwareVersion);

/** Whether @p options allow @p target by its id and software version. */
bool isAllowed(const AssignOptions &options, const targets::Target &target);

/** The software version that was chosen for one request while requests are divided between versions. */
struct ChosenVersion {
    std::string version;
    /** Whether the request goes to targets of the version; if not, to those of any other version. */
    bool only = true;

    /** Valid as long as this object. */
    VersionFilter filter() const
    {
        return {version, only};
    }
};

/** A request that was assigned to a target. It must be released once. */
struct Assignment {
    std::shared_ptr<const targets::Target> target;
    std::uint64_t attempt = 0;
    /** How much slower than usual the target was estimated to be, by its load report. */
    double slowness = 1;
    /**
     * Set if the target may be full and its service's targets may then never answer: after this time without a sign, an
     * idempotent request should go elsewhere.
     */
    std::optional<core::Duration> silenceLimit{};
};

/** Routing state of one target, for dumps and tests. */
struct TargetStatus {
    unsigned inFlight = 0;
    bool isOutlier = false;
    /** Whether the target is an outlier that gets probation requests only. */
    bool isEjected = false;
    /** Whether the target was found to be cold although it may announce that it is warm. */
    bool isAssumedCold = false;
    /** Requests per second that the target takes from all hosts together, if it names a limit. */
    std::optional<double> requestLimit;
    /** Whether the target gave no sign to a request and has not reported free slots since. */
    bool isAssumedFull = false;
};

} // namespace pimentoshed::routing
