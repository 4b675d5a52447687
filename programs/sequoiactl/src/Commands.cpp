#include "Commands.h"

#include "core/KeyHash.h"
#include "operatorcli/Explanation.h"
#include "operatorcli/Selection.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace sequoia::ctl {

namespace {

using operatorcli::CommandId;
using operatorcli::Invocation;
using operatorcli::Options;
using operatorcli::OutputFormat;
using runtime::ExitCode;

constexpr std::size_t shownOwnerEvents = 8;

template <typename View> void print(const Options& options, const View& view)
{
    std::cout << (options.output == OutputFormat::Json ? operatorcli::toJson(view) : operatorcli::toText(view));
}

ExitCode fail(ExitCode code, const Error& error)
{
    std::cerr << "sequoiactl: " << error.toString() << '\n';
    return code;
}

ExitCode failUnreachable()
{
    return fail(ExitCode::Unreachable,
        { ErrorKind::Unavailable, "no router or controller answers",
            "check --platform, or name processes with --processes=IP:port" });
}

//! The newest routes and record of a service, from the holder when it answers, else from any other controller.
class ServiceReader {
public:
    ServiceReader(Fleet& processes, const std::string& name)
        : fleet(processes)
        , service(name)
        , status(processes.status())
    {
    }

    bool read()
    {
        this->holder = operatorcli::findHolder(this->status.processes, this->service);
        if (this->holder)
            this->take(this->holder->address());
        this->fromHolder = this->found;
        for (const auto& process : this->status.processes) {
            if (!this->fromHolder && this->serves(process))
                this->take(process.process().address());
        }
        return this->found;
    }

    ExitCode explainFailure() const
    {
        if (this->status.processes.empty())
            return failUnreachable();
        return fail(ExitCode::Failure,
            { ErrorKind::NotFound, "no controller that answers knows the service \"" + this->service + "\"",
                "see sequoiactl status for the names of the services" });
    }

    const operatorcli::StatusView& statusView() const { return this->status; }
    const std::optional<wire::Process>& holderProcess() const { return this->holder; }
    const wire::FetchRoutesReply& reply() const { return this->newest; }
    bool isFromHolder() const { return this->fromHolder; }

private:
    bool serves(const wire::StatusReply& process) const
    {
        return std::any_of(process.partitions().begin(), process.partitions().end(),
            [this](const auto& partition) { return partition.partition() == this->service; });
    }

    void take(const std::string& address)
    {
        auto result = this->fleet.routes(address, this->service);
        if (!succeeded(result))
            return;
        const auto& reply = valueOf(result);
        auto orderOf = [](const wire::FetchRoutesReply& candidate) {
            return std::tuple(candidate.table().term(), candidate.table().version(), candidate.record_version());
        };
        if (!this->found || orderOf(reply) > orderOf(this->newest))
            this->newest = reply;
        this->found = true;
    }

    Fleet& fleet;
    std::string service;
    operatorcli::StatusView status;
    std::optional<wire::Process> holder;
    wire::FetchRoutesReply newest;
    bool found = false;
    bool fromHolder = false;
};

ExitCode showStatus(const Options& options, Fleet& fleet)
{
    auto view = fleet.status();
    print(options, view);
    return view.processes.empty() ? failUnreachable() : ExitCode::Success;
}

ExitCode showHosts(const Options& options, const Fleet& fleet)
{
    auto hosts = fleet.readHosts();
    if (!succeeded(hosts))
        return fail(ExitCode::Unreachable, errorOf(hosts));
    print(options, valueOf(hosts));
    return ExitCode::Success;
}

ExitCode showRoutes(const Invocation& invocation, Fleet& fleet)
{
    ServiceReader reader(fleet, invocation.arguments[0]);
    if (!reader.read())
        return reader.explainFailure();
    operatorcli::RoutesView view { reader.reply().table(), reader.isFromHolder() };
    view.table.set_partition(invocation.arguments[0]);
    print(invocation.options, view);
    return ExitCode::Success;
}

ExitCode showOwner(const Invocation& invocation, Fleet& fleet)
{
    operatorcli::OwnerView view;
    view.service = invocation.arguments[0];
    view.key = invocation.arguments[1];
    view.hash = keyHash(view.service, view.key);
    ServiceReader reader(fleet, view.service);
    if (!reader.read())
        return reader.explainFailure();
    view.slice = operatorcli::findSlice(reader.reply().record(), view.hash);
    view.route = operatorcli::findRoute(reader.reply().table(), view.hash);
    view.fromHolder = reader.isFromHolder();
    auto events = fleet.events();
    view.events = operatorcli::eventsAbout(events.events, view.service, view.hash, shownOwnerEvents);
    if (view.slice)
        view.since = operatorcli::assignedAt(events.events, view.service, *view.slice);
    view.unreachable = events.unreachable;
    print(invocation.options, view);
    return ExitCode::Success;
}

ExitCode showTimeline(const Options& options, Fleet& fleet)
{
    auto view = fleet.events();
    bool reached = view.unreachable.size() < fleet.addresses().size();
    auto oldest = options.since == Duration::zero() ? 0 : SystemClock().wallNow() - toMillis(options.since);
    view.events = operatorcli::filterEvents(view.events, oldest, options.grep);
    print(options, view);
    return reached ? ExitCode::Success : failUnreachable();
}

ExitCode report(const Options& options, const std::string& holder, const Result<wire::OperatorReply>& result)
{
    if (!succeeded(result)) {
        auto error = errorOf(result);
        error.remedy = "the change may have been accepted: look at sequoiactl timeline before you repeat it";
        return fail(ExitCode::Unreachable, error);
    }
    const auto& reply = valueOf(result);
    if (options.output == OutputFormat::Json)
        std::cout << operatorcli::toJson(reply);
    else
        std::cout << (reply.accepted() ? "accepted by " : "refused by ") << holder << ": " << reply.message() << '\n';
    return reply.accepted() ? ExitCode::Success : ExitCode::Conflict;
}

ExitCode failWithoutHolder(const std::string& service)
{
    return fail(ExitCode::Unreachable,
        { ErrorKind::Unavailable, "service \"" + service + "\" has no holder that answers",
            "repeat after a few seconds; see sequoiactl status" });
}

//! An error when the host list shows that the name is not a backend server of the service.
std::optional<Error> checkServer(const Fleet& fleet, const std::string& service, const std::string& server, bool live)
{
    if (!fleet.hosts())
        return std::nullopt;
    for (const auto& host : fleet.hosts()->hosts()) {
        bool usable = !live || host.state() == wire::HOST_STATE_LIVE;
        if (host.id() == server && host.kind() == wire::HOST_KIND_BACKEND_SERVER && host.service() == service && usable)
            return std::nullopt;
    }
    return Error { ErrorKind::InvalidArgument,
        "the host list has no " + std::string(live ? "live " : "") + "backend server \"" + server + "\" of service \""
            + service + "\"",
        "see sequoiactl hosts for the names" };
}

void announceDryRun(const std::string& holder, const google::protobuf::Message& request)
{
    std::cout << "dry run: nothing is sent. " << request.GetTypeName() << " for " << holder << ":\n"
              << request.DebugString();
}

ExitCode move(const Invocation& invocation, Fleet& fleet)
{
    const auto& arguments = invocation.arguments;
    if (auto error = checkServer(fleet, arguments[0], arguments[2], true))
        return fail(ExitCode::Conflict, *error);
    ServiceReader reader(fleet, arguments[0]);
    if (!reader.read())
        return reader.explainFailure();
    if (!reader.holderProcess())
        return failWithoutHolder(arguments[0]);
    wire::MoveRequest request;
    request.set_partition(arguments[0]);
    request.set_hash(keyHash(arguments[0], arguments[1]));
    request.set_target(arguments[2]);
    request.set_reason(invocation.options.reason);
    request.set_author(invocation.options.author);
    const auto& holder = reader.holderProcess()->address();
    if (invocation.options.dryRun) {
        auto slice = operatorcli::findSlice(reader.reply().record(), request.hash());
        std::cout << "present owner: " << (slice ? slice->owner() : "none") << '\n';
        announceDryRun(holder, request);
        return ExitCode::Success;
    }
    return report(invocation.options, holder, fleet.move(holder, request));
}

ExitCode confirmGone(const Invocation& invocation, Fleet& fleet)
{
    const auto& arguments = invocation.arguments;
    ServiceReader reader(fleet, arguments[0]);
    if (!reader.read())
        return reader.explainFailure();
    if (!reader.holderProcess())
        return failWithoutHolder(arguments[0]);
    wire::ConfirmGoneRequest request;
    request.set_partition(arguments[0]);
    request.set_server(arguments[1]);
    request.set_reason(invocation.options.reason);
    request.set_author(invocation.options.author);
    const auto& holder = reader.holderProcess()->address();
    if (invocation.options.dryRun) {
        announceDryRun(holder, request);
        return ExitCode::Success;
    }
    return report(invocation.options, holder, fleet.confirmGone(holder, request));
}

ExitCode explain(const Invocation& invocation)
{
    const auto& arguments = invocation.arguments;
    std::ifstream file;
    if (arguments.size() > 1) {
        file.open(arguments[1]);
        if (!file)
            return fail(ExitCode::InvalidArguments,
                { ErrorKind::NotFound, "cannot read " + arguments[1], "name a file with log lines of the hosts" });
    }
    std::vector<wire::Event> events;
    std::string line;
    while (std::getline(arguments.size() > 1 ? file : std::cin, line)) {
        if (auto event = timeline::parseEvent(line))
            events.push_back(std::move(*event));
    }
    auto read = events.size();
    auto explanation = operatorcli::explainRequest(arguments[0], std::move(events));
    if (!explanation.found)
        return fail(ExitCode::Failure,
            { ErrorKind::NotFound,
                "no line of request " + arguments[0] + " among " + std::to_string(read) + " log lines",
                "give the lines of all hosts; requests that a backend server answered are counted in the metrics "
                "only" });
    for (const auto& event : explanation.story)
        std::cout << timeline::formatEvent("info", event) << '\n';
    std::cout << '\n' << explanation.conclusion << '\n';
    return ExitCode::Success;
}

ExitCode showHelp(const Invocation& invocation)
{
    std::cout << (invocation.arguments.empty()
            ? operatorcli::overview()
            : operatorcli::helpFor(*operatorcli::findCommand(invocation.arguments[0])));
    return ExitCode::Success;
}

}

ExitCode runCommand(const Invocation& invocation)
{
    if (invocation.command->id == CommandId::Help)
        return showHelp(invocation);
    if (invocation.command->id == CommandId::Explain)
        return explain(invocation);
    Fleet fleet(invocation.options);
    if (invocation.command->id == CommandId::Hosts)
        return showHosts(invocation.options, fleet);
    if (auto error = fleet.discover(); error && fleet.addresses().empty())
        return fail(ExitCode::Unreachable, *error);
    else if (error)
        std::cerr << "sequoiactl: only --processes are asked, the host list is not readable: " << error->toString()
                  << '\n';
    switch (invocation.command->id) {
    case CommandId::Status:
        return showStatus(invocation.options, fleet);
    case CommandId::Owner:
        return showOwner(invocation, fleet);
    case CommandId::Routes:
        return showRoutes(invocation, fleet);
    case CommandId::Move:
        return move(invocation, fleet);
    case CommandId::ConfirmGone:
        return confirmGone(invocation, fleet);
    case CommandId::Timeline:
        return showTimeline(invocation.options, fleet);
    case CommandId::Hosts:
    case CommandId::Explain:
    case CommandId::Help:
        break;
    }
    return ExitCode::Failure;
}

}
