/**
 * @file
 * The gRPC server of a control host, which passes the calls of other hosts to hooks.
 */
#pragma once

#include "core/error.h"
#include "pimentoshed.pb.h"
#include "replication.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace pimentoshed::rpc
{

/** Sends the reply and ends the call. Must be called exactly once, from any thread. */
template<typename Reply>
using Responder = std::function<void(const Reply &)>;

/** How a control host handles each call. Hooks run on gRPC's threads and must not block. */
struct ControlHooks {
    std::function<void(const FollowRequest &, Responder<FollowReply>)> follow;
    std::function<void(const ReportRequest &, Responder<ReportReply>)> report;
    std::function<void(const LeaseRequest &, Responder<LeaseReply>)> lease;
    std::function<void(const Envelope &)> deliver;
    std::function<MemberId()> identify;
    std::function<void(Responder<ConfirmReply>)> confirm;
    std::function<void(const SubmitRequest &, Responder<SubmitReply>)> submit;
    std::function<JoinReply(const JoinRequest &)> join;
};

/** Serves until stop() or destruction. */
class ControlServer
{
public:
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /** Binds @p address and starts. Error: ListenFailed. */
    static core::Result<std::unique_ptr<ControlServer>> start(const std::string &address, ControlHooks hooks);

    /** The bound port. */
    int port() const;

    /** Refuses new calls, and cancels those that are still pending after 1 s. */
    void stop();

private:
    class Impl;
    explicit ControlServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace pimentoshed::rpc
