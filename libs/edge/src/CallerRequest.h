#pragma once

#include "RequestBody.h"
#include "client/ClientConnection.h"
#include "edge/EdgeServer.h"

namespace sequoia::edge {

//! Receives the response to a caller's request.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    //! Forwards a part of a backend server's response; `first` marks the part that starts it.
    virtual void forwardResponse(const http::MessageHead& head, std::string_view bytes, bool complete, bool first) = 0;
    //! Sends a response that this host generated.
    virtual void sendLocalResponse(unsigned status, Duration retryAfter, const std::string& reason) = 0;
    //! Aborts a response that has been started.
    virtual void abortResponse() = 0;
    virtual std::size_t unsentBytes() const = 0;
    //! Resumes reading the request body.
    virtual void resumeBody() = 0;
};

//! One request of a caller, from its head to its response.
class CallerRequest final : private PlacementObserver, private client::RequestObserver {
public:
    CallerRequest(EdgeContext& context, ResponseSink& sink, const http::MessageHead& head);
    ~CallerRequest() override;

    //! Matches the request to a route, or responds with an error.
    void start();
    RequestBody& body() { return this->requestBody; }
    //! Handles new bytes of the request body.
    void onBody(bool complete);
    //! Whether reading the request body should pause (back-pressure).
    bool shouldPauseBody() const;
    void onSinkDrained();
    //! Cancels the request after the caller has disconnected.
    void abandon();
    //! Refuses the request unless it is placed on a backend server; used while the host drains.
    void refuseUnlessPlaced();
    //! Ends the request as at its deadline; used when the process exits.
    void expire();
    //! Refuses the request if nothing of it was sent to a backend server; returns whether it is finished now.
    bool refuseUnsent(unsigned status, Duration retryAfter, const std::string& reason);
    void addMemory(HeldMemory& held) const;
    bool isFinished() const { return this->finished; }

private:
    struct TimeLimits {
        TimePoint target;
        TimePoint deadline;
    };

    void onPlaced(std::uint64_t job, const PlacementTarget& target) override;
    void onRefused(std::uint64_t job, const PlacementRefusal& refusal) override;
    void onSending() override { this->sent = true; }
    client::ResponseMatch matchResponse(const http::MessageHead& head) override;
    bool isNotExecuted(const http::MessageHead& response) const;
    void onResponse(const http::MessageHead& head, std::string_view bytes, bool complete) override;
    void onFailure(client::RequestFailure failure, const std::string& reason) override;
    void onDrained() override;

    bool checkHead();
    bool matchRoute();
    TimeLimits computeTimeLimits(const fleet::Route& route) const;
    void submit();
    std::string requestHead(const std::string& serverId) const;
    void sendBufferedBody();
    std::size_t responseBufferLimit() const;
    void reportNotice(const http::MessageHead& response);
    void withdrawJob();
    void endWithResponse(const http::MessageHead& response);
    void endAttempt(balance::JobResult result);
    bool mayRetry() const;
    void retryOrRespond(unsigned status, const std::string& reason);
    void respondLocally(unsigned status, Duration retryAfter, const std::string& reason);
    void onDeadline();
    void finish(RequestOutcome outcome);
    void logPlacement() const;
    void logOutcome(const std::string& outcome, unsigned status, const std::string& reason);

    EdgeContext& context;
    ResponseSink& sink;
    http::MessageHead head;
    std::string requestId;
    RequestBody requestBody;
    bool bodyComplete = false;
    TimePoint arrivalTime;

    std::shared_ptr<const fleet::Configuration> configuration; //!< keeps the route alive
    const fleet::Route* route = nullptr;
    std::string service;
    std::optional<fleet::Key> key;
    TimeLimits limits {};
    std::uint64_t fingerprint = 0;

    std::uint64_t job = 0; //!< 0 if no job is waiting or placed
    bool placed = false;
    std::uint32_t attempts = 0; //!< attempts that reached a server
    bool mayHaveRun = false;
    std::vector<std::string> tried;
    std::string server; //!< server of the last attempt
    std::string peer; //!< the server and its address, as named in the pool
    std::string decidedBy; //!< coordinator term or host that decided last, for the log
    client::ClientConnection* connection = nullptr;
    bool sent = false;
    bool attemptActive = false; //!< counted in EdgeContext::activeAttempts
    TimePoint attemptStart {};
    std::optional<balance::ServerReport> serverLoad; //!< stated by the server of the current attempt
    std::uint64_t bodySent = 0;
    bool bodyFinished = false;
    bool forwarding = false; //!< part of the response has been forwarded
    bool finished = false;
    std::optional<net::Reactor::TimerId> timer;
};

}
