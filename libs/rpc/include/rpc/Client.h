#pragma once

#include "core/Clock.h"
#include "core/Error.h"

#include <control.pb.h>
#include <functional>
#include <memory>
#include <string>

namespace sequoia::rpc {

//! Called once, on a thread of gRPC: post to the owning task from it.
template <typename Reply> using Callback = std::function<void(Result<Reply>)>;

//! Client of the gRPC services of one process. Thread safe; reconnects by itself.
class Client {
public:
    explicit Client(const std::string& address);
    //! Cancels the calls in progress and waits for their callbacks.
    ~Client();

    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void promise(const wire::PromiseRequest& request, Duration timeout, Callback<wire::PromiseReply> callback);
    void fetchRoutes(
        const wire::FetchRoutesRequest& request, Duration timeout, Callback<wire::FetchRoutesReply> callback);
    void status(const wire::StatusRequest& request, Duration timeout, Callback<wire::StatusReply> callback);
    void fetchEvents(
        const wire::FetchEventsRequest& request, Duration timeout, Callback<wire::FetchEventsReply> callback);
    void move(const wire::MoveRequest& request, Duration timeout, Callback<wire::OperatorReply> callback);
    void confirmGone(const wire::ConfirmGoneRequest& request, Duration timeout, Callback<wire::OperatorReply> callback);

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

}
