#include "control/peers.h"

#include "rpc/replicationcodec.h"

namespace pimentoshed::control
{

namespace
{

constexpr auto DeliverTimeout = std::chrono::seconds(2);

} // namespace

Peers::Peers(const PeerAddresses &addresses)
{
    learn(addresses);
}

void Peers::send(const consensus::Message &message)
{
    const auto client = find(message.to.host);
    if (!client) {
        return;
    }
    rpc::Envelope envelope;
    rpc::encode(message, envelope);
    client->deliver(envelope, DeliverTimeout);
}

std::shared_ptr<rpc::PeerClient> Peers::find(const core::HostId &host) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : found->second.client;
}

void Peers::learn(const PeerAddresses &addresses)
{
    const core::Lock lock(m_mutex);
    for (const auto &[host, address] : addresses) {
        auto &peer = m_peers[host];
        if (peer.address != address) {
            peer = {address, std::make_shared<rpc::PeerClient>(address)};
        }
    }
}

} // namespace pimentoshed::control
