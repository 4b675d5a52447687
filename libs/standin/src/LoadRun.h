#pragma once

#include "DirectGrants.h"
#include "LoadCall.h"
#include "standin/LoadRunner.h"
#include "standin/TargetPicker.h"

#include <map>

namespace sequoia::standin {

//! State of a running load; all of it belongs to the thread that calls run().
class LoadRun {
public:
    LoadRun(LoadOptions loadOptions, const Clock& systemClock);
    ~LoadRun();

    LoadRun(const LoadRun&) = delete;
    LoadRun& operator=(const LoadRun&) = delete;

    Result<Success> run();
    wire::LoadReport report(const JournalCheck& journals) const;

private:
    Result<Success> waitForGrants();
    void startDue();
    void begin(PlannedRequest plan);
    void send(LoadCall& call);
    std::string addressFor(LoadCall& call);
    void addHeaders(LoadCall& call);
    void addBody(LoadCall& call);
    static void onHead(GObject* session, GAsyncResult* result, gpointer call);
    static void onMisdirected(SoupMessage* message, gpointer call);
    static void onBytes(GObject* stream, GAsyncResult* result, gpointer call);
    void readMore(LoadCall& call);
    void failed(LoadCall& call, const GError* error);
    bool tryNextTarget(LoadCall& call);
    void ended(LoadCall& call, const Judgement& judgement);
    void quitWhenDone();

    LoadOptions options;
    const Clock& clock;
    LoadRecord record;
    Workload workload;
    std::optional<PlannedRequest> pending;
    std::optional<TargetPicker> picker;
    std::unique_ptr<DirectGrants> direct;
    std::vector<ObjectPtr<SoupSession>> sessions;
    std::map<std::uint64_t, std::unique_ptr<LoadCall>> calls;
    GMainLoop* loop;
    TimePoint started;
    TimePoint finished;
};

}
