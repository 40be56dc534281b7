/**
 * @file
 * Unary gRPC calls to other hosts, each of which passes its result to a hook.
 */
#pragma once

#include "core/error.h"
#include "core/time.h"

#include <chrono>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>
#include <utility>

namespace pimentoshed::rpc
{

/** Called once for each call, with the reply or with the error PeerUnreachable. */
template<typename Reply>
using ReplyHook = std::function<void(core::Result<Reply>)>;

namespace detail
{

/** The data of one call, which must live until its hook has run. */
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

} // namespace detail

/** Creates a channel to the host at @p address that reconnects soon after the host was unreachable. */
std::shared_ptr<grpc::Channel> makeChannel(const std::string &address);

} // namespace pimentoshed::rpc
