/**
 * @file
 * What a target says about itself in a response.
 */
#pragma once

#include "core/enumtable.h"
#include "routing/loadreport.h"

#include <array>
#include <cstdint>
#include <optional>

namespace pimentoshed::routing
{

/** What a response says about a limit on the requests that its target takes. */
enum class LimitStatement : std::uint8_t {
    /** The target has no limit, or no longer has one. */
    None,
    Named,
    /** The response names a limit that can't be read. An earlier limit still holds. */
    Unreadable,
};

inline constexpr std::array LimitStatementNames{
    core::EnumName<LimitStatement>{LimitStatement::None, "none"},
    core::EnumName<LimitStatement>{LimitStatement::Named, "named"},
    core::EnumName<LimitStatement>{LimitStatement::Unreadable, "unreadable"},
};

/** The signals in one response of a target. */
struct TargetSignals {
    std::optional<LoadReport> load;
    LimitStatement limitStatement = LimitStatement::None;
    /** With LimitStatement::Named: requests per second that the target takes from all hosts together, from 0. */
    double requestLimit = 0;
    /** Whether the target leaves. */
    bool isLeaving = false;
    /** In a refusal: how long this host must send nothing. */
    std::optional<core::Duration> pause{};

    bool operator==(const TargetSignals &) const = default;
};

} // namespace pimentoshed::routing
