#include "rpc/call.h"

namespace pimentoshed::rpc
{

namespace
{

constexpr int ReconnectMillis = 200;
/** A snapshot travels in one message. */
constexpr int MessageBytes = 64 << 20;

} // namespace

std::shared_ptr<grpc::Channel> makeChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectMillis);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectMillis);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMillis);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // A new channel to the same address must not take over a connection that has gone silent.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(MessageBytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace pimentoshed::rpc
