/**
 * @file
 * A control host's calls to another control host.
 */
#pragma once

#include "core/error.h"
#include "core/time.h"
#include "replication.pb.h"
#include "rpc/call.h"

#include <memory>
#include <string>

namespace pimentoshed::rpc
{

/** Thread-safe. Hooks run on gRPC's threads. Error of all calls: PeerUnreachable. */
class PeerClient
{
public:
    explicit PeerClient(const std::string &address);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /** Sends a message, which may be lost. Calls @p onTimeout if there was no response within @p timeout. */
    void deliver(const Envelope &envelope, core::Duration timeout, std::function<void()> onTimeout);
    void identify(core::Duration timeout, ReplyHook<IdentifyReply> hook);
    void confirm(core::Duration timeout, ReplyHook<ConfirmReply> hook);
    void join(const JoinRequest &request, core::Duration timeout, ReplyHook<JoinReply> hook);
    void submit(const SubmitRequest &request, core::Duration timeout, ReplyHook<SubmitReply> hook);
    /** Passes on a call of an entry host. */
    void lease(const LeaseRequest &request, core::Duration timeout, ReplyHook<LeaseReply> hook);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::rpc
