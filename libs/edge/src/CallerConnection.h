#pragma once

#include "CallerRequest.h"
#include "http/MessageParser.h"
#include "net/TcpStream.h"

#include <functional>
#include <memory>
#include <tuple>

namespace sequoia::edge {

//! Connection from a caller; handles one request at a time and writes responses in order.
class CallerConnection final : private net::StreamObserver, private ResponseSink {
public:
    CallerConnection(EdgeContext& context, int descriptor, std::function<void(CallerConnection&)> closedCallback);
    ~CallerConnection() override;

    //! Closes the connection unless a request is running, arriving, or likely to be on its way.
    void closeIfIdle();
    void closeGracefully();
    void close();
    //! Accounts for the memory held, ends a body that makes no progress, and resumes reading if there is room, of which
    //! it takes its part.
    void checkProgress(std::size_t& room);
    //! Ends a connection that makes no progress while memory is short.
    void endForMemory();

    //! A connection that may be closed to make room for another, in the order of preference.
    struct Closable {
        enum class Stage { Finished, Idle, Head, Body } stage = Stage::Finished;
        TimePoint since {};

        bool operator<(const Closable& other) const
        {
            return std::tie(this->stage, this->since) < std::tie(other.stage, other.since);
        }
    };
    std::optional<Closable> closable() const;
    MemoryAccount::Owner owner() const;
    void expire()
    {
        if (this->request)
            this->request->expire();
    }
    void refuseUnlessPlaced()
    {
        if (this->request)
            this->request->refuseUnlessPlaced();
    }

private:
    void onInput() override;
    void onDrained() override;
    void onEnd(net::StreamEnd end) override;

    void forwardResponse(const http::MessageHead& head, std::string_view bytes, bool complete, bool first) override;
    void sendLocalResponse(unsigned status, Duration retryAfter, const std::string& reason) override;
    void abortResponse() override;
    std::size_t unsentBytes() const override { return this->stream.unsentBytes(); }
    void resumeBody() override;

    void parseInput();
    void startRequest();
    bool continueExpected(const http::MessageHead& head) const;
    void checkUnparsedInput();
    void updateReading();
    void accountMemory();
    void holdBackIfNeeded();
    bool isBodyArriving() const;
    bool refusesForMemory(const http::MessageHead& head) const;
    Duration memoryRetryAfter() const;
    fleet::CallerLimits limits() const;
    void rejectMalformed(const Error& error);
    void prepareNextRequest();
    void onResponseWritten();
    void startTimer(Duration limit, bool idle);
    void onTimer(bool idle);
    bool closesAfterResponse() const;
    static std::string responseHead(const http::MessageHead& head, const std::string& framing, bool close);

    EdgeContext& context;
    std::function<void(CallerConnection&)> closedCallback;
    net::TcpStream stream;
    std::unique_ptr<http::MessageParser> parser;
    std::unique_ptr<CallerRequest> request;
    std::string discarded; //!< body bytes received after the response was sent
    bool headStarted = false;
    bool requestComplete = false;
    bool responseComplete = false;
    bool chunkedResponse = false;
    bool closeAfterResponse = false;
    bool closing = false;
    bool parsing = false;
    std::size_t headBytes = 0; //!< of the present request, about
    bool heldBack = false; //!< not read from, because memory is short
    TimePoint stageSince; //!< start of the head, or last time that enough of the body had arrived
    std::uint64_t stageBytes = 0; //!< of the body at that time
    TimePoint sentSince; //!< when the caller last took bytes of a response
    std::uint64_t lastSent = 0;
    TimePoint idleSince; //!< when the connection was accepted or the last response was completed
    //! Deferred callbacks hold a weak reference, to detect that the connection was destroyed.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
    std::optional<net::Reactor::TimerId> timer;
};

}
