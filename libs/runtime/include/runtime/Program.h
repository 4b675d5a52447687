#pragma once

#include "core/Clock.h"
#include "settings/Settings.h"
#include "timeline/EventLog.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sequoia::runtime {

//! Exit codes of all programs. Codes of 128 and above mean a crash.
enum class ExitCode {
    Success = 0,
    Failure = 1,
    InvalidArguments = 2,
    InvalidSettings = 3,
    Unreachable = 4,
    Conflict = 5,
};

constexpr int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

//! Environment of a long-running program.
struct ProgramContext {
    const settings::Settings& settings;
    const Clock& clock;
    timeline::EventLog& events;
    std::string incarnation; //!< random id of this run of the process
};

//! A long-running program. It is constructed once the settings are valid, and destroyed after it has stopped.
class Program {
public:
    virtual ~Program() = default;
    //! Starts a graceful shutdown, and calls `finished` on any thread once the program may exit.
    virtual void stop(std::function<void()> finished) = 0;
    //! Applies changed settings at run time. Returns the keys (section.key) that are applied without a restart.
    virtual std::vector<std::string> reload(const settings::Settings&) { return {}; }
};

struct ProgramDescription {
    std::string name; //!< for example sequoia-router
    std::string role; //!< first part of the process name in events, for example router
    std::string usage; //!< text of --help
    timeline::LogTarget logTarget = timeline::LogTarget::StandardError;
};

using ProgramFactory = std::function<Result<std::unique_ptr<Program>>(const ProgramContext&)>;

//! Parses the command line (--settings, --set, --check, --print_settings, --help, --version), loads and validates
//! the settings, runs the program until SIGTERM or SIGINT, and shuts it down gracefully. Returns the exit code.
//! SIGHUP reloads the settings file; an invalid file leaves the settings unchanged.
int runProgram(int argc, char** argv, const ProgramDescription& description, const ProgramFactory& factory);

}
