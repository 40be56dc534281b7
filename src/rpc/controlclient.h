/**
 * @file
 * An entry host's calls to one control host, and those of another control host that it passes on.
 */
#pragma once

#include "core/error.h"
#include "core/time.h"
#include "pimentoshed.pb.h"
#include "rpc/call.h"

#include <memory>
#include <string>

namespace pimentoshed::rpc
{

/** Thread-safe. Hooks run on gRPC's threads. Error of all calls: PeerUnreachable. */
class ControlClient
{
public:
    explicit ControlClient(const std::string &address);
    ~ControlClient();
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;

    void follow(const FollowRequest &request, core::Duration timeout, ReplyHook<FollowReply> hook);
    void report(const ReportRequest &request, core::Duration timeout, ReplyHook<ReportReply> hook);
    void lease(const LeaseRequest &request, core::Duration timeout, ReplyHook<LeaseReply> hook);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::rpc
