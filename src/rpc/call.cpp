#include "rpc/call.h"

#include "pimentoshed.grpc.pb.h"

#include <atomic>
#include <mutex>

namespace pimentoshed::rpc
{

namespace
{

constexpr int ReconnectMillis = 200;
/** A snapshot travels in one message. */
constexpr int MessageBytes = 64 << 20;

} // namespace

namespace
{

std::shared_ptr<grpc::Channel> makeOwnChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectMillis);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectMillis);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMillis);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // A new channel to the same address must not take over a connection that has gone silent: connections are shared
    // between channels of the same arguments only.
    static std::atomic<int> channels{0};
    arguments.SetInt("pimentoshed.channel", channels++);
    arguments.SetMaxReceiveMessageSize(MessageBytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

/**
 * Has a channel hold the queue of all callbacks for as long as the process lives. Where the last one that does is given
 * up for a new one, gRPC 1.51 frees the queue twice now and then and aborts.
 */
void holdCallbackQueue()
{
    static std::once_flag once;
    std::call_once(once, []() {
        struct Holder {
            std::shared_ptr<grpc::Channel> channel = makeOwnChannel("127.0.0.1:1");
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
    holdCallbackQueue();
    return makeOwnChannel(address);
}

} // namespace pimentoshed::rpc
