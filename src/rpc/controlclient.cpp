#include "rpc/controlclient.h"

#include "pimentoshed.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace pimentoshed::rpc
{

namespace
{

/** What one call needs until its hook has run. */
template<typename Request, typename Reply>
struct Call {
    grpc::ClientContext context;
    Request request;
    Reply reply;
    ReplyHook<Reply> hook;

    void finish(const grpc::Status &status)
    {
        if (status.ok()) {
            hook(std::move(reply));
        } else {
            hook(core::Error{core::ErrorCode::PeerUnreachable, status.error_message()});
        }
    }
};

template<typename Request, typename Reply>
std::shared_ptr<Call<Request, Reply>> makeCall(const Request &request, core::Duration timeout, ReplyHook<Reply> hook)
{
    auto call = std::make_shared<Call<Request, Reply>>();
    call->request = request;
    call->hook = std::move(hook);
    call->context.set_deadline(std::chrono::system_clock::now()
                               + std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout));
    return call;
}

} // namespace

class ControlClient::Impl
{
public:
    explicit Impl(const std::string &address)
        : m_channel(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments()))
        , m_stub(Control::NewStub(m_channel))
    {
    }

    Control::Stub &stub()
    {
        return *m_stub;
    }

private:
    static grpc::ChannelArguments channelArguments()
    {
        constexpr int ReconnectMillis = 200;
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectMillis);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectMillis);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMillis);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        return arguments;
    }

    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<Control::Stub> m_stub;
};

ControlClient::ControlClient(const std::string &address)
    : m_impl(std::make_shared<Impl>(address))
{
}

ControlClient::~ControlClient() = default;

void ControlClient::follow(const FollowRequest &request, core::Duration timeout, ReplyHook<FollowReply> hook)
{
    auto call = makeCall<FollowRequest, FollowReply>(request, timeout, std::move(hook));
    m_impl->stub().async()->Follow(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

void ControlClient::report(const ReportRequest &request, core::Duration timeout, ReplyHook<ReportReply> hook)
{
    auto call = makeCall<ReportRequest, ReportReply>(request, timeout, std::move(hook));
    m_impl->stub().async()->Report(
        &call->context, &call->request, &call->reply, [call, impl = m_impl](const grpc::Status &status) {
            call->finish(status);
        });
}

} // namespace pimentoshed::rpc
