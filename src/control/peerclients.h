/**
 * @file
 * The other control hosts, as this one reaches them.
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

/** Where each control host takes the calls of other hosts. */
using PeerAddresses = std::map<core::HostId, std::string>;

/** Thread-safe; rank Connections. */
class PeerClients
{
public:
    /** @p addressOf says where a host is that @p addresses doesn't name; may be empty. */
    explicit PeerClients(const PeerAddresses &addresses,
                         std::function<std::string(const core::HostId &)> addressOf = nullptr);

    /** Sends @p message, which may be lost. A connection on which nothing comes back is given up for a new one. */
    void send(const consensus::Message &message);

    /** The client for @p host, or nullptr where its address is not known. */
    std::shared_ptr<rpc::PeerClient> find(const core::HostId &host);

    /** Where @p host takes the calls of other hosts; empty where that is not known. */
    std::string addressOf(const core::HostId &host) const;

    std::vector<core::HostId> known() const;

    /** Adds or corrects addresses. */
    void learn(const PeerAddresses &addresses);

private:
    struct Peer {
        std::string address;
        std::shared_ptr<rpc::PeerClient> client;
    };

    void renew(const core::HostId &host);
    std::string addressWithLock(const core::HostId &host) const;

    const std::function<std::string(const core::HostId &)> m_addressOf;
    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::map<core::HostId, Peer> m_peers;
};

} // namespace pimentoshed::control
