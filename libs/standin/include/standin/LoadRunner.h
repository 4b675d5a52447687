#pragma once

#include "core/Clock.h"
#include "core/Error.h"
#include "standin/LoadRecord.h"
#include "standin/Targets.h"
#include "standin/Workload.h"

#include <memory>
#include <string>
#include <vector>

namespace sequoia::standin {

struct LoadOptions {
    WorkloadOptions workload;
    std::vector<std::string> targets; //!< routers; not used when there are direct servers
    std::vector<DirectServer> direct;
    bool sendGrants = true; //!< to direct servers
    Duration grantLease = std::chrono::seconds(2);
    std::uint64_t uploadBytes = 1024;
    std::uint64_t readBytes = 1024;
    std::int64_t deadlineMs = 5000;
    std::size_t concurrency = 256;
    bool resendUnknown = false;
    std::string runId; //!< part of every idempotency key
};

class LoadRun;

//! Sends a workload by HTTP from the calling thread and checks every response.
class LoadRunner {
public:
    LoadRunner(LoadOptions options, const Clock& clock);
    ~LoadRunner();

    LoadRunner(const LoadRunner&) = delete;
    LoadRunner& operator=(const LoadRunner&) = delete;

    //! Returns when all requests have ended; SIGINT and SIGTERM end the run early.
    Result<Success> run();

    wire::LoadReport report(const JournalCheck& journals) const;

private:
    std::unique_ptr<LoadRun> state;
};

}
