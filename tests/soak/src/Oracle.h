#pragma once

#include "core/Clock.h"
#include "fleet/Configuration.h"
#include "platform_standin/ServerStandIn.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoia::soak {

//! A request as a caller sent it; an attempt of a caller has its own id.
struct SentRequest {
    platform_standin::ReceivedRequest content;
    fleet::RequestKind kind = fleet::RequestKind::Idempotent;
    std::string service; //!< the only one that may run it
};

//! Knows the promises of the users' pages and compares them with what callers and backend servers see.
class Oracle final : public platform_standin::ServerObserver {
public:
    using Violated = std::function<void(const std::string& promise, const std::string& details)>;

    Oracle(const Clock& clock, Violated violated);

    void addServer(const platform_standin::ServerStandIn& server) { this->servers.push_back(&server); }
    void sent(const SentRequest& request);
    //! A response with its status, signature, request id and body.
    void answered(const std::string& id, unsigned status, bool signedByServer, const std::string& responseId,
        const std::string& body);
    //! The server said that it leaves; nothing may reach it when `bound` has passed. Lifted when it starts anew.
    void leaving(const std::string& server, Duration bound);
    void startedAnew(const std::string& server) { this->leavings.erase(server); }
    //! Nothing may reach the servers of the data centre when `bound` has passed, until the evacuation ends.
    void evacuated(const std::string& dataCentre, Duration bound);
    void evacuationEnded(const std::string& dataCentre) { this->evacuations.erase(dataCentre); }
    //! Bounds in time do not bind while something is disturbed and for a moment after.
    void disturbed(Duration time);
    //! Orders that a thawed host or a healed link delivers in the next moment excuse two owners, as the users' rules
    //! say.
    void thawed() { this->lastThaw = this->clock.now(); }

    void onRequestStarted(
        const platform_standin::ServerStandIn& server, const platform_standin::ReceivedRequest& request) override;
    void onKeysGranted(
        const platform_standin::ServerStandIn& server, fleet::KeyRange keys, fleet::FencingToken fence) override;

    std::size_t runs() const { return this->runCount; }

private:
    struct Record {
        SentRequest request;
        unsigned runs = 0;
        unsigned refusedWith = 0; //!< a status that promises that the request never runs
    };
    struct Leaving {
        TimePoint told;
        TimePoint closedFrom;
    };
    struct Holder {
        std::string server;
        fleet::FencingToken fence = 0;
    };

    bool isViolated(const std::map<std::string, Leaving>& bounds, const std::string& name) const;
    void checkOwner(const platform_standin::ServerStandIn& server, fleet::Key key);
    void report(const std::string& promise, const std::string& details);

    const Clock& clock;
    Violated violated;
    std::vector<const platform_standin::ServerStandIn*> servers;
    std::map<std::string, Record> records;
    std::map<std::string, Leaving> leavings; //!< by server
    std::map<std::string, Leaving> evacuations; //!< by data centre
    TimePoint disturbedUntil {};
    std::map<std::string, std::vector<Holder>> lastHolders; //!< by service, then by key
    std::map<std::string, TimePoint> lastGrant; //!< by server
    TimePoint lastThaw {};
    std::size_t runCount = 0;
};

}
