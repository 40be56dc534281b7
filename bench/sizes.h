/**
 * @file
 * The system sizes that estimates are made for, and the limits they are compared with.
 */
#pragma once

namespace pimentoshed::bench
{

/** Size and load of a whole system. */
struct Size {
    double entryHosts = 0;
    double targets = 0;
    double services = 0;
    double callsPerSecond = 0;
    double changesPerDay = 0;
    double restartsPerDay = 0;
    /** New announcements of targets that are passed on to all hosts; renewals without a change are not. */
    double targetChangesPerDay = 0;
};

inline constexpr double TargetChangesPerRestart = 4;
inline constexpr double ExpectedRestarts = 730;
inline constexpr double ExpectedFailures = 9;

inline constexpr Size TodaySize{17, 36, 3, 0, 0, 0, 0};
/** The number of entry hosts is computed from the measured processor time of a request; see bothSizes(). */
inline constexpr Size ExpectedSize{
    0, 4100, 430, 1.2e6, 1100, ExpectedRestarts, ExpectedRestarts *TargetChangesPerRestart + ExpectedFailures};

/** The fleets on which the fitted lines were measured: the sizes that are not varied, and the most entry hosts. */
inline constexpr double MeasuredEntryHosts = 3;
inline constexpr double MaxMeasuredEntryHosts = 50;
inline constexpr double MeasuredTargets = 36;
inline constexpr double MeasuredServices = 4;
inline constexpr double MeasuredRenewalSeconds = 2;

inline constexpr double CoresUsedPerEntryHost = 2;
inline constexpr double LongPollSeconds = 0.5;
inline constexpr double LeaseSeconds = 6.5;
inline constexpr double PermissionSeconds = 3;
/** Duration of a follow call that gets no response, and of the pause after it. */
inline constexpr double FollowRetrySeconds = 1.1;
inline constexpr double RackTargets = 40;
/** Requests a second at which the added latency is compared with its limit. */
inline constexpr double HopRate = 2000;

/** 2.9% of a core, in us/s. */
inline constexpr double CpuLimit = 29000;
inline constexpr double MemoryLimit = 64e6;
inline constexpr double BytesLimit = 5000;
inline constexpr double ControlHostLimit = 7;
inline constexpr double AddedLimitMillis = 0.82;
inline constexpr double InForceLimitMillis = 10000;

} // namespace pimentoshed::bench
