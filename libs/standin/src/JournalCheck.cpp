#include "standin/JournalCheck.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <standin.pb.h>

namespace sequoia::standin {

void JournalCheck::addJournal(std::string_view text)
{
    while (true) {
        auto end = text.find('\n');
        if (end == std::string_view::npos)
            return;
        this->addLine(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
}

void JournalCheck::addLine(std::string_view line)
{
    wire::Execution execution;
    if (!google::protobuf::util::JsonStringToMessage(std::string(line), &execution).ok()) {
        ++this->malformed;
        return;
    }
    ++this->executed[execution.idempotency_key()];
}

JournalFindings JournalCheck::findings(const SentWrites& sent) const
{
    JournalFindings findings;
    for (const auto& [key, write] : sent) {
        auto found = this->executed.find(key);
        if (found == this->executed.end())
            continue;
        auto count = found->second;
        findings.executions += count;
        if (count > write.sends)
            findings.repeated.push_back(key);
        if (write.notRun > 0 && count > write.sends - write.notRun)
            findings.falseNotRun.push_back(key);
    }
    std::sort(findings.repeated.begin(), findings.repeated.end());
    std::sort(findings.falseNotRun.begin(), findings.falseNotRun.end());
    return findings;
}

}
