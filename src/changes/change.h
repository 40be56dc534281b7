/**
 * @file
 * The changes that operators request, and their answers.
 */
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "rollouts/rollout.h"

#include <cstdint>
#include <string>
#include <variant>

namespace pimentoshed::changes
{

/** Puts a configuration file into force in place of the previous one. */
struct ApplyFile {
    core::ChangeId id;
    std::string text;
    /** Whether @c id is derived from @c text, so that no other file can have the same id. */
    bool isIdFromContent = false;

    bool operator==(const ApplyFile &) const = default;
};

/** Takes a failure domain out of service, or returns it to service. */
struct SetDomainAvailability {
    core::ChangeId id;
    core::FailureDomain domain;
    bool out = false;
    /**
     * The change count of the domain that the operator based this change on. The change is refused if the domain has a
     * different count.
     */
    std::uint64_t expectedChangeCount = 0;

    bool operator==(const SetDomainAvailability &) const = default;
};

/** Starts a rollout of a service. */
struct StartRollout {
    core::ChangeId id;
    rollouts::Order order;
    /** The number of the service's newest rollout that the operator based this change on; 0 for none. */
    std::uint64_t replaces = 0;

    bool operator==(const StartRollout &) const = default;
};

using Change = std::variant<ApplyFile, SetDomainAvailability, StartRollout>;

/** A decision of the leader about the rollout of a service. It is no change of an operator, and has no id. */
struct MoveRollout {
    core::ServiceName service;
    rollouts::Move move;

    bool operator==(const MoveRollout &) const = default;
};

/** Returns the id of @p change. */
const core::ChangeId &idOf(const Change &change);

/**
 * Checks that the names in @p change are readable. The answer to a change is kept with the names that it refers to.
 * Error: RequestMalformed.
 */
core::Status checkNames(const Change &change);

/** The state after an accepted change. */
struct Accepted {
    /** The number of accepted changes of any kind. */
    std::uint64_t revision = 0;
    /** The version of the file in force. */
    std::uint64_t version = 0;

    bool operator==(const Accepted &) const = default;
};

using Answer = core::Result<Accepted>;

} // namespace pimentoshed::changes
