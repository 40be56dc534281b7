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

/** What the file in force says of claims. */
struct Policy {
    LogTime retention{};
    std::map<core::ServiceName, core::InstitutionName> institutions;
    /** Claims that each institution may hold, at least 1. */
    std::map<core::InstitutionName, std::uint64_t> shares;

    bool operator==(const Policy &) const = default;
};

/** The policy of @p configuration: its capacity is shared between the institutions by weight. */
Policy makePolicy(const configuration::Configuration &configuration);

} // namespace pimentoshed::claims
