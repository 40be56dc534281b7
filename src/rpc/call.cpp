#include "rpc/call.h"

#include "pimentoshed.grpc.pb.h"

#include <atomic>
#include <mutex>

namespace pimentoshed::rpc
{

namespace
{

constexpr int ReconnectBackoffMillis = 200;
/** A snapshot is sent as one message. */
constexpr int MaxMessageBytes = 64 << 20;

} // namespace

namespace
{

std::shared_ptr<grpc::Channel> makeUnsharedChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectBackoffMillis);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectBackoffMillis);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectBackoffMillis);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // A new channel to the same address must not reuse a connection that no longer responds. gRPC shares connections
    // only between channels with equal arguments, so each channel gets a different one.
    static std::atomic<int> channels{0};
    arguments.SetInt("pimentoshed.channel", channels++);
    arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

/**
 * Keeps gRPC's common callback queue in use for the lifetime of the process. When the last channel that uses the queue
 * is replaced by a new one, gRPC 1.51 sometimes frees the queue twice and aborts.
 */
void keepCallbackQueue()
{
    static std::once_flag once;
    std::call_once(once, []() {
        struct Holder {
            std::shared_ptr<grpc::Channel> channel = makeUnsharedChannel("127.0.0.1:1");
            std::unique_ptr<Control::Stub> stub = Control::NewStub(channel);
        };
        static Holder *const holder = new Holder;
        auto call = detail::makeCall<FollowRequest, FollowReply>({}, core::Duration{}, [](const auto &) {});
        holder->stub->async()->Follow(&call->context, &call->request, &call->reply, [call](const grpc::Status &) {});
    });
}

} // namespace

std::shared_ptr<grpc::Channel> makeChannel(const std::string &address)
{
    keepCallbackQueue();
    return makeUnsharedChannel(address);
}

} // namespace pimentoshed::rpc
