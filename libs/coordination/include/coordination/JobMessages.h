#pragma once

#include "balance/Job.h"
#include "balance/ServerReport.h"

#include <optional>
#include <peer.pb.h>

namespace sequoia::coordination {

//! Deadlines are sent as the time left, since the clocks of hosts are not comparable.
void fillSubmit(const balance::Job& job, TimePoint now, wire::Submit& message);
//! Returns null if a field is out of range.
std::optional<balance::Job> makeJob(const wire::Submit& message, std::uint64_t host, TimePoint now);

//! Converts a time of a message. Times beyond a day are mistakes and are cut off, so that sums cannot overflow.
Duration boundedMillis(std::int64_t millis);
//! Returns null for a number that is no result.
std::optional<balance::JobResult> jobResultOf(std::uint32_t number);
std::optional<balance::RefusalReason> refusalReasonOf(std::uint32_t number);
void fillServerReport(const balance::ServerReport& report, wire::ServerLoadReport& message);
//! Returns null if the server stated no load. Figures are bounded.
std::optional<balance::ServerReport> serverReportOf(const wire::JobEnd& message);

}
