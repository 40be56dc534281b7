#include "control/countrelay.h"

#include "rpc/codec.h"

#include <utility>

namespace pimentoshed::control
{

namespace
{

/** The next counts come 50 ms later and contain these. */
constexpr auto Timeout = std::chrono::milliseconds(500);

} // namespace

CountRelay::CountRelay(const PeerClients &peers, std::function<std::optional<core::HostId>()> leader)
    : m_peers(peers)
    , m_leader(std::move(leader))
{
}

void CountRelay::send(const std::vector<rollouts::HostCounts> &counts)
{
    const auto leader = m_leader();
    const auto address = leader ? m_peers.addressOf(*leader) : std::string();
    if (address.empty()) {
        return;
    }
    rpc::ReportRequest request;
    request.set_relayed(true);
    for (const auto &each : counts) {
        rpc::encode(each, *request.add_version_counts());
    }
    clientFor(address)->report(request, Timeout, [](const core::Result<rpc::ReportReply> &) {});
}

std::shared_ptr<rpc::ControlClient> CountRelay::clientFor(const std::string &address)
{
    const core::Lock lock(m_mutex);
    if (m_address != address) {
        m_address = address;
        m_client = std::make_shared<rpc::ControlClient>(address);
    }
    return m_client;
}

} // namespace pimentoshed::control
