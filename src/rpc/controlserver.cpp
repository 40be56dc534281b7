#include "rpc/controlserver.h"

#include "pimentoshed.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace pimentoshed::rpc
{

namespace
{

class Service : public Control::CallbackService
{
public:
    explicit Service(ControlHooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    grpc::ServerUnaryReactor *Follow(grpc::CallbackServerContext *context,
                                     const FollowRequest *request,
                                     FollowReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.follow(*request, [reactor, reply](const FollowReply &answer) {
            *reply = answer;
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Report(grpc::CallbackServerContext *context,
                                     const ReportRequest *request,
                                     ReportReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_hooks.report(*request, [reactor, reply](const ReportReply &answer) {
            *reply = answer;
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

private:
    const ControlHooks m_hooks;
};

} // namespace

class ControlServer::Impl
{
public:
    explicit Impl(ControlHooks hooks)
        : m_service(std::move(hooks))
    {
    }

    bool listen(const std::string &address)
    {
        grpc::ServerBuilder builder;
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(&m_service);
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
    Service m_service;
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
