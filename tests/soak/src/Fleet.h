#pragma once

#include "FaultProxy.h"
#include "HostProcess.h"
#include "Oracle.h"
#include "client/HttpClient.h"
#include "platform_standin/ServerStandIn.h"
#include "platform_standin/StoreStandIn.h"

#include <memory>
#include <string>
#include <vector>

namespace sequoia::soak {

//! What a run has besides the faults.
struct FleetOptions {
    std::string node; //!< program
    std::string directory; //!< for settings and logs
    std::uint64_t seed = 1;
    unsigned hosts = 5;
    //! From the end of a host's process to its next start.
    Duration shortestRestartPause = std::chrono::milliseconds(200);
    Duration longestRestartPause = std::chrono::milliseconds(1200);
    unsigned subnet = 1; //!< hosts listen at 127.SUBNET.HOST.1, so that runs do not meet
};

//! A backend server behind its link.
struct Server {
    std::unique_ptr<platform_standin::ServerStandIn> standIn;
    std::unique_ptr<FaultProxy> link;
    fleet::ServerState state = fleet::ServerState::Ready;
    bool reachesStore = true;
    TimePoint lastEntry {};
    bool listed = false;
};

//! A host and its link to the store.
struct Host {
    std::string address; //!< for callers
    std::string readyAddress;
    std::string settingsFile;
    std::string fixedSettings; //!< what changeSettings() does not change
    std::unique_ptr<FaultProxy> storeLink;
    std::unique_ptr<HostProcess> process;
    bool ready = false;
    bool stopped = false; //!< by SIGSTOP
    bool killed = false; //!< by this run, since its last start
    bool terminating = false;
};

//! Real sequoia-node processes between stand-ins, all on loopback.
class Fleet {
public:
    Fleet(net::Reactor& reactor, FleetOptions options, Oracle& oracle, Oracle::Violated violated);
    ~Fleet();

    Result<Success> start();
    //! Ends and starts of processes from now on are part of the end of the run.
    void stopAll();
    bool allEnded() const;

    std::vector<Server>& servers() { return this->allServers; }
    std::vector<Host>& hosts() { return this->allHosts; }
    platform_standin::StoreStandIn& store() { return this->rows; }

    void startServer(Server& server);
    //! The server says that it leaves and ends after the users' draining time.
    //! Writes the operators' row for a drawn name, unless a server is missing. Returns the name, or an empty text.
    std::string startEvacuation(std::uint64_t random);
    //! Removes the row if the data centre is still evacuated.
    void endEvacuation(const std::string& name);
    void endEvacuation() { this->endEvacuation(std::string(this->evacuated)); }
    void drainServer(Server& server);
    void changeConfiguration();
    //! Writes the host's settings anew, with bounds of other sizes and forms. Hosts differ for a while.
    void changeSettings(Host& host);
    const std::vector<fleet::Route>& routes() const { return this->currentRoutes; }

private:
    Result<Success> addServer(const platform_standin::ServerOptions& traits);
    Result<Success> addHost(unsigned number);
    void beat();
    void askReady();
    //! Reports the decisions for other services' servers in the log of a process that has ended.
    void checkLog(const Host& host);
    void processEnded(Host& host, ProcessEnd end);

    net::Reactor& reactor;
    FleetOptions options;
    Oracle& oracle;
    Oracle::Violated violated;
    RandomEngine random;
    RandomEngine settingsRandom; //!< of its own, so that the other draws of a seed stay the same
    platform_standin::StoreStandIn rows;
    client::HttpClient readyCalls;
    std::vector<Server> allServers;
    std::vector<Host> allHosts;
    std::vector<fleet::Route> currentRoutes;
    std::string evacuated; //!< data centre, or empty
    std::uint64_t configurationVersion = 0;
    bool ending = false;
};

}
