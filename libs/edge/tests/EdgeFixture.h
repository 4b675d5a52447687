#pragma once

#include "Connection.h"
#include "FakeServer.h"
#include "edge/EdgeServer.h"
#include "runtime/Task.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace sequoia::edge::test {

//! Places jobs on scripted servers, in order, and records jobs, ends and withdrawals.
class ScriptedPlacer final : public Placer {
public:
    struct End {
        std::string server;
        balance::JobResult result;
        std::optional<balance::ServerReport> load;
    };

    struct Notice {
        std::string server;
        balance::ServerNotice notice;
    };

    explicit ScriptedPlacer(std::vector<PlacementTarget> targets);

    void submit(const balance::Job& job, PlacementObserver& observer) override;
    void withdraw(std::uint64_t job) override;
    void reportEnd(std::uint64_t job, balance::JobResult result, Duration elapsed,
        const std::optional<balance::ServerReport>& load) override;
    bool reportNotice(std::uint64_t job, const balance::ServerNotice& notice) override;

    //! Waits until `count` jobs have ended.
    std::vector<End> waitForEnds(std::size_t count);
    std::vector<balance::Job> submitted() const;
    std::vector<Notice> notices() const;
    std::size_t withdrawn() const;

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<PlacementTarget> targets; //!< refuses jobs once empty; an empty server id leaves the job waiting
    std::map<std::uint64_t, std::string> placed;
    std::vector<End> ends;
    std::vector<Notice> reportedNotices;
    std::vector<balance::Job> jobs;
    std::size_t withdrawals = 0;
};

//! An edge server on its own task, with one route for each kind of request: /safe/, /unsafe/, /upload/, /keyed/.
class EdgeFixture {
public:
    explicit EdgeFixture(std::vector<PlacementTarget> targets, Duration timeout = std::chrono::seconds(5),
        bool withConfiguration = true);
    //! All jobs go to servers at these addresses, in order.
    static std::vector<PlacementTarget> targetsAt(const std::vector<std::string>& addresses);
    ~EdgeFixture();

    sequoia::test::Connection connect() const { return sequoia::test::Connection::connect(this->port); }
    //! Sends raw bytes on a new connection and reads one response.
    std::string sendRequest(const std::string& request) const;
    //! Sets the configuration.
    void configure();
    void run(const std::function<void(EdgeServer&)>& message);
    //! Number of events of this kind so far.
    std::size_t eventCount(const std::string& kind) const;

    ScriptedPlacer placer;

private:
    SystemClock clock;
    timeline::EventLog events { "test", this->clock, 64 };
    runtime::Task task { "edge" };
    std::unique_ptr<net::Reactor> reactor;
    std::unique_ptr<EdgeServer> edge;
    Duration timeout;
    int port = 0;
};

std::string requestText(const std::string& method, const std::string& path, const std::string& id,
    const std::string& moreHeaders = "", const std::string& body = "");

//! A signed response to the request with this header block.
std::string signedResponse(const std::string& requestHead, const std::string& body,
    const std::string& status = "200 OK", const std::string& moreHeaders = "");

sequoia::test::FakeServer::Step respondSigned(
    const std::string& body, const std::string& status = "200 OK", const std::string& moreHeaders = "");

}
