/**
 * @file
 * The hooks that a control host passes to the HTTP handlers of operators, targets and callers.
 */
#pragma once

#include "changes/ledger.h"
#include "consensus/replica.h"
#include "control/orderage.h"
#include "http/server.h"
#include "membership/hosts.h"
#include "membership/targetknowledge.h"
#include "targets/targettable.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace pimentoshed::control
{

/** Hooks into one control host. A callback that is passed to a hook may be called on any thread. */
struct HttpHandlerDependencies {
    core::HostId id;
    core::FailureDomain domain;

    /** Returns the age of an order that was read at this moment. */
    std::function<OrderAge()> receiveOrder;
    /** Submits a change to the replicated log; the callback gets its answer. */
    std::function<void(const changes::Change &, std::function<void(changes::Answer)>)> submitChange;
    /** Starts a rollout. An order that is sent again gets its first answer. */
    std::function<void(const changes::StartRollout &, const OrderAge &, std::function<void(changes::Answer)>)>
        startRollout;
    /** Returns the active configuration. */
    std::function<std::shared_ptr<const changes::ActiveConfiguration>()> activeConfiguration;
    /** Confirms with a quorum. The callback gets whether the active configuration, if read from then on, is current. */
    std::function<void(std::function<void(bool)>)> confirmCurrent;

    /** Records a target's announcement; this host then keeps the target's lease. */
    std::function<targets::UpdateResult(const targets::Target &)> announce;
    /** Withdraws a target, so that no host sends it new requests; binding once the callback has got the answer. */
    std::function<void(const targets::Target &, std::function<void(changes::Answer)>)> submitWithdrawal;
    std::function<std::optional<targets::Target>(const core::TargetId &)> findTarget;
    std::function<membership::IncarnationKnowledge(const core::TargetId &)> incarnationKnowledge;
    std::function<std::size_t()> targetCount;

    /** Returns the state of this host's replica of the log. */
    std::function<consensus::ReplicaStatus()> replicaStatus;
    std::function<std::vector<membership::EntryHost>()> entryHosts;
    std::function<std::vector<membership::ControlHost>()> controlHosts;
};

/** Creates the HTTP handler for a control host's operator and caller addresses. */
using HttpHandlerFactory = std::function<http::Handler(HttpHandlerDependencies)>;

} // namespace pimentoshed::control
