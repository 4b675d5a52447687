#pragma once

#include "ConnectionLimit.h"
#include "Exchange.h"
#include "HealthHistory.h"
#include "IdleConnections.h"
#include "Registration.h"
#include "ownership/ServerGrants.h"
#include "standin/Behaviour.h"
#include "standin/ExecutionLog.h"
#include "standin/ServiceTimes.h"
#include "standin/SlotQueue.h"
#include "timeline/EventLog.h"

#include <map>
#include <memory>
#include <string>

namespace sequoia::standin {

//! State and HTTP handlers of the stand-in; used on its task only.
class StandInServer {
public:
    StandInServer(StandInOptions standInOptions, const Clock& systemClock, timeline::EventLog& eventLog,
        ExecutionLog executionLog);
    ~StandInServer();

    StandInServer(const StandInServer&) = delete;
    StandInServer& operator=(const StandInServer&) = delete;

    Result<Success> listen();
    std::uint16_t port() const { return this->boundPort; }
    void stop(std::function<void()> finished);

private:
    using Query = GHashTable;

    void addHandlers();
    void onGrant(SoupServerMessage* message);
    void onHealth(SoupServerMessage* message);
    void onFaults(SoupServerMessage* message);
    void onExecutions(SoupServerMessage* message);
    void applyBehaviour(const wire::ServerFaults& next);
    wire::ServerHealth currentHealth() const;

    void onHead(SoupServerMessage* message, const char* path, Query* query);
    void onBodyPart(Exchange& exchange, GBytes* part);
    void onBodyEnd(SoupServerMessage* message);
    void admitConnection(Exchange& exchange);
    void admit(Exchange& exchange);
    void run(Exchange& exchange);
    void startWaiting();
    void recordExecution(const Exchange& exchange);
    void onDeadline(Exchange& exchange);
    void answer(Exchange& exchange);
    wire::WriteAnswer writeAnswer(const Exchange& exchange) const;
    void appendReadPart(Exchange& exchange);
    void answerRaw(Exchange& exchange, wire::AnswerFault fault);
    void refuse(Exchange& exchange, guint status, std::string_view outcome, const std::string& code,
        const std::string& message, const std::string& remedy);
    void drop(Exchange& exchange);
    void finish(Exchange& exchange);
    void releaseSlot(Exchange& exchange);
    bool mayServe(const Exchange& exchange) const;

    void drain(std::function<void()> finished);

    StandInOptions options;
    const Clock& clock;
    timeline::EventLog& events;
    ExecutionLog executions;
    wire::ServerFaults behaviour;
    ownership::ServerGrants grants;
    SlotQueue slots;
    ServiceTimes times;
    HealthHistory health;
    bool draining = false;
    bool holdsSlices = false;
    std::uint64_t startedRequests = 0;
    std::uint64_t nextNumber = 1;
    ObjectPtr<SoupServer> soupServer;
    IdleConnections idleConnections;
    ConnectionLimit connections;
    std::uint16_t boundPort = 0;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
    std::map<SoupServerMessage*, Exchange*> byMessage;
    std::unique_ptr<Registration> registration;
    std::unique_ptr<runtime::Timer> healthTimer;
    std::unique_ptr<runtime::Timer> stopTimer;
    bool leaveConfirmed = false;
};

}
