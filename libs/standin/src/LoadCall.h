#pragma once

#include "GlibPtr.h"
#include "core/Clock.h"
#include "runtime/Task.h"
#include "standin/Pattern.h"
#include "standin/ResponseCheck.h"
#include "standin/Workload.h"

#include <array>
#include <libsoup/soup.h>
#include <memory>
#include <optional>
#include <string>

namespace sequoia::standin {

class LoadRun;

//! One request of the load tool, with all sends that it takes.
struct LoadCall {
    static constexpr std::size_t readSize = std::size_t(64) * 1024;

    LoadRun* run = nullptr;
    PlannedRequest plan;
    TimePoint arrival;
    KeyHash hash = 0;
    std::string idempotencyKey; //!< empty for reads
    std::string requestId; //!< empty when the router chooses it
    std::size_t target = 0;
    std::size_t refusals = 0; //!< connections refused in a row
    bool resent = false;
    bool timedOut = false;
    bool misdirected = false; //!< answered with 421
    ExpectedWrite expectedWrite {};
    ObjectPtr<SoupMessage> message;
    ObjectPtr<GCancellable> cancellable;
    ObjectPtr<GInputStream> stream;
    std::unique_ptr<runtime::Timer> limit;
    std::optional<Judgement> judgement; //!< from the head of the response
    std::optional<PatternChecker> pattern;
    std::string body; //!< of the response to a write
    std::array<char, readSize> buffer {};
};

}
