#include "rpc/peerclient.h"

#include "pimentoshed.grpc.pb.h"
#include "replication.grpc.pb.h"

#include <utility>

namespace pimentoshed::rpc
{

class PeerClient::Impl
{
public:
    explicit Impl(const std::string &address)
        : m_channel(makeChannel(address))
        , m_stub(Replication::NewStub(m_channel))
        , m_controlStub(Control::NewStub(m_channel))
    {
    }

    Replication::Stub &stub()
    {
        return *m_stub;
    }

    Control::Stub &controlStub()
    {
        return *m_controlStub;
    }

private:
    const std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<Replication::Stub> m_stub;
    std::unique_ptr<Control::Stub> m_controlStub;
};

PeerClient::PeerClient(const std::string &address)
    : m_impl(std::make_shared<Impl>(address))
{
}

PeerClient::~PeerClient() = default;

void PeerClient::deliver(const Envelope &envelope, core::Duration timeout, std::function<void()> onTimeout)
{
    auto call = detail::makeCall<Envelope, DeliverReply>(envelope, timeout, [](const auto &) {});
    m_impl->stub().async()->Deliver(
        &call->context,
        &call->request,
        &call->reply,
        [call, impl = m_impl, onTimeout = std::move(onTimeout)](const grpc::Status &status) {
            if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
                onTimeout();
            }
        });
}

void PeerClient::join(const JoinRequest &request, core::Duration timeout, ReplyHook<JoinReply> hook)
{
    auto call = detail::makeCall<JoinRequest, JoinReply>(request, timeout, std::move(hook));
    m_impl->stub().async()->Join(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

void PeerClient::identify(core::Duration timeout, ReplyHook<IdentifyReply> hook)
{
    auto call = detail::makeCall<IdentifyRequest, IdentifyReply>({}, timeout, std::move(hook));
    m_impl->stub().async()->Identify(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

void PeerClient::confirm(core::Duration timeout, ReplyHook<ConfirmReply> hook)
{
    auto call = detail::makeCall<ConfirmRequest, ConfirmReply>({}, timeout, std::move(hook));
    m_impl->stub().async()->Confirm(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

void PeerClient::submit(const SubmitRequest &request, core::Duration timeout, ReplyHook<SubmitReply> hook)
{
    auto call = detail::makeCall<SubmitRequest, SubmitReply>(request, timeout, std::move(hook));
    m_impl->stub().async()->Submit(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

void PeerClient::lease(const LeaseRequest &request, core::Duration timeout, ReplyHook<LeaseReply> hook)
{
    auto call = detail::makeCall<LeaseRequest, LeaseReply>(request, timeout, std::move(hook));
    m_impl->controlStub().async()->Lease(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

} // namespace pimentoshed::rpc
