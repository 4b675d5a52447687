#include "rpc/Server.h"

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace sequoia::rpc {

namespace {

constexpr std::chrono::milliseconds shutdownGrace { 200 };

template <typename Request, typename Reply>
grpc::ServerUnaryReactor* dispatch(
    const Handler<Request, Reply>& handler, grpc::CallbackServerContext* context, const Request* request, Reply* reply)
{
    auto* reactor = context->DefaultReactor();
    if (!handler) {
        reactor->Finish(grpc::Status(grpc::StatusCode::UNIMPLEMENTED, "this process does not serve the call"));
        return reactor;
    }
    handler(*request, [reactor, reply](const Reply& value) {
        *reply = value;
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

class WitnessService final : public wire::Witness::CallbackService {
public:
    explicit WitnessService(const Handlers& source)
        : handlers(source)
    {
    }
    grpc::ServerUnaryReactor* Promise(grpc::CallbackServerContext* context,
        const wire::PromiseRequest* request, // NOLINT
        wire::PromiseReply* reply) override
    {
        return dispatch(this->handlers.promise, context, request, reply);
    }

private:
    const Handlers& handlers;
};

class RoutesService final : public wire::Routes::CallbackService {
public:
    explicit RoutesService(const Handlers& source)
        : handlers(source)
    {
    }
    grpc::ServerUnaryReactor* Fetch(grpc::CallbackServerContext* context,
        const wire::FetchRoutesRequest* request, // NOLINT
        wire::FetchRoutesReply* reply) override
    {
        return dispatch(this->handlers.fetchRoutes, context, request, reply);
    }

private:
    const Handlers& handlers;
};

class DiagnosticsService final : public wire::Diagnostics::CallbackService {
public:
    explicit DiagnosticsService(const Handlers& source)
        : handlers(source)
    {
    }
    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* context, const wire::StatusRequest* request, // NOLINT
        wire::StatusReply* reply) override
    {
        return dispatch(this->handlers.status, context, request, reply);
    }
    grpc::ServerUnaryReactor* FetchEvents(grpc::CallbackServerContext* context, // NOLINT
        const wire::FetchEventsRequest* request, wire::FetchEventsReply* reply) override
    {
        return dispatch(this->handlers.fetchEvents, context, request, reply);
    }

private:
    const Handlers& handlers;
};

class OperatorService final : public wire::Operator::CallbackService {
public:
    explicit OperatorService(const Handlers& source)
        : handlers(source)
    {
    }
    grpc::ServerUnaryReactor* Move(grpc::CallbackServerContext* context, const wire::MoveRequest* request, // NOLINT
        wire::OperatorReply* reply) override
    {
        return dispatch(this->handlers.move, context, request, reply);
    }
    grpc::ServerUnaryReactor* ConfirmGone(grpc::CallbackServerContext* context, // NOLINT
        const wire::ConfirmGoneRequest* request, wire::OperatorReply* reply) override
    {
        return dispatch(this->handlers.confirmGone, context, request, reply);
    }

private:
    const Handlers& handlers;
};

}

class Server::Impl {
public:
    explicit Impl(Handlers source)
        : handlers(std::move(source))
        , witness(this->handlers)
        , routes(this->handlers)
        , diagnostics(this->handlers)
        , operatorService(this->handlers)
    {
    }

    ~Impl()
    {
        if (this->server)
            this->server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
    }

    bool listen(const std::string& address)
    {
        grpc::ServerBuilder builder;
        // A second process on the same port would take half of the calls unseen.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &this->boundPort);
        builder.RegisterService(&this->witness);
        builder.RegisterService(&this->routes);
        builder.RegisterService(&this->diagnostics);
        builder.RegisterService(&this->operatorService);
        this->server = builder.BuildAndStart();
        return this->server && this->boundPort != 0;
    }

    int boundPort = 0;

private:
    Handlers handlers;
    WitnessService witness;
    RoutesService routes;
    DiagnosticsService diagnostics;
    OperatorService operatorService;
    std::unique_ptr<grpc::Server> server;
};

Server::Server(std::unique_ptr<Impl> started)
    : impl(std::move(started))
{
}

Server::~Server() = default;

Result<std::unique_ptr<Server>> Server::start(const std::string& address, Handlers handlers)
{
    auto impl = std::make_unique<Impl>(std::move(handlers));
    if (!impl->listen(address))
        return Error { ErrorKind::Unavailable, "cannot listen on " + address,
            "choose an address of this host and a port that no other process uses" };
    return std::unique_ptr<Server>(new Server(std::move(impl)));
}

int Server::port() const
{
    return this->impl->boundPort;
}

}
