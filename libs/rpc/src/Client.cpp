#include "rpc/Client.h"

#include <condition_variable>
#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <unordered_set>

namespace sequoia::rpc {

namespace {

constexpr int maxReconnectBackoffMillis = 500;

Error toError(const grpc::Status& status)
{
    auto kind = ErrorKind::Unavailable;
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        kind = ErrorKind::DeadlineExceeded;
    else if (status.error_code() == grpc::StatusCode::UNIMPLEMENTED)
        kind = ErrorKind::InvalidArgument;
    return Error { kind, status.error_message(), "check that the process runs and that its address is right" };
}

}

class Client::Impl {
public:
    explicit Impl(const std::string& address)
    {
        grpc::ChannelArguments arguments;
        // The default backoff of up to two minutes would hide a restarted peer for longer than a recovery may last.
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMillis);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, maxReconnectBackoffMillis / 5);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, maxReconnectBackoffMillis / 5);
        // Proxies of the environment are for other hosts than ours.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        auto channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        this->witness = wire::Witness::NewStub(channel);
        this->routes = wire::Routes::NewStub(channel);
        this->diagnostics = wire::Diagnostics::NewStub(channel);
        this->operatorService = wire::Operator::NewStub(channel);
    }

    ~Impl()
    {
        std::unique_lock lock(this->mutex);
        for (auto* context : this->active)
            context->TryCancel();
        this->idle.wait(lock, [this] { return this->active.empty(); });
    }

    //! Starts one call; `invoke` passes context, request, reply and completion to the stub.
    template <typename Request, typename Reply, typename Invoke>
    void start(const Request& request, Duration timeout, Callback<Reply> callback, Invoke invoke)
    {
        auto call = std::make_shared<Call<Request, Reply>>();
        call->request = request;
        call->context->set_deadline(std::chrono::system_clock::now() + timeout);
        {
            std::lock_guard lock(this->mutex);
            this->active.insert(call->context.get());
        }
        invoke(call->context.get(), &call->request, &call->reply,
            [this, call, callback = std::move(callback)](const grpc::Status& status) {
                callback(status.ok() ? Result<Reply>(std::move(call->reply)) : Result<Reply>(toError(status)));
                std::lock_guard lock(this->mutex);
                this->active.erase(call->context.get());
                // The context holds the channel. The client's own reference has to be the last one, since a channel
                // that is destroyed on this thread of gRPC destroys the queue that the thread runs.
                call->context.reset();
                this->idle.notify_all();
            });
    }

    std::unique_ptr<wire::Witness::Stub> witness;
    std::unique_ptr<wire::Routes::Stub> routes;
    std::unique_ptr<wire::Diagnostics::Stub> diagnostics;
    std::unique_ptr<wire::Operator::Stub> operatorService;

private:
    template <typename Request, typename Reply> struct Call {
        std::unique_ptr<grpc::ClientContext> context = std::make_unique<grpc::ClientContext>();
        Request request;
        Reply reply;
    };

    std::mutex mutex;
    std::condition_variable idle;
    std::unordered_set<grpc::ClientContext*> active;
};

Client::Client(const std::string& address)
    : impl(std::make_unique<Impl>(address))
{
}

Client::~Client() = default;

void Client::promise(const wire::PromiseRequest& request, Duration timeout, Callback<wire::PromiseReply> callback)
{
    this->impl->start(request, timeout, std::move(callback), [this](auto* context, auto* in, auto* out, auto done) {
        this->impl->witness->async()->Promise(context, in, out, std::move(done));
    });
}

void Client::fetchRoutes(
    const wire::FetchRoutesRequest& request, Duration timeout, Callback<wire::FetchRoutesReply> callback)
{
    this->impl->start(request, timeout, std::move(callback), [this](auto* context, auto* in, auto* out, auto done) {
        this->impl->routes->async()->Fetch(context, in, out, std::move(done));
    });
}

void Client::status(const wire::StatusRequest& request, Duration timeout, Callback<wire::StatusReply> callback)
{
    this->impl->start(request, timeout, std::move(callback), [this](auto* context, auto* in, auto* out, auto done) {
        this->impl->diagnostics->async()->Status(context, in, out, std::move(done));
    });
}

void Client::fetchEvents(
    const wire::FetchEventsRequest& request, Duration timeout, Callback<wire::FetchEventsReply> callback)
{
    this->impl->start(request, timeout, std::move(callback), [this](auto* context, auto* in, auto* out, auto done) {
        this->impl->diagnostics->async()->FetchEvents(context, in, out, std::move(done));
    });
}

void Client::move(const wire::MoveRequest& request, Duration timeout, Callback<wire::OperatorReply> callback)
{
    this->impl->start(request, timeout, std::move(callback), [this](auto* context, auto* in, auto* out, auto done) {
        this->impl->operatorService->async()->Move(context, in, out, std::move(done));
    });
}

void Client::confirmGone(
    const wire::ConfirmGoneRequest& request, Duration timeout, Callback<wire::OperatorReply> callback)
{
    this->impl->start(request, timeout, std::move(callback), [this](auto* context, auto* in, auto* out, auto done) {
        this->impl->operatorService->async()->ConfirmGone(context, in, out, std::move(done));
    });
}

}
