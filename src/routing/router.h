/**
 * @file
 * Gives requests to targets and counts what each of them has from this host.
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"
#include "core/rankedmutex.h"
#include "routing/picker.h"

#include <unordered_map>
#include <vector>

namespace pimentoshed::routing
{

/** A target that was given a request. */
struct Assignment {
    core::TargetId target;
    std::string address;
};

/** Thread-safe; rank Routing. */
class Router
{
public:
    Router(Picker picker, core::FailureDomain ownDomain, core::RandomSource random);

    /**
     * Gives a request of @p service to one of @p targets that is neither leaving nor in @p outDomains. Error: NoTarget.
     * Each assignment ends with one release.
     */
    core::Result<Assignment> assign(const configuration::Service &service,
                                    const std::vector<targets::Target> &targets,
                                    const std::vector<core::FailureDomain> &outDomains);

    void release(const core::TargetId &target);

    unsigned inFlight(const core::TargetId &target) const;

private:
    const Picker m_picker;
    const core::FailureDomain m_ownDomain;
    mutable core::RankedMutex m_mutex{core::LockRank::Routing};
    const core::RandomSource m_random;
    std::unordered_map<core::TargetId, unsigned> m_inFlight;
};

} // namespace pimentoshed::routing
