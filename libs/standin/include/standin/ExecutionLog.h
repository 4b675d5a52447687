#pragma once

#include "core/Error.h"

#include <fstream>
#include <standin.pb.h>
#include <string>
#include <unordered_map>

namespace sequoia::standin {

//! Executed writes of one server: counts in memory, and a journal file with one JSON line per execution.
class ExecutionLog {
public:
    //! Without a path there is no file.
    static Result<ExecutionLog> open(const std::string& path);

    //! Counts the execution and writes its line before it returns; false when the line could not be written.
    bool record(wire::Execution execution);

    const wire::ExecutionList& executions() const { return this->list; }

private:
    std::ofstream file;
    std::unordered_map<std::string, std::uint32_t> counts;
    wire::ExecutionList list;
};

}
