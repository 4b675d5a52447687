#include "operatorcli/CommandLine.h"

#include "core/EnumTable.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <gflags/gflags.h>
#include <optional>
#include <sstream>

DEFINE_string(platform, "127.0.0.1:7000", "address of the platform, IP:port; empty reads no host list");
DEFINE_string(processes, "", "gRPC addresses of routers and controllers to ask as well, IP:port, separated by commas");
DEFINE_string(output, "text", "text or json");
DEFINE_int32(timeout_ms, 2000, "time limit of each call in milliseconds, 1 to 60000");
DEFINE_bool(dry_run, false, "show what would be sent and to which process, and send nothing");
DEFINE_string(author, "", "name of the person who makes the change (default: the environment variable USER)");
DEFINE_string(reason, "", "why the change is made; kept on the time line");
DEFINE_int64(since_ms, 0, "only events of the last so many milliseconds; 0 shows all");
DEFINE_string(grep, "", "only events whose line contains this text");

namespace sequoia::operatorcli {

namespace {

constexpr auto globalFlags = std::to_array<std::string_view>({ "platform", "processes", "output", "timeout_ms" });
constexpr std::string_view changeFlags = "reason author dry_run";
constexpr int maxTimeoutMillis = 60000;

constexpr auto commandTable = std::to_array<Command>({
    { CommandId::Status, "status", "", "", "show every process, and for each service its holder and its slices",
        "Asks all routers and controllers of the host list. A service without a holder, or with unavailable\n"
        "slices, needs attention. Processes that do not answer are listed at the end.",
        "sequoiactl status" },
    { CommandId::Owner, "owner", "SERVICE KEY", "", "show which backend server owns a key, since when, and why",
        "Shows the slice that contains the key, its owner, its epoch (term.sequence), its successor, and the last\n"
        "events about that slice.",
        "sequoiactl owner booking slot-4711" },
    { CommandId::Hosts, "hosts", "", "", "show the platform's host list",
        "The list lags behind reality: use status to see which processes answer now.", "sequoiactl hosts" },
    { CommandId::Routes, "routes", "SERVICE", "", "show the route table of a service",
        "Each line is a slice: an inclusive range of key hashes and the backend server that requests go to.",
        "sequoiactl routes booking" },
    { CommandId::Move, "move", "SERVICE KEY TARGET", changeFlags,
        "move the slice that contains a key to another server",
        "The present owner finishes its requests in progress for the slice before TARGET takes over; new requests\n"
        "for the slice wait or are refused as not-run for this time. Needs the table service.",
        "sequoiactl move booking slot-4711 server-3 --reason=\"server-1 is overloaded\"", true },
    { CommandId::ConfirmGone, "confirm-gone", "SERVICE SERVER", changeFlags,
        "confirm that a backend server is stopped for certain",
        "Needed only when the owner and the successor of a slice are both unreachable. DANGER: if the server still\n"
        "runs, two servers can own the same keys. Make sure that its process is stopped before you confirm.",
        "sequoiactl confirm-gone booking server-1 --reason=\"power of rack 7 is off\"", true },
    { CommandId::Timeline, "timeline", "", "since_ms grep", "show the events of all processes in causal order",
        "Merges the events that routers and controllers keep in memory. A cause is never shown after its effect,\n"
        "even when clocks differ. Processes that do not answer, and events already discarded, are reported.",
        "sequoiactl timeline --since_ms=600000 --grep=partition=booking" },
    { CommandId::Explain, "explain", "REQUEST_ID [FILE]", "", "tell from log lines what became of a request",
        "Reads the log lines of any number of hosts from FILE, or from standard input, and prints the lines of the\n"
        "request and those that belong to them in causal order, then what they mean. Asks no process.",
        "cat host-*.log | sequoiactl explain 9c41d07be2a35f68" },
    { CommandId::Help, "help", "[COMMAND]", "", "explain the commands, or one of them",
        "Without a command, lists all of them and the flags.", "sequoiactl help move" },
});

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream { std::string(text) };
    std::string part;
    while (std::getline(stream, part, separator)) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

bool contains(const std::vector<std::string>& list, std::string_view value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

bool isGlobalFlag(std::string_view name)
{
    return std::find(globalFlags.begin(), globalFlags.end(), name) != globalFlags.end();
}

bool isFlag(std::string_view name)
{
    return isGlobalFlag(name) || std::any_of(commandTable.begin(), commandTable.end(), [name](const Command& command) {
        return contains(split(command.flags, ' '), name);
    });
}

gflags::CommandLineFlagInfo flagInfo(const std::string& name)
{
    return gflags::GetCommandLineFlagInfoOrDie(name.c_str());
}

Error invalid(const std::string& message, const std::string& remedy)
{
    return Error { ErrorKind::InvalidArgument, message, remedy };
}

//! Splits the arguments into flags, which gflags converts and keeps, and positional arguments.
class Splitter {
public:
    std::vector<std::string> positional;
    std::vector<std::string> given;
    bool wantsHelp = false;

    std::optional<Error> run(const std::vector<std::string>& arguments)
    {
        bool onlyPositional = false;
        for (std::size_t index = 0; index < arguments.size(); ++index) {
            const auto& argument = arguments[index];
            if (onlyPositional || argument.size() < 2 || argument[0] != '-')
                this->positional.push_back(argument);
            else if (argument == "--")
                onlyPositional = true;
            else if (argument == "--help" || argument == "-h" || argument == "-help")
                this->wantsHelp = true;
            else if (auto error = this->takeFlag(arguments, index))
                return error;
        }
        return std::nullopt;
    }

private:
    std::optional<Error> takeFlag(const std::vector<std::string>& arguments, std::size_t& index)
    {
        const auto& argument = arguments[index];
        auto start = argument.find_first_not_of('-');
        auto equals = argument.find('=');
        auto name = start == std::string::npos ? "" : argument.substr(start, equals - start);
        std::replace(name.begin(), name.end(), '-', '_');
        if (!isFlag(name))
            return invalid("unknown flag \"" + argument + "\"", "see sequoiactl help");
        auto info = flagInfo(name);
        std::string value;
        if (equals != std::string::npos)
            value = argument.substr(equals + 1);
        else if (info.type == "bool")
            value = "true";
        else if (index + 1 < arguments.size())
            value = arguments[++index];
        else
            return invalid("flag --" + name + " has no value", "write --" + name + "=VALUE");
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return invalid("\"" + value + "\" is not a value of --" + name, "it is: " + info.description);
        this->given.push_back(name);
        return std::nullopt;
    }
};

std::optional<Error> checkArguments(const Command& command, const std::vector<std::string>& arguments)
{
    auto names = split(command.arguments, ' ');
    auto required = static_cast<std::size_t>(
        std::count_if(names.begin(), names.end(), [](const std::string& name) { return name[0] != '['; }));
    if (arguments.size() >= required && arguments.size() <= names.size())
        return std::nullopt;
    auto usage = "sequoiactl " + std::string(command.name);
    for (const auto& name : names)
        usage += " " + name;
    return invalid("\"" + std::string(command.name) + "\" takes " + std::to_string(names.size()) + " argument(s), "
            + std::to_string(arguments.size()) + " given",
        "write: " + usage);
}

std::optional<Error> checkFlags(const Command& command, const std::vector<std::string>& given)
{
    auto allowed = split(command.flags, ' ');
    for (const auto& name : given) {
        if (!isGlobalFlag(name) && !contains(allowed, name))
            return invalid("flag --" + name + " has no meaning for \"" + std::string(command.name) + "\"",
                "leave it out; see sequoiactl help " + std::string(command.name));
    }
    return std::nullopt;
}

Result<Options> readOptions(const Command& command)
{
    Options options;
    options.platform = FLAGS_platform;
    options.processes = split(FLAGS_processes, ',');
    options.timeout = fromMillis(FLAGS_timeout_ms);
    options.dryRun = FLAGS_dry_run;
    options.reason = FLAGS_reason;
    options.since = fromMillis(FLAGS_since_ms);
    options.grep = FLAGS_grep;
    const char* user = std::getenv("USER");
    options.author = FLAGS_author.empty() && user ? user : FLAGS_author;
    constexpr EnumTable<OutputFormat, 2> formats { { { OutputFormat::Text, "text" }, { OutputFormat::Json, "json" } } };
    auto format = valueNamed(formats, FLAGS_output);
    if (!format)
        return invalid("unknown output format \"" + FLAGS_output + "\"", "write --output=text or --output=json");
    options.output = *format;
    if (FLAGS_timeout_ms < 1 || FLAGS_timeout_ms > maxTimeoutMillis)
        return invalid("--timeout_ms is out of range", "write a value from 1 to 60000");
    if (FLAGS_since_ms < 0)
        return invalid("--since_ms is negative", "write how many milliseconds back to look, for example 600000");
    if (command.changes && options.reason.empty())
        return invalid("\"" + std::string(command.name) + "\" changes the system and needs a reason",
            "add --reason=\"why this change is made\"; it is kept on the time line");
    if (command.changes && options.author.empty())
        return invalid("the author of the change is unknown", "add --author=NAME or set the environment variable USER");
    return options;
}

void describeFlag(std::ostringstream& text, std::string_view name)
{
    auto info = flagInfo(std::string(name));
    text << "  --" << name << (info.type == "bool" ? "" : "=VALUE") << "\n      " << info.description;
    if (info.type != "bool" && !info.default_value.empty())
        text << " (default: " << info.default_value << ")";
    text << '\n';
}

}

std::span<const Command> commands()
{
    return commandTable;
}

const Command* findCommand(std::string_view name)
{
    const auto* found = std::find_if(
        commandTable.begin(), commandTable.end(), [name](const Command& command) { return command.name == name; });
    return found == commandTable.end() ? nullptr : found;
}

Result<Invocation> parseCommandLine(const std::vector<std::string>& arguments)
{
    Splitter splitter;
    if (auto error = splitter.run(arguments))
        return *error;
    Invocation invocation;
    if (splitter.wantsHelp || splitter.positional.empty()) {
        invocation.command = findCommand("help");
        if (!splitter.positional.empty() && findCommand(splitter.positional[0]))
            invocation.arguments = { splitter.positional[0] };
        return invocation;
    }
    invocation.command = findCommand(splitter.positional[0]);
    if (!invocation.command)
        return invalid("unknown command \"" + splitter.positional[0] + "\"", "see sequoiactl help");
    invocation.arguments.assign(splitter.positional.begin() + 1, splitter.positional.end());
    if (auto error = checkArguments(*invocation.command, invocation.arguments))
        return *error;
    if (invocation.command->id == CommandId::Help && !invocation.arguments.empty()
        && !findCommand(invocation.arguments[0]))
        return invalid("unknown command \"" + invocation.arguments[0] + "\"", "see sequoiactl help");
    if (auto error = checkFlags(*invocation.command, splitter.given))
        return *error;
    auto options = readOptions(*invocation.command);
    if (!succeeded(options))
        return errorOf(options);
    invocation.options = valueOf(options);
    return invocation;
}

std::string overview()
{
    std::ostringstream text;
    text << "sequoiactl shows and changes which backend server owns which keys.\n\n"
            "usage: sequoiactl COMMAND [ARGUMENTS] [FLAGS]\n\ncommands:\n";
    for (const auto& command : commandTable) {
        text << "  " << command.name << (command.arguments.empty() ? "" : " ") << command.arguments << "\n      "
             << command.summary << '\n';
    }
    text << "\nflags of all commands:\n";
    for (auto name : globalFlags)
        describeFlag(text, name);
    text << "\nCommands that change something need --reason and accept --dry_run.\n"
            "Exit codes: 0 success, 1 failure, 2 invalid arguments, 4 no process reachable, 5 change refused.\n"
            "More about a command: sequoiactl help COMMAND\n";
    return text.str();
}

std::string helpFor(const Command& command)
{
    std::ostringstream text;
    text << "usage: sequoiactl " << command.name << (command.arguments.empty() ? "" : " ") << command.arguments
         << " [FLAGS]\n\n"
         << command.summary << "\n\n"
         << command.details << "\n\nexample: " << command.example << '\n';
    auto flags = split(command.flags, ' ');
    if (!flags.empty())
        text << "\nflags of this command:\n";
    for (const auto& flag : flags)
        describeFlag(text, flag);
    text << "\nflags of all commands:\n";
    for (auto name : globalFlags)
        describeFlag(text, name);
    return text.str();
}

}
