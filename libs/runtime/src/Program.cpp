#include "runtime/Program.h"

#include "core/Random.h"
#include "runtime/Task.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <gflags/gflags.h>
#include <glib-unix.h>
#include <glib.h>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

DEFINE_string(settings, "", "path of the INI settings file");
DEFINE_string(set, "", "overrides of settings, section.key=value, separated by commas");
DEFINE_bool(check, false, "check the settings and exit with 0 when they are valid, else with 3");
DEFINE_bool(print_settings, false, "print all settings in force and exit");

namespace sequoia::runtime {

namespace {

// The settings file may be replaced without a signal.
constexpr Duration settingsPollInterval = std::chrono::seconds(1);

std::optional<std::string> readSettingsFile()
{
    std::ifstream stream(FLAGS_settings);
    if (!stream)
        return std::nullopt;
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

Result<settings::Settings> loadSettings()
{
    return FLAGS_settings.empty() ? settings::Settings::parse("", "(defaults)", FLAGS_set)
                                  : settings::Settings::load(FLAGS_settings, FLAGS_set);
}

std::string joined(const std::vector<std::string>& keys)
{
    std::string text;
    for (const auto& key : keys)
        text += (text.empty() ? "" : ",") + key;
    return text;
}

void reportMissingFigures(const settings::Settings& loaded, timeline::EventLog& events)
{
    if (loaded.keysWithoutFigure().empty())
        return;
    events.record(timeline::Severity::Warn, "settings_without_figure",
        { { "keys", joined(loaded.keysWithoutFigure()) },
            { "remedy", "write figures if the defaults, which are in force, do not fit" } });
}

//! State for reloading the settings file on SIGHUP.
struct ReloadState {
    settings::Settings current;
    Program& program;
    timeline::EventLog& events;
    std::optional<std::string> fileText; //!< when it was last read; nothing if it could not be
};

void reload(ReloadState& reloadState)
{
    reloadState.fileText = readSettingsFile();
    auto loaded = loadSettings();
    if (!succeeded(loaded)) {
        reloadState.events.record(timeline::Severity::Error, "reload_refused",
            { { "reason", errorOf(loaded).message },
                { "remedy", "correct the file; the previous settings stay in force" } });
        return;
    }
    reportMissingFigures(valueOf(loaded), reloadState.events);
    auto changed = valueOf(loaded).changedKeys(reloadState.current);
    auto applied = reloadState.program.reload(valueOf(loaded));
    if (valueOf(loaded).text("log", "level") != reloadState.current.text("log", "level")) {
        timeline::setLogLevel(valueOf(loaded).text("log", "level"));
        applied.emplace_back("log.level");
    }
    std::erase_if(
        applied, [&](const auto& key) { return std::find(changed.begin(), changed.end(), key) == changed.end(); });
    std::vector<std::string> atRestart;
    for (const auto& key : changed) {
        if (std::find(applied.begin(), applied.end(), key) == applied.end())
            atRestart.push_back(key);
    }
    reloadState.events.record(timeline::Severity::Info, "reloaded",
        { { "in_force", joined(applied) }, { "at_next_start", joined(atRestart) } });
    reloadState.current = std::move(valueOf(loaded));
}

gboolean onReloadSignal(gpointer data)
{
    reload(**static_cast<std::optional<ReloadState>*>(data));
    return G_SOURCE_CONTINUE;
}

struct StopRequest {
    GMainLoop* loop;
    Program* program;
    timeline::EventLog* events;
    bool stopping = false;
};

gboolean onStopSignal(gpointer data)
{
    auto* request = static_cast<StopRequest*>(data);
    if (request->stopping)
        return G_SOURCE_CONTINUE;
    request->stopping = true;
    request->events->record(timeline::Severity::Info, "stop_started", {});
    GMainLoop* loop = request->loop;
    request->program->stop([loop] {
        g_main_context_invoke(
            g_main_loop_get_context(loop),
            [](gpointer mainLoop) -> gboolean {
                g_main_loop_quit(static_cast<GMainLoop*>(mainLoop));
                return G_SOURCE_REMOVE;
            },
            loop);
    });
    return G_SOURCE_CONTINUE;
}

//! Main loop that handles signals. Signals that arrive before run() are handled once it runs.
class SignalLoop {
public:
    SignalLoop()
        : loop(g_main_loop_new(nullptr, FALSE))
    {
        this->sources = { g_unix_signal_add(SIGTERM, onStopSignal, &this->request),
            g_unix_signal_add(SIGINT, onStopSignal, &this->request),
            g_unix_signal_add(SIGHUP, onReloadSignal, &this->reloadState) };
    }

    ~SignalLoop()
    {
        for (auto source : this->sources)
            g_source_remove(source);
        g_main_loop_unref(this->loop);
    }

    SignalLoop(const SignalLoop&) = delete;
    SignalLoop& operator=(const SignalLoop&) = delete;

    //! Runs until the program has stopped.
    void run(Program& program, const settings::Settings& loaded, std::optional<std::string> fileText,
        timeline::EventLog& events)
    {
        this->request = { this->loop, &program, &events };
        this->reloadState.emplace(ReloadState { loaded, program, events, std::move(fileText) });
        std::unique_ptr<Timer> poll;
        if (!FLAGS_settings.empty())
            poll = std::make_unique<Timer>(
                settingsPollInterval, Timer::Repeat::Always, [this] { this->reloadChangedFile(); });
        g_main_loop_run(this->loop);
    }

private:
    void reloadChangedFile()
    {
        if (readSettingsFile() != this->reloadState->fileText)
            reload(*this->reloadState);
    }

    GMainLoop* loop;
    StopRequest request {};
    std::optional<ReloadState> reloadState;
    std::array<guint, 3> sources {};
};

int runUntilStopped(const settings::Settings& loaded, std::optional<std::string> fileText,
    const ProgramDescription& description, const ProgramFactory& factory)
{
    // Created first, so that a stop signal during the start also leads to a graceful shutdown.
    SignalLoop signals;
    timeline::configureLogging(loaded.text("log", "level"), description.logTarget);
    SystemClock clock;
    const auto& host = loaded.text("host", "id");
    timeline::EventLog events(description.role + "@" + (host.empty() ? "local" : host), clock,
        static_cast<std::size_t>(loaded.number("log", "event_buffer")));
    reportMissingFigures(loaded, events);
    auto engine = systemSeededEngine();
    ProgramContext context { loaded, clock, events, randomId(engine) };
    auto created = factory(context);
    if (!succeeded(created)) {
        events.record(timeline::Severity::Error, "start_failed",
            { { "reason", errorOf(created).message }, { "remedy", errorOf(created).remedy } });
        return toInt(ExitCode::Failure);
    }
    events.record(timeline::Severity::Info, "started", { { "incarnation", context.incarnation } });
    signals.run(*valueOf(created), loaded, std::move(fileText), events);
    valueOf(created).reset();
    events.record(timeline::Severity::Info, "stopped", {});
    return toInt(ExitCode::Success);
}

}

int runProgram(int argc, char** argv, const ProgramDescription& description, const ProgramFactory& factory)
{
    gflags::SetUsageMessage(description.usage);
    gflags::SetVersionString(SEQUOIA_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        std::cerr << description.name << ": unexpected argument \"" << argv[1] << "\"; see --help\n";
        return toInt(ExitCode::InvalidArguments);
    }
    // Read before the settings are loaded, so that a change between the two is found by the first poll.
    auto fileText = readSettingsFile();
    auto loaded = loadSettings();
    if (!succeeded(loaded)) {
        std::cerr << errorOf(loaded).toString() << '\n';
        return toInt(ExitCode::InvalidSettings);
    }
    if (FLAGS_print_settings)
        std::cout << valueOf(loaded).toIni();
    if (FLAGS_check)
        std::cout << "settings are valid\n";
    if (FLAGS_check || FLAGS_print_settings)
        return toInt(ExitCode::Success);
    return runUntilStopped(valueOf(loaded), std::move(fileText), description, factory);
}

}
