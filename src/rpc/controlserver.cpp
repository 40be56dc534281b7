#include "rpc/controlserver.h"

#include "pimentoshed.grpc.pb.h"
#include "replication.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace pimentoshed::rpc
{

namespace
{

/** Returns a responder that copies its argument to @p reply and ends the call of @p reactor. */
template<typename Reply>
Responder<Reply> makeResponder(grpc::ServerUnaryReactor *reactor, Reply *reply)
{
    return [reactor, reply](const Reply &answer) {
        *reply = answer;
        reactor->Finish(grpc::Status::OK);
    };
}

class ControlService : public Control::CallbackService
{
public:
    explicit ControlService(const ControlHooks &hooks)
        : m_hooks(hooks)
    {
    }

    grpc::ServerUnaryReactor *Follow(grpc::CallbackServerContext *context,
                                     const FollowRequest *request,
                                     FollowReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.follow(*request, makeResponder(reactor, reply));
        return reactor;
    }

    grpc::ServerUnaryReactor *Report(grpc::CallbackServerContext *context,
                                     const ReportRequest *request,
                                     ReportReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.report(*request, makeResponder(reactor, reply));
        return reactor;
    }

    grpc::ServerUnaryReactor *Lease(grpc::CallbackServerContext *context,
                                    const LeaseRequest *request,
                                    LeaseReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.lease(*request, makeResponder(reactor, reply));
        return reactor;
    }

private:
    const ControlHooks &m_hooks;
};

class ReplicationService : public Replication::CallbackService
{
public:
    explicit ReplicationService(const ControlHooks &hooks)
        : m_hooks(hooks)
    {
    }

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context,
                                      const Envelope *request,
                                      DeliverReply *) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.deliver(*request);
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *Identify(grpc::CallbackServerContext *context,
                                       const IdentifyRequest *,
                                       IdentifyReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        *reply->mutable_member() = m_hooks.identify();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *Confirm(grpc::CallbackServerContext *context,
                                      const ConfirmRequest *,
                                      ConfirmReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.confirm(makeResponder(reactor, reply));
        return reactor;
    }

    grpc::ServerUnaryReactor *Submit(grpc::CallbackServerContext *context,
                                     const SubmitRequest *request,
                                     SubmitReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.submit(*request, makeResponder(reactor, reply));
        return reactor;
    }

    grpc::ServerUnaryReactor *Join(grpc::CallbackServerContext *context,
                                   const JoinRequest *request,
                                   JoinReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        *reply = m_hooks.join(*request);
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    const ControlHooks &m_hooks;
};

/** A snapshot is sent as one message. */
constexpr int MaxMessageBytes = 64 << 20;

} // namespace

class ControlServer::Impl
{
public:
    explicit Impl(ControlHooks hooks)
        : m_hooks(std::move(hooks))
        , m_control(m_hooks)
        , m_replication(m_hooks)
    {
    }

    bool listen(const std::string &address)
    {
        grpc::ServerBuilder builder;
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &m_port);
        builder.SetMaxReceiveMessageSize(MaxMessageBytes);
        builder.RegisterService(&m_control);
        builder.RegisterService(&m_replication);
        m_server = builder.BuildAndStart();
        return m_server != nullptr && m_port != 0;
    }

    void stop()
    {
        if (m_server) {
            m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
            m_server.reset();
        }
    }

    int port() const
    {
        return m_port;
    }

private:
    const ControlHooks m_hooks;
    ControlService m_control;
    ReplicationService m_replication;
    std::unique_ptr<grpc::Server> m_server;
    int m_port = 0;
};

ControlServer::ControlServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ControlServer::~ControlServer()
{
    stop();
}

core::Result<std::unique_ptr<ControlServer>> ControlServer::start(const std::string &address, ControlHooks hooks)
{
    auto impl = std::make_unique<Impl>(std::move(hooks));
    if (!impl->listen(address)) {
        return core::Error{core::ErrorCode::ListenFailed, address};
    }
    return std::unique_ptr<ControlServer>(new ControlServer(std::move(impl)));
}

int ControlServer::port() const
{
    return m_impl->port();
}

void ControlServer::stop()
{
    m_impl->stop();
}

} // namespace pimentoshed::rpc
