#include "standin/ExecutionLog.h"

#include <google/protobuf/util/json_util.h>

namespace sequoia::standin {

Result<ExecutionLog> ExecutionLog::open(const std::string& path)
{
    ExecutionLog log;
    if (path.empty())
        return log;
    log.file.open(path, std::ios::app | std::ios::binary);
    if (!log.file)
        return Error { ErrorKind::InvalidSettings, "journal \"" + path + "\" cannot be opened for appending",
            "set server_standin.journal to a file in an existing, writable folder" };
    return log;
}

bool ExecutionLog::record(wire::Execution execution)
{
    execution.set_count(++this->counts[execution.idempotency_key()]);
    bool written = true;
    if (this->file.is_open()) {
        std::string line;
        written = google::protobuf::util::MessageToJsonString(execution, &line).ok();
        line += '\n';
        // One flush per line: a killed process must not lose an execution that it has begun.
        this->file.write(line.data(), static_cast<std::streamsize>(line.size()));
        this->file.flush();
        written = written && this->file.good();
    }
    *this->list.add_executions() = std::move(execution);
    return written;
}

}
