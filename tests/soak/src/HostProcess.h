#pragma once

#include "core/Error.h"

#include <functional>
#include <gio/gio.h>
#include <string>

namespace sequoia::soak {

//! How a process ended.
struct ProcessEnd {
    bool bySignal = false;
    int code = 0; //!< exit code, or the signal
    bool beforeHandlers = false; //!< by a signal that was sent before the process had a handler for it
};

//! One sequoia-node process, started again after each end. Its output goes to a file for each life.
class HostProcess {
public:
    using Ended = std::function<void(HostProcess&, ProcessEnd)>;

    HostProcess(std::string program, std::string settingsFile, std::string logPrefix, Ended ended);
    ~HostProcess();

    HostProcess(const HostProcess&) = delete;
    HostProcess& operator=(const HostProcess&) = delete;

    Result<Success> start();
    void signal(int number);
    bool isRunning() const { return this->process != nullptr; }
    const std::string& logFile() const { return this->currentLog; }
    //! Process id of a running process.
    std::string identifier() const { return g_subprocess_get_identifier(this->process); }

private:
    static void onEnd(GObject* source, GAsyncResult* result, gpointer self);

    std::string program;
    std::string settingsFile;
    std::string logPrefix;
    Ended ended;
    GSubprocess* process = nullptr;
    GCancellable* cancellable;
    std::string currentLog;
    int uncaughtSignal = 0; //!< the last one, when the process had no handler for it
    int lives = 0;
};

}
