#include "Controller.h"

#include "core/Random.h"

namespace sequoia::controller {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(50);
//! A takeover takes about 1.2 s; after this limit another controller takes over without this process.
constexpr Duration shutdownLimit = std::chrono::seconds(4);

wire::Process processOf(const runtime::ProgramContext& context)
{
    wire::Process process;
    process.set_incarnation(context.incarnation);
    process.set_address(context.settings.text("controller", "listen"));
    process.set_host(context.settings.text("host", "id"));
    process.set_data_centre(context.settings.text("host", "data_centre"));
    return process;
}

ownership::PartitionOptions optionsOf(
    const settings::Settings& settings, const std::string& service, const wire::Process& self)
{
    ownership::PartitionOptions options;
    options.lease.partition = service;
    options.lease.self = self;
    options.lease.leaseLength = settings.duration("ownership", "controller_lease");
    options.lease.renewInterval = settings.duration("ownership", "controller_renew");
    options.lease.clockRateBound = settings.real("ownership", "clock_rate_bound");
    options.lease.witnessCount = static_cast<std::size_t>(settings.number("ownership", "witnesses"));
    options.lease.serverLease = settings.duration("ownership", "server_lease");
    options.serverLease = settings.duration("ownership", "server_lease");
    options.serverRenewInterval = settings.duration("ownership", "server_renew");
    options.routeValidity = settings.duration("router", "route_validity");
    options.slicesPerServer = static_cast<std::size_t>(settings.number("ownership", "slices_per_server"));
    return options;
}

wire::OperatorReply unknownPartition(const std::string& name)
{
    wire::OperatorReply reply;
    reply.set_message("service \"" + name + "\" is not configured here; give the name of a [service NAME] section");
    return reply;
}

}

Controller::Controller(const runtime::ProgramContext& context, runtime::Task& owner)
    : task(owner)
    , clock(context.clock)
    , events(context.events)
    , self(processOf(context))
    , random(systemSeededEngine())
    , platformClient(platform::HttpPlatformOptions::fromSettings(context.settings))
    , grants(context.settings.duration("ownership", "server_lease") / 2)
    , directory(this->self, context.settings.list("controller", "peers"))
{
    PartitionEnvironment environment { this->task, this->clock, this->events, this->platformClient, this->peers,
        this->grants, this->random, this->counters };
    for (const auto& service : context.settings.services())
        this->partitions[service]
            = std::make_unique<Partition>(environment, optionsOf(context.settings, service, this->self));
    this->onDirectoryChanged();
    this->readHosts();
    this->tickTimer
        = std::make_unique<runtime::Timer>(tickInterval, runtime::Timer::Repeat::Always, [this] { this->tick(); });
    this->hostsTimer = std::make_unique<runtime::Timer>(context.settings.duration("platform", "poll_interval"),
        runtime::Timer::Repeat::Always, [this] { this->readHosts(); });
}

Controller::~Controller()
{
    this->tickTimer.reset();
    this->hostsTimer.reset();
    // Callbacks that arrive during the destruction of the clients find their partition gone.
    this->alive.reset();
    this->partitions.clear();
}

wire::PromiseReply Controller::promise(const wire::PromiseRequest& request)
{
    this->events.hybridClock().observe(request.time());
    wire::PromiseReply reply;
    if (auto* found = this->partition(request.partition()))
        reply = found->promise(request);
    *reply.mutable_time() = this->events.hybridClock().tick();
    return reply;
}

void Controller::fetchRoutes(const wire::FetchRoutesRequest& request, const Partition::FetchCallback& reply)
{
    this->events.hybridClock().observe(request.time());
    auto stamped = [this, reply](wire::FetchRoutesReply answer) {
        *answer.mutable_time() = this->events.hybridClock().tick();
        reply(answer);
    };
    if (auto* found = this->partition(request.partition()))
        found->fetchRoutes(request, stamped);
    else
        stamped({});
}

wire::StatusReply Controller::status()
{
    wire::StatusReply reply;
    *reply.mutable_process() = this->self;
    reply.set_program("sequoia-controller");
    reply.set_state(this->finished ? "stopping" : "running");
    for (const auto& [name, partition] : this->partitions)
        *reply.add_partitions() = partition->status();
    for (const auto& [name, value] : this->counters) {
        auto* counter = reply.add_counters();
        counter->set_name(name);
        counter->set_value(value);
    }
    *reply.mutable_time() = this->events.hybridClock().tick();
    return reply;
}

wire::FetchEventsReply Controller::fetchEvents(const wire::FetchEventsRequest& request)
{
    this->events.hybridClock().observe(request.time());
    auto [found, dropped] = this->events.eventsAfter(request.after_number());
    wire::FetchEventsReply reply;
    for (auto& event : found)
        *reply.add_events() = std::move(event);
    reply.set_dropped(dropped);
    *reply.mutable_time() = this->events.hybridClock().tick();
    return reply;
}

wire::OperatorReply Controller::move(const wire::MoveRequest& request)
{
    this->events.record(timeline::Severity::Info, "move_requested",
        { { "partition", request.partition() }, { "hash", std::to_string(request.hash()) },
            { "target", request.target() }, { "author", request.author() }, { "reason", request.reason() } });
    auto* found = this->partition(request.partition());
    return found ? found->move(request) : unknownPartition(request.partition());
}

wire::OperatorReply Controller::confirmGone(const wire::ConfirmGoneRequest& request)
{
    this->events.record(timeline::Severity::Info, "confirm_gone_requested",
        { { "partition", request.partition() }, { "server", request.server() }, { "author", request.author() },
            { "reason", request.reason() } });
    auto* found = this->partition(request.partition());
    return found ? found->confirmGone(request) : unknownPartition(request.partition());
}

void Controller::shutDown(std::function<void()> callback)
{
    this->finished = std::move(callback);
    this->shutdownEnd = this->clock.now() + shutdownLimit;
    for (const auto& [name, partition] : this->partitions)
        partition->shutDown();
    this->finishWhenHandedOver();
}

void Controller::stopRelaying()
{
    for (const auto& [name, partition] : this->partitions)
        partition->stopRelaying();
}

void Controller::tick()
{
    for (const auto& [name, partition] : this->partitions)
        partition->tick();
    if (this->finished)
        this->finishWhenHandedOver();
}

void Controller::readHosts()
{
    this->peers.prune(this->clock.now());
    this->identifyPeers();
    if (this->readingHosts)
        return;
    this->readingHosts = true;
    this->platformClient.readHosts([this](const Result<wire::HostList>& result) { this->onHostsRead(result); });
}

void Controller::onHostsRead(const Result<wire::HostList>& result)
{
    this->readingHosts = false;
    bool readable = succeeded(result);
    if (readable != this->hostsReadable) {
        this->hostsReadable = readable;
        this->events.record(readable ? timeline::Severity::Info : timeline::Severity::Warn,
            readable ? "host_list_readable" : "host_list_unreadable",
            { { "reason", readable ? "the platform answers again" : errorOf(result).toString() } });
    }
    if (!readable)
        return;
    this->directory.setHosts(valueOf(result));
    this->onDirectoryChanged();
}

void Controller::identifyPeers()
{
    auto now = this->clock.now();
    for (const auto& address : this->directory.toIdentify()) {
        auto onIdentified = [this, address](const Result<wire::StatusReply>& result) {
            if (!succeeded(result)) {
                this->directory.onUnreachable(address);
                return;
            }
            this->events.hybridClock().observe(valueOf(result).time());
            this->directory.onIdentified(address, valueOf(result).process());
            this->onDirectoryChanged();
        };
        this->peers.at(address, now)
            .status({}, std::chrono::seconds(1),
                [&task = this->task, onIdentified, guard = std::weak_ptr<bool>(this->alive)](
                    const Result<wire::StatusReply>& result) {
                    task.post([onIdentified, guard, result] {
                        if (!guard.expired())
                            onIdentified(result);
                    });
                });
    }
}

void Controller::onDirectoryChanged()
{
    auto addresses = this->directory.addresses();
    auto hosts = this->directory.hosts();
    for (const auto& [name, partition] : this->partitions) {
        partition->setPeers(addresses);
        if (hosts)
            partition->onHosts(*hosts);
    }
}

void Controller::finishWhenHandedOver()
{
    bool expired = this->clock.now() >= this->shutdownEnd;
    for (const auto& [name, partition] : this->partitions) {
        if (partition->isHandedOver())
            continue;
        if (!expired)
            return;
        this->events.record(timeline::Severity::Warn, "handover_unconfirmed",
            { { "partition", name }, { "remedy", "check with sequoiactl status that another controller is holder" } });
    }
    this->events.record(timeline::Severity::Info, "handover_finished", {});
    this->tickTimer.reset();
    std::exchange(this->finished, nullptr)();
}

Partition* Controller::partition(const std::string& name)
{
    auto found = this->partitions.find(name);
    return found == this->partitions.end() ? nullptr : found->second.get();
}

}
