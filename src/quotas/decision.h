/**
 * @file
 * The decision whether a request is within its workspace's quota.
 */
#pragma once

#include "configuration/model.h"
#include "core/enumtable.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <functional>

namespace pimentoshed::quotas
{

enum class Verdict : std::uint8_t {
    Admitted,
    OverQuota,
    /** Nobody could say in time, and this host's part of the reserve is used up. */
    Unknown,
};

inline constexpr std::array VerdictNames{
    core::EnumName<Verdict>{Verdict::Admitted, "admitted"},
    core::EnumName<Verdict>{Verdict::OverQuota, "over-quota"},
    core::EnumName<Verdict>{Verdict::Unknown, "unknown"},
};

/** The right to send one request. */
struct Token {
    /** The call whose lease it comes from; 0 if it comes from no lease. */
    std::uint64_t call = 0;
    /** The request must not be sent later than this; it then needs another token. */
    core::TimePoint validUntil = core::TimePoint::max();
};

/** Whether a request is within its workspace's quota. */
struct Decision {
    Verdict verdict = Verdict::Admitted;
    /** If it is admitted. */
    Token token{};
    /** If it is not admitted: when the workspace can send again. */
    core::Duration retryAfter{};
};

/**
 * Takes one request of the quota of @p workspace and passes the decision to the callback, at once or later on any
 * thread, by @p latest at the latest.
 */
using SpendHook = std::function<void(
    const configuration::Workspace &workspace, core::TimePoint latest, std::function<void(const Decision &)> callback)>;

/** Gives back the token of a request that did not run and will not be sent again. */
using GiveBackHook = std::function<void(const configuration::Workspace &workspace, const Token &token)>;

} // namespace pimentoshed::quotas
