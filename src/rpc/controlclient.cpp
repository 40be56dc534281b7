#include "rpc/controlclient.h"

#include "pimentoshed.grpc.pb.h"

#include <utility>

namespace pimentoshed::rpc
{

class ControlClient::Impl
{
public:
    explicit Impl(const std::string &address)
        : m_stub(Control::NewStub(makeChannel(address)))
    {
    }

    Control::Stub &stub()
    {
        return *m_stub;
    }

private:
    std::unique_ptr<Control::Stub> m_stub;
};

ControlClient::ControlClient(const std::string &address)
    : m_impl(std::make_shared<Impl>(address))
{
}

ControlClient::~ControlClient() = default;

void ControlClient::follow(const FollowRequest &request, core::Duration timeout, ReplyHook<FollowReply> hook)
{
    auto call = detail::makeCall<FollowRequest, FollowReply>(request, timeout, std::move(hook));
    m_impl->stub().async()->Follow(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

void ControlClient::report(const ReportRequest &request, core::Duration timeout, ReplyHook<ReportReply> hook)
{
    auto call = detail::makeCall<ReportRequest, ReportReply>(request, timeout, std::move(hook));
    m_impl->stub().async()->Report(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

void ControlClient::lease(const LeaseRequest &request, core::Duration timeout, ReplyHook<LeaseReply> hook)
{
    auto call = detail::makeCall<LeaseRequest, LeaseReply>(request, timeout, std::move(hook));
    m_impl->stub().async()->Lease(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

} // namespace pimentoshed::rpc
