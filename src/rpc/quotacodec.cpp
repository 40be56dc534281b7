#include "rpc/quotacodec.h"

#include <chrono>

namespace pimentoshed::rpc
{

LeaseRequest encode(const quotas::LeaseCall &call)
{
    LeaseRequest message;
    message.set_host(call.host.str());
    message.set_number(call.number);
    for (const auto &ask : call.asks) {
        auto &encoded = *message.add_asks();
        encoded.set_workspace(ask.workspace.str());
        encoded.set_waiting(ask.waiting);
        encoded.set_ahead(ask.ahead);
    }
    for (const auto &returned : call.returns) {
        auto &encoded = *message.add_returns();
        encoded.set_workspace(returned.workspace.str());
        encoded.set_call(returned.call);
        encoded.set_requests(returned.requests);
    }
    return message;
}

quotas::LeaseCall decode(const LeaseRequest &message)
{
    quotas::LeaseCall call{core::HostId(message.host()), message.number(), {}, {}};
    for (const auto &ask : message.asks()) {
        call.asks.push_back({core::WorkspaceName(ask.workspace()), ask.waiting(), ask.ahead()});
    }
    for (const auto &returned : message.returns()) {
        call.returns.push_back({core::WorkspaceName(returned.workspace()), returned.call(), returned.requests()});
    }
    return call;
}

LeaseReply encode(const quotas::LeaseAnswer &answer)
{
    LeaseReply message;
    message.set_answered(answer.has_value());
    if (!answer) {
        return message;
    }
    for (const auto &grant : *answer) {
        auto &encoded = *message.add_grants();
        encoded.set_workspace(grant.workspace.str());
        encoded.set_requests(grant.requests);
        encoded.set_lifetime_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(grant.lifetime).count()));
        encoded.set_retry_after_ms(
            static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(grant.retryAfter).count()));
    }
    return message;
}

quotas::LeaseAnswer decode(const LeaseReply &message)
{
    if (!message.answered()) {
        return std::nullopt;
    }
    std::vector<quotas::Grant> grants;
    for (const auto &grant : message.grants()) {
        grants.push_back({core::WorkspaceName(grant.workspace()),
                          grant.requests(),
                          std::chrono::milliseconds(grant.lifetime_ms()),
                          std::chrono::milliseconds(grant.retry_after_ms())});
    }
    return grants;
}

} // namespace pimentoshed::rpc
