#pragma once

#include "core/Clock.h"
#include "core/Error.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::operatorcli {

enum class CommandId {
    Status,
    Owner,
    Hosts,
    Routes,
    Move,
    ConfirmGone,
    Timeline,
    Explain,
    Help,
};

struct Command {
    CommandId id;
    std::string_view name;
    std::string_view arguments; //!< names separated by spaces; in brackets when optional
    std::string_view flags; //!< flags besides the global ones, separated by spaces
    std::string_view summary;
    std::string_view details;
    std::string_view example;
    bool changes = false; //!< needs a reason
};

std::span<const Command> commands();
const Command* findCommand(std::string_view name);

enum class OutputFormat {
    Text,
    Json,
};

//! Values of the flags.
struct Options {
    std::string platform; //!< empty when --platform is empty: no host list is read
    std::vector<std::string> processes;
    OutputFormat output = OutputFormat::Text;
    Duration timeout = std::chrono::seconds(2);
    bool dryRun = false;
    std::string author;
    std::string reason;
    Duration since = Duration::zero(); //!< zero: no bound
    std::string grep;
};

struct Invocation {
    const Command* command = nullptr;
    std::vector<std::string> arguments;
    Options options;
};

//! Parses the arguments after the program's name. Flags may stand anywhere. The error is for the operator.
Result<Invocation> parseCommandLine(const std::vector<std::string>& arguments);

//! Text of `help` and of `help COMMAND`.
std::string overview();
std::string helpFor(const Command& command);

}
