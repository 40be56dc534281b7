/**
 * @file
 * The operators' side of a control host, over HTTP with JSON.
 */
#pragma once

#include "changes/ledger.h"
#include "consensus/replica.h"
#include "http/server.h"
#include "membership/hosts.h"

#include <functional>
#include <vector>

namespace pimentoshed::control
{

/** What the operators' requests lead to. */
struct OperatorHooks {
    /** Has a change decided; the hook may run on any thread. */
    std::function<void(const changes::Change &, std::function<void(changes::Answer)>)> change;
    std::function<std::shared_ptr<const changes::Standing>()> standing;
    /** This host's part in the replicated log. */
    std::function<consensus::Inspection()> log;
    std::function<std::vector<membership::EntryHost>()> hosts;
    std::function<std::size_t()> targetCount;
};

/** The handler for a control host's operator address. docs/INTERFACES.md lists what it serves. */
http::Handler operatorHandler(core::HostId id, OperatorHooks hooks);

} // namespace pimentoshed::control
