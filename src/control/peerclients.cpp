#include "control/peerclients.h"

#include "rpc/replicationcodec.h"

namespace pimentoshed::control
{

namespace
{

/** Older consensus messages are of no use: an election takes a second. */
constexpr auto DeliverTimeout = std::chrono::seconds(1);

} // namespace

PeerClients::PeerClients(const PeerAddresses &addresses, std::function<std::string(const core::HostId &)> addressOf)
    : m_addressOf(std::move(addressOf))
{
    update(addresses);
}

void PeerClients::send(const consensus::Message &message)
{
    const auto client = clientFor(message.to.host);
    if (!client) {
        return;
    }
    rpc::Envelope envelope;
    rpc::encode(message, envelope);
    client->deliver(envelope, DeliverTimeout, [this, host = message.to.host]() {
        reconnect(host);
    });
}

std::shared_ptr<rpc::PeerClient> PeerClients::clientFor(const core::HostId &host)
{
    const core::Lock lock(m_mutex);
    const auto found = m_peers.find(host);
    if (found != m_peers.end()) {
        return found->second.client;
    }
    const auto address = addressWithLock(host);
    if (address.empty()) {
        return nullptr;
    }
    return m_peers.emplace(host, Peer{address, std::make_shared<rpc::PeerClient>(address)}).first->second.client;
}

std::string PeerClients::addressOf(const core::HostId &host) const
{
    const core::Lock lock(m_mutex);
    return addressWithLock(host);
}

std::vector<core::HostId> PeerClients::knownHosts() const
{
    const core::Lock lock(m_mutex);
    std::vector<core::HostId> hosts;
    hosts.reserve(m_peers.size());
    for (const auto &[host, peer] : m_peers) {
        hosts.push_back(host);
    }
    return hosts;
}

void PeerClients::update(const PeerAddresses &addresses)
{
    const core::Lock lock(m_mutex);
    for (const auto &[host, address] : addresses) {
        auto &peer = m_peers[host];
        if (peer.address != address) {
            peer = {address, std::make_shared<rpc::PeerClient>(address)};
        }
    }
}

void PeerClients::reconnect(const core::HostId &host)
{
    const core::Lock lock(m_mutex);
    const auto found = m_peers.find(host);
    if (found != m_peers.end()) {
        found->second.client = std::make_shared<rpc::PeerClient>(found->second.address);
    }
}

std::string PeerClients::addressWithLock(const core::HostId &host) const
{
    const auto found = m_peers.find(host);
    if (found != m_peers.end()) {
        return found->second.address;
    }
    return m_addressOf ? m_addressOf(host) : std::string();
}

} // namespace pimentoshed::control
