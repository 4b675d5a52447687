#pragma once

#include "core/Clock.h"
#include "core/KeyHash.h"
#include "standin/JournalCheck.h"
#include "standin/ResponseCheck.h"
#include "standin/Unavailability.h"

#include <memory>
#include <standin.pb.h>
#include <string>

namespace sequoia::standin {

class LatencyRecord;

//! Collects the results of a load run and makes the report.
class LoadRecord {
public:
    LoadRecord();
    ~LoadRecord();

    void sent(const std::string& idempotencyKey);
    void suppressed() { this->counts.set_suppressed(this->counts.suppressed() + 1); }
    void skippedTarget() { this->counts.set_skipped_targets(this->counts.skipped_targets() + 1); }
    void resent() { this->counts.set_resent(this->counts.resent() + 1); }

    //! One finished send; the idempotency key is empty for reads.
    void finished(
        const Judgement& judgement, KeyHash hash, const std::string& idempotencyKey, TimePoint arrival, TimePoint end);

    wire::LoadReport report(const JournalCheck& journals, Duration length, TimePoint now) const;

private:
    void addExample(const std::string& text);

    wire::LoadReport counts;
    SentWrites writes;
    Unavailability unavailability;
    std::unique_ptr<LatencyRecord> latencies;
};

//! Whether the run shows no violation: nothing wrong, repeated, or falsely reported as not run.
bool isClean(const wire::LoadReport& report);

//! The readable report without its last line.
std::string formatReport(const wire::LoadReport& report);

//! `load served=N wrong=N ...`
std::string formatSummaryLine(const wire::LoadReport& report);

}
