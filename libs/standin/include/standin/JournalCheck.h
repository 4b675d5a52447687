#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoia::standin {

//! How often a load run sent a write, and how many of these sends were reported as not run.
struct SentWrite {
    std::uint32_t sends = 0;
    std::uint32_t notRun = 0;
};

//! By idempotency key.
using SentWrites = std::unordered_map<std::string, SentWrite>;

struct JournalFindings {
    std::vector<std::string> repeated; //!< executed more often than sent
    std::vector<std::string> falseNotRun; //!< executed although reported as not run
    std::uint32_t executions = 0; //!< of writes of this run
};

//! Compares the journals of all servers with what one load run sent. Writes of other runs are ignored.
class JournalCheck {
public:
    //! Adds the contents of one journal. An incomplete last line is ignored: its server was killed meanwhile.
    void addJournal(std::string_view text);

    JournalFindings findings(const SentWrites& sent) const;

    //! Lines that are no journal lines.
    std::uint32_t malformedLines() const { return this->malformed; }

private:
    void addLine(std::string_view line);

    std::unordered_map<std::string, std::uint32_t> executed;
    std::uint32_t malformed = 0;
};

}
