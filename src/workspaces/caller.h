/**
 * @file
 * On whose behalf a request is sent.
 */
#pragma once

#include "configuration/model.h"
#include "core/enumtable.h"
#include "core/error.h"
#include "workspaces/keytable.h"

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace pimentoshed::workspaces
{

/** How many keys a request carries. */
enum class KeyPresence : std::uint8_t {
    Missing,
    Single,
    /** Several, of which a target behind another front end might take another one. */
    Several,
};

inline constexpr std::array KeyPresenceNames{
    core::EnumName<KeyPresence>{KeyPresence::Missing, "missing"},
    core::EnumName<KeyPresence>{KeyPresence::Single, "single"},
    core::EnumName<KeyPresence>{KeyPresence::Several, "several"},
};

/** What a request shows of its key: it is kept instead of the key. */
struct PresentedKey {
    KeyPresence presence = KeyPresence::Missing;
    /** Of a single key. */
    configuration::KeyDigest digest{};
};

/** Returns what a request with these @p keys shows; an empty one counts as missing. */
PresentedKey presentKeys(std::span<const std::string_view> keys);

/** The workspace of a request. */
struct Caller {
    /** None on a public route without a valid key, and in a configuration without workspaces. */
    std::shared_ptr<const configuration::Workspace> workspace;
};

/** Whether requests to @p route need a key of a workspace. */
bool needsKey(const configuration::Configuration &configuration, const configuration::Route &route);

/**
 * Whether a host may decide by the keys of @p configuration about requests to @p route. @p isCurrent says whether the
 * host knows that no other configuration has replaced it.
 */
bool mayUseKeys(const configuration::Configuration &configuration, const configuration::Route &route, bool isCurrent);

/**
 * Identifies the caller of a request to @p route that carries @p key, by the @p table of the keys of @p configuration.
 * Errors if the route needs a key: KeyUnknown if there is not exactly one that a workspace holds, NotCurrent if a newer
 * configuration may say otherwise, or if mayUseKeys() is false.
 */
core::Result<Caller> identify(const configuration::Configuration &configuration,
                              const KeyTable &table,
                              const configuration::Route &route,
                              const PresentedKey &key,
                              bool isCurrent);

} // namespace pimentoshed::workspaces
