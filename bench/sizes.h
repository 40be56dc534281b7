/**
 * @file
 * The sizes that estimates are made for, and the limits they are held against.
 */
#pragma once

namespace pimentoshed::bench
{

/** How large a whole system is. */
struct Size {
    double entryHosts = 0;
    double targets = 0;
    double services = 0;
    double callsPerSecond = 0;
    double changesPerDay = 0;
    double restartsPerDay = 0;
    /** Changes of targets' words that travel. */
    double targetWordsPerDay = 0;
};

inline constexpr double WordsPerRestart = 4;
inline constexpr double ExpectedRestarts = 730;
inline constexpr double ExpectedFailures = 9;

inline constexpr Size TodaySize{17, 36, 3, 0, 0, 0, 0};
/** Its entry hosts follow from the measured cost of a call. */
inline constexpr Size ExpectedSize{
    0, 4100, 430, 1.2e6, 1100, ExpectedRestarts, ExpectedRestarts *WordsPerRestart + ExpectedFailures};

/** The fleets that the slopes by one dimension were measured on. */
inline constexpr double TrialEntryHosts = 3;
inline constexpr double LargestTrialFleet = 50;
inline constexpr double TrialTargets = 36;
inline constexpr double TrialServices = 4;
inline constexpr double TrialRenewalSeconds = 2;

inline constexpr double CoresUsedPerEntryHost = 2;
inline constexpr double HoldSeconds = 0.5;
inline constexpr double LeaseSeconds = 6.5;
inline constexpr double PermissionSeconds = 3;
/** A follow call that gets no answer, and the pause after it. */
inline constexpr double RetrySeconds = 1.1;
inline constexpr double RackTargets = 40;
/** Requests a second at which the added time is held against its limit. */
inline constexpr double HopRate = 2000;

/** 2.9% of a core, in us/s. */
inline constexpr double CpuLimit = 29000;
inline constexpr double MemoryLimit = 64e6;
inline constexpr double BytesLimit = 5000;
inline constexpr double ControlHostLimit = 7;
inline constexpr double AddedLimitMillis = 0.82;
inline constexpr double InForceLimitMillis = 10000;

} // namespace pimentoshed::bench
