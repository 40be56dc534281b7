/**
 * @file
 * How many claims each institution may hold, and for how long claims are kept.
 */
#pragma once

#include "claims/claim.h"
#include "configuration/model.h"

#include <cstdint>
#include <map>

namespace pimentoshed::claims
{

/** The settings of the active configuration for claims. */
struct Policy {
    LogTime retention{};
    std::map<core::ServiceName, core::InstitutionName> institutions;
    /** Number of claims that each institution may hold, at least 1. */
    std::map<core::InstitutionName, std::uint64_t> shares;

    bool operator==(const Policy &) const = default;
};

/** Returns the policy of @p configuration, with its capacity divided between the institutions by weight. */
Policy makePolicy(const configuration::Configuration &configuration);

} // namespace pimentoshed::claims
