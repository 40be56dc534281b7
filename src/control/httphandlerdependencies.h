/**
 * @file
 * What a control host offers to the front ends that decode its operators', targets' and callers' messages.
 */
#pragma once

#include "changes/ledger.h"
#include "consensus/replica.h"
#include "http/server.h"
#include "membership/hosts.h"
#include "targets/targettable.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace pimentoshed::control
{

/** Hooks into one control host. Those that take a hook may call it on any thread. */
struct HttpHandlerDependencies {
    core::HostId id;
    core::FailureDomain domain;

    /** Has a change decided. */
    std::function<void(const changes::Change &, std::function<void(changes::Answer)>)> submitChange;
    std::function<std::shared_ptr<const changes::ActiveConfiguration>()> activeConfiguration;
    /** Says whether the standing, read after the hook was called, is current. */
    std::function<void(std::function<void(bool)>)> confirmCurrent;

    /** Takes a target's announcement and keeps its lease. */
    std::function<targets::UpdateResult(const targets::Target &)> announce;
    /** Has a target get no new work from any host; the hook's answer binds. */
    std::function<void(const targets::Target &, std::function<void(changes::Answer)>)> submitWithdrawal;
    std::function<std::optional<targets::Target>(const core::TargetId &)> findTarget;
    std::function<std::size_t()> targetCount;

    /** This host's part in the replicated log. */
    std::function<consensus::ReplicaStatus()> inspectLog;
    std::function<std::vector<membership::EntryHost>()> entryHosts;
    std::function<std::vector<membership::ControlHost>()> controlHosts;
};

/** Makes the handler of a control host's operator and caller addresses. */
using HttpHandlerFactory = std::function<http::Handler(HttpHandlerDependencies)>;

} // namespace pimentoshed::control
