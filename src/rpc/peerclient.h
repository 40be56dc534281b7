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

/** Thread-safe. Hooks run on gRPC's threads; error: PeerUnreachable. */
class PeerClient
{
public:
    explicit PeerClient(const std::string &address);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /** Sends a message that may be lost; @p unanswered is called where nothing came back in time. */
    void deliver(const Envelope &envelope, core::Duration timeout, std::function<void()> unanswered);
    void identify(core::Duration timeout, ReplyHook<IdentifyReply> hook);
    void confirm(core::Duration timeout, ReplyHook<ConfirmReply> hook);
    void join(const JoinRequest &request, core::Duration timeout, ReplyHook<JoinReply> hook);
    void submit(const SubmitRequest &request, core::Duration timeout, ReplyHook<SubmitReply> hook);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::rpc
