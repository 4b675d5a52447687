#pragma once

#include "core/Error.h"

#include <control.pb.h>
#include <functional>
#include <memory>
#include <string>

namespace sequoia::rpc {

//! Gets a request on a thread of gRPC and calls `reply` once, now or later, on any thread.
template <typename Request, typename Reply>
using Handler = std::function<void(const Request& request, std::function<void(const Reply&)> reply)>;

//! A call without a handler is answered with UNIMPLEMENTED.
struct Handlers {
    Handler<wire::PromiseRequest, wire::PromiseReply> promise;
    Handler<wire::FetchRoutesRequest, wire::FetchRoutesReply> fetchRoutes;
    Handler<wire::StatusRequest, wire::StatusReply> status;
    Handler<wire::FetchEventsRequest, wire::FetchEventsReply> fetchEvents;
    Handler<wire::MoveRequest, wire::OperatorReply> move;
    Handler<wire::ConfirmGoneRequest, wire::OperatorReply> confirmGone;
};

//! gRPC server of one process.
class Server {
public:
    //! Listens on IP:port; port 0 picks a free one.
    static Result<std::unique_ptr<Server>> start(const std::string& address, Handlers handlers);
    //! Refuses new calls and ends those in progress after a short grace period. Handlers must still reply.
    ~Server();

    int port() const;

private:
    class Impl;
    explicit Server(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

}
