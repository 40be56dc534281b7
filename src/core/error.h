/**
 * @file
 * Numbered errors. The table in docs/ERRORS.md lists the same codes; a test checks that both agree.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace pimentoshed::core
{

/**
 * The thousands digit gives the area: 1 settings, 2 operator's file, 3 changes, 4 requests, 5 targets, 6 state,
 * 7 network.
 */
enum class ErrorCode : std::uint16_t {
    SettingInvalid = 1001,
    FileUnreadable = 1002,
    ListenFailed = 1003,
    ConfigSyntax = 2001,
    ConfigUnknownKey = 2002,
    ConfigMissingKey = 2003,
    ConfigWrongType = 2004,
    ConfigOutOfBounds = 2005,
    ConfigUnknownName = 2006,
    ConfigDuplicate = 2007,
    VersionConflict = 3001,
    UnknownDomain = 3002,
    ChangeSuperseded = 3003,
    ChangeNotCommitted = 3004,
    NoQuorum = 3005,
    NotLeader = 3006,
    ChangeIdReused = 3007,
    RolloutRunning = 3008,
    OrderStale = 3009,
    NoSuchService = 4001,
    NoTarget = 4002,
    NotCurrent = 4003,
    DeadlinePassed = 4004,
    QueueFull = 4005,
    TargetFailed = 4006,
    RequestMalformed = 4007,
    RequestTooLarge = 4008,
    RequestKeyMissing = 4009,
    RequestKeyUsed = 4010,
    Stopping = 4011,
    AnswerTruncated = 4012,
    ClaimFailed = 4013,
    CallerTooSlow = 4014,
    KeyUnknown = 4015,
    OverQuota = 4016,
    QuotaUnknown = 4017,
    AnnouncementMalformed = 5001,
    AnnouncementStale = 5002,
    JournalDamaged = 6001,
    JournalWriteFailed = 6002,
    SnapshotDamaged = 6003,
    DataFolderForeign = 6004,
    TraceMalformed = 6005,
    PeerUnreachable = 7001,
    MessageMalformed = 7002,
};

/** One row of the table of errors. */
struct ErrorRow {
    ErrorCode code;
    std::string_view name;
    std::string_view meaning;
};

/** Every error code with its name and meaning, in ascending order of code. */
std::span<const ErrorRow> errorTable();

/** Returns the name of @p code, such as "no-target"; empty for a code that is not in the table. */
std::string_view errorName(ErrorCode code);

/** An error code with the details of one occurrence, such as the object concerned. */
struct Error {
    ErrorCode code;
    std::string detail;

    bool operator==(const Error &) const = default;
};

/** Formats @p error as "E4002 no-target: detail", or as "E4002 no-target" if it has no detail. */
std::string describe(const Error &error);

/** The result of an operation: its value, or an error. */
template<typename T>
using Result = std::variant<T, Error>;

/** The result of an operation that returns no value on success. */
using Status = Result<std::monostate>;

/** Whether @p result holds a value. */
template<typename T>
bool ok(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

/** Returns the value; throws std::bad_variant_access if @p result holds an error. */
template<typename T>
const T &value(const Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
T &value(Result<T> &result)
{
    return std::get<T>(result);
}

/** Returns the error; throws std::bad_variant_access if @p result holds a value. */
template<typename T>
const Error &error(const Result<T> &result)
{
    return std::get<Error>(result);
}

} // namespace pimentoshed::core
