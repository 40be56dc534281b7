/**
 * @file
 * What operators ask for, and what they are answered.
 */
#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace pimentoshed::changes
{

/** Puts a whole file into force. */
struct ApplyFile {
    core::ChangeId id;
    std::string text;
    /** Whether the id is made from the text, so that no other file can come under it. */
    bool isIdFromContent = false;

    bool operator==(const ApplyFile &) const = default;
};

/** Takes a failure domain out of service, or returns it. */
struct SetDomainAvailability {
    core::ChangeId id;
    core::FailureDomain domain;
    bool out = false;
    /** The domain's change count this change was made against; it is refused where that has moved on. */
    std::uint64_t expectedChangeCount = 0;

    bool operator==(const SetDomainAvailability &) const = default;
};

using Change = std::variant<ApplyFile, SetDomainAvailability>;

/** The name of @p change. */
const core::ChangeId &idOf(const Change &change);

/** What an accepted change led to. */
struct Accepted {
    /** Counts every accepted change of any kind. */
    std::uint64_t revision = 0;
    /** The version of the file in force. */
    std::uint64_t version = 0;

    bool operator==(const Accepted &) const = default;
};

using Answer = core::Result<Accepted>;

} // namespace pimentoshed::changes
