#include "claims/policy.h"

#include <algorithm>

namespace pimentoshed::claims
{

Policy makePolicy(const configuration::Configuration &configuration)
{
    Policy policy;
    policy.retention = configuration.limits.requestKeyRetention;
    std::uint64_t weightSum = 0;
    for (const auto &institution : configuration.institutions) {
        weightSum += institution.weight;
    }
    const auto divisor = std::max<std::uint64_t>(weightSum, 1);
    for (const auto &institution : configuration.institutions) {
        const auto share = configuration.limits.requestKeyCapacity * institution.weight / divisor;
        policy.shares.emplace(institution.name, std::max<std::uint64_t>(share, 1));
    }
    for (const auto &service : configuration.services) {
        policy.institutions.emplace(service.name, service.institution);
    }
    return policy;
}

} // namespace pimentoshed::claims
