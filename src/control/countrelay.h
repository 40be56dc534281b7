/**
 * @file
 * Sends counts about rollouts to the leader.
 */
#pragma once

#include "control/peerclients.h"
#include "core/rankedmutex.h"
#include "rollouts/counttable.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::control
{

/** Thread-safe; lock rank Connections. */
class CountRelay
{
public:
    /** @p leader returns the leader, if it is known. */
    CountRelay(const PeerClients &peers, std::function<std::optional<core::HostId>()> leader);

    /** Sends @p counts once. They are dropped while no leader is known: the next report contains them too. */
    void send(const std::vector<rollouts::HostCounts> &counts);

private:
    std::shared_ptr<rpc::ControlClient> clientFor(const std::string &address);

    const PeerClients &m_peers;
    const std::function<std::optional<core::HostId>()> m_leader;
    core::RankedMutex m_mutex{core::LockRank::Connections};
    std::string m_address;
    std::shared_ptr<rpc::ControlClient> m_client;
};

} // namespace pimentoshed::control
