#pragma once

#include "Connection.h"

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace sequoia::test {

//! A backend server that follows a script: the n-th connection runs the n-th step, each in a thread of its own.
//! Connections beyond the script are closed at once.
class FakeServer {
public:
    using Step = std::function<void(Connection&)>;

    explicit FakeServer(std::vector<Step> script);
    //! Waits for the steps.
    ~FakeServer();

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }
    //! Connections accepted so far.
    std::size_t connections() const;
    //! Why steps ended with an exception.
    std::vector<std::string> faults() const;

private:
    void accept();
    void run(const Step& step, Connection connection);

    std::vector<Step> script;
    int listener;
    int port = 0;
    mutable std::mutex mutex;
    std::size_t accepted = 0;
    std::vector<std::string> stepFaults;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

//! A port that is bound and refuses connections. A port that is merely unused could be taken by another program, or by
//! the connecting socket itself, which then connects to itself.
class RefusingPort {
public:
    RefusingPort();
    ~RefusingPort();
    RefusingPort(const RefusingPort&) = delete;
    RefusingPort& operator=(const RefusingPort&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    int descriptor;
    int port = 0;
};

//! The value of a header in a header block; empty when absent.
std::string headerIn(const std::string& head, const std::string& name);

//! A response with the request's id and a body of known length.
std::string answerTo(const std::string& requestHead, const std::string& body, const std::string& status = "200 OK",
    const std::string& moreHeaders = "");

//! A step that answers one request and keeps the connection open until the peer closes it.
FakeServer::Step answering(
    const std::string& body, const std::string& status = "200 OK", const std::string& moreHeaders = "");

}
