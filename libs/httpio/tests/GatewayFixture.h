#pragma once

#include "FakeServer.h"
#include "httpio/Gateway.h"

#include <future>
#include <mutex>

namespace sequoia::httpio::test {

using namespace sequoia::test;

//! A gateway on a task of its own, with one backend server that owns every key of the service "booking".
class GatewayFixture final : public GatewayObserver {
public:
    struct Setup {
        double retryBudget = 0.5;
        unsigned connections = 4;
        bool checksOrders = true;
        Duration routeValidity = std::chrono::seconds(600);
        std::uint64_t maxBody = 64ULL << 20;
    };

    explicit GatewayFixture(const std::string& serverAddress)
        : GatewayFixture(serverAddress, Setup())
    {
    }
    GatewayFixture(const std::string& serverAddress, const Setup& setup);
    ~GatewayFixture() override;

    int port() const { return this->listeningPort; }
    Connection connect() const { return Connection::connect(this->port()); }
    //! Sends raw bytes on a new connection and reads until the gateway closes it.
    std::string exchange(const std::string& request) const;

    std::size_t peakBodyBytes();
    std::size_t requestsInProgress();
    //! Starts a stop; the future is ready when the gateway is drained.
    std::future<void> stop();

    std::vector<Report> reports() const;
    std::size_t routesDoubted() const;

    void onRequestFinished(const Report& report) override;
    void onRoutesDoubted(const std::string& service) override;
    std::string metricsText() override { return "sequoia_test 1\n"; }

private:
    SystemClock clock;
    runtime::Task task { "gateway" };
    std::unique_ptr<Gateway> gateway;
    int listeningPort = 0;
    mutable std::mutex mutex;
    std::vector<Report> finished;
    std::size_t doubted = 0;
};

//! A request to the gateway that asks it to close the connection afterwards.
std::string requestText(const std::string& method, const std::string& moreHeaders = "", const std::string& body = "");

}
