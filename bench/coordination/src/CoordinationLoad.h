#pragma once

#include "coordination/Coordinator.h"
#include "core/ManualClock.h"
#include "core/Random.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sequoia::bench {

//! Size of a simulated deployment.
struct DeploymentSize {
    std::size_t hosts = 30;
    double requestsPerSecond = 390;
    Duration serviceTime = std::chrono::milliseconds(250);
    double serversPerHost = 2.8;
    std::uint32_t slots = 2;
    bool tickOnResponse = false; //!< runs all decisions after each response to an order
    double hotShare = 0; //!< of the keyed requests, to a few keys
    bool competingPriorities = false; //!< two priorities, for which planQueue() decides who is served
};

//! Processor time of the coordinator by kind of work, in seconds per simulated second.
struct ProcessorTime {
    double submissions = 0;
    double reports = 0;
    double ticks = 0;
    double beacons = 0;

    double total() const { return this->submissions + this->reports + this->ticks + this->beacons; }
};

struct LoadResult {
    ProcessorTime time;
    std::uint64_t submitted = 0;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t orders = 0; //!< grants, renewals and releases
    double beaconBytesPerHostSecond = 0;
};

//! Plays the messages of all hosts to one coordinator on a simulated clock, encoded and decoded as on the network, and
//! measures the coordinator's processor time.
class CoordinationLoad {
public:
    CoordinationLoad(DeploymentSize size, std::uint64_t seed);
    LoadResult run(Duration warmUp, Duration measured);

private:
    struct RunningJob {
        TimePoint end;
        std::size_t host;
        std::uint64_t number;
    };

    void answerOrders();
    void submitJobs(Duration step);
    std::uint32_t drawKey();
    void endJobs();
    void sendReports();
    void handleReplies(const std::vector<coordination::OutgoingDatagram>& replies);
    void deliver(const wire::Datagram& datagram, std::size_t host, double& timer);
    static std::string addressOf(std::size_t host);

    DeploymentSize size;
    RandomEngine random;
    ManualClock clock;
    coordination::Coordinator coordinator;
    std::multimap<TimePoint, RunningJob> running;
    std::vector<std::uint64_t> lastJob;
    std::size_t nextReport = 0;
    LoadResult result;
};

}
