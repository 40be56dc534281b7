/**
 * @file
 * The operators' side of a control host, over HTTP with JSON.
 */
#pragma once

#include "changes/ledger.h"
#include "http/server.h"
#include "membership/hosts.h"

#include <functional>
#include <vector>

namespace pimentoshed::control
{

/** What the operators' requests lead to. */
struct OperatorHooks {
    std::function<changes::Answer(const changes::Change &)> change;
    std::function<changes::Standing()> standing;
    std::function<std::vector<membership::EntryHost>()> hosts;
    std::function<std::size_t()> targetCount;
};

/** The handler for a control host's operator address. docs/INTERFACES.md lists what it serves. */
http::Handler operatorHandler(core::HostId id, OperatorHooks hooks);

} // namespace pimentoshed::control
