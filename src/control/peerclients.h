/**
 * @file
 * RPC clients of the other control hosts.
 */
#pragma once

#include "consensus/messages.h"
#include "core/ids.h"
#include "core/rankedmutex.h"
#include "rpc/controlclient.h"
#include "rpc/peerclient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pimentoshed::control
{

/** RPC address of each control host. */
using PeerAddresses = std::map<core::HostId, std::string>;

/** Creates one client for each control host. Thread-safe; lock rank Connections. */
class PeerClients
{
public:
    /** @p addressOf returns the address of a host that @p addresses does not list, or an empty string; may be null. */
    explicit PeerClients(const PeerAddresses &addresses,
                         std::function<std::string(const core::HostId &)> addressOf = nullptr);

    /** Sends @p message, which may be lost. If no reply arrives in time, the connection is replaced by a new one. */
    void send(const consensus::Message &message);

    /** Returns the client for @p host, creating it if necessary; nullptr if the address is unknown. */
    std::shared_ptr<rpc::PeerClient> clientFor(const core::HostId &host);

    /** Returns the RPC address of @p host; empty if unknown. */
    std::string addressOf(const core::HostId &host) const;

    /** Returns the hosts that have a client. */
    std::vector<core::HostId> knownHosts() const;

    /** Adds hosts, and replaces the clients of hosts whose address has changed. */
    void update(const PeerAddresses &addresses);

private:
    struct Peer {
        std::string address;
        std::shared_ptr<rpc::PeerClient> client;
    };

    /** Replaces the client of @p host, so that the next message uses a new connection. */
    void reconnect(const core::HostId &host);
    std::string addressWithLock(const core::HostId &host) const;

    const std::function<std::string(const core::HostId &)> m_addressOf;
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::map<core::HostId, Peer> m_peers;
};

} // namespace pimentoshed::control
