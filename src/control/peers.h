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

#include <map>
#include <memory>
#include <string>

namespace pimentoshed::control
{

/** Where each control host takes the calls of other hosts. */
using PeerAddresses = std::map<core::HostId, std::string>;

/** Thread-safe; rank Connections. */
class Peers
{
public:
    explicit Peers(const PeerAddresses &addresses);

    /** Sends @p message, which may be lost. */
    void send(const consensus::Message &message);

    /** The client for @p host, or nullptr where its address is not known. */
    std::shared_ptr<rpc::PeerClient> find(const core::HostId &host) const;

    /** Adds or corrects addresses. */
    void learn(const PeerAddresses &addresses);

private:
    struct Peer {
        std::string address;
        std::shared_ptr<rpc::PeerClient> client;
    };

    mutable core::RankedMutex m_mutex{core::LockRank::Connections};
    std::map<core::HostId, Peer> m_peers;
};

} // namespace pimentoshed::control
