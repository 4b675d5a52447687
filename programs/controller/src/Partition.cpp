#include "Partition.h"

namespace sequoia::controller {

namespace {

//! Time that a long poll may take beyond its wait before the holder counts as silent.
Duration fetchGrace(const ownership::PartitionOptions& options)
{
    return options.lease.leaseLength / 2;
}

//! Short against the lease, so that a follower hears of its holder several times per lease.
Duration fetchWait(const ownership::PartitionOptions& options)
{
    return options.lease.leaseLength / 2;
}

wire::EventField fieldOf(const std::string& key, const std::string& value)
{
    wire::EventField field;
    field.set_key(key);
    field.set_value(value);
    return field;
}

Result<lease::VersionedRecord> parseRow(const Result<platform::Row>& result)
{
    if (!succeeded(result))
        return errorOf(result);
    lease::VersionedRecord found;
    found.version = valueOf(result).version;
    if (found.version != 0 && !found.record.ParseFromString(valueOf(result).value))
        return Error { ErrorKind::MalformedMessage, "the row is not a PartitionRecord",
            "restore the row of the table service from an earlier version" };
    return found;
}

std::string textOf(const ownership::EmitEvent& event)
{
    std::string text = event.kind;
    for (const auto& [key, value] : event.fields)
        text.append(" ").append(key).append("=").append(value);
    return text;
}

wire::OperatorReply refusal(const std::string& message)
{
    wire::OperatorReply reply;
    reply.set_message(message);
    return reply;
}

}

Partition::Partition(const PartitionEnvironment& shared, const ownership::PartitionOptions& partitionOptions)
    : environment(shared)
    , options(partitionOptions)
    , row("partition/" + partitionOptions.lease.partition)
    , machine(partitionOptions, shared.random)
    , witness(partitionOptions.lease.self.incarnation(), partitionOptions.lease.leaseLength,
          partitionOptions.lease.clockRateBound)
    , relay(partitionOptions.routeValidity)
    , source(partitionOptions.lease.self.address())
{
}

void Partition::tick()
{
    this->feed(ownership::Tick {});
    this->send(this->relay.onTick(this->environment.clock.now()));
    this->fetchFromHolder();
}

void Partition::onHosts(const wire::HostList& hosts)
{
    this->feed(ownership::HostsChanged { hosts });
}

void Partition::setPeers(const std::vector<std::string>& addresses)
{
    this->source.setPeers(addresses);
}

wire::PromiseReply Partition::promise(const wire::PromiseRequest& request)
{
    auto reply = this->witness.handle(request, this->environment.clock.now());
    if (reply.outcome() == wire::PROMISE_OUTCOME_GRANTED
        && request.candidate() != this->options.lease.self.incarnation())
        this->feed(ownership::HolderSeen {});
    return reply;
}

void Partition::fetchRoutes(const wire::FetchRoutesRequest& request, FetchCallback reply)
{
    this->updateRelay();
    auto id = ++this->lastRequest;
    this->fetchCallbacks[id] = std::move(reply);
    this->send(this->relay.onRequest(id, request, this->environment.clock.now()));
}

wire::OperatorReply Partition::move(const wire::MoveRequest& request)
{
    return this->operate(ownership::MoveRequested { request.hash(), request.target(), request.reason() },
        request.author().empty() ? "" : request.reason());
}

wire::OperatorReply Partition::confirmGone(const wire::ConfirmGoneRequest& request)
{
    return this->operate(ownership::GoneConfirmed { request.server(), request.reason(), request.author() },
        request.author().empty() ? "" : request.reason());
}

wire::OperatorReply Partition::operate(ownership::Input input, const std::string& reason)
{
    if (reason.empty())
        return refusal("a change needs a reason and an author; give both with the request");
    if (!this->machine.isHolder(this->environment.clock.now())) {
        const auto& holder = this->source.holder();
        if (holder.address().empty())
            return refusal("this controller is not the holder of " + this->options.lease.partition
                + " and knows no holder now; repeat the request after a few seconds");
        return refusal("this controller is not the holder of " + this->options.lease.partition
            + "; send the request to the holder " + holder.host() + " at " + holder.address());
    }
    std::vector<ownership::EmitEvent> emitted;
    this->operatorEvents = &emitted;
    this->feed(std::move(input));
    this->operatorEvents = nullptr;
    wire::OperatorReply reply;
    reply.set_accepted(true);
    std::string text;
    for (const auto& event : emitted) {
        if (event.kind.ends_with("_refused"))
            reply.set_accepted(false);
        text += (text.empty() ? "" : "; ") + textOf(event);
    }
    reply.set_message(text.empty() ? "queued; the time line shows how it is carried out or why it is refused" : text);
    return reply;
}

wire::PartitionStatus Partition::status() const
{
    auto status = this->machine.status(this->environment.clock.now());
    status.set_partition(this->options.lease.partition);
    bool holds = this->machine.isHolder(this->environment.clock.now());
    *status.mutable_holder() = holds ? this->options.lease.self : this->source.holder();
    if (!holds)
        status.set_route_version(this->relay.table().version());
    return status;
}

void Partition::shutDown()
{
    this->wasHolderAtStop = this->machine.isHolder(this->environment.clock.now());
    this->stopping = true;
    this->feed(ownership::ShutdownRequested {});
}

bool Partition::isHandedOver() const
{
    if (this->machine.isHolder(this->environment.clock.now()))
        return false;
    return !this->wasHolderAtStop || this->nextHolderSeen;
}

void Partition::stopRelaying()
{
    this->send(this->relay.onStop(this->environment.clock.now()));
}

void Partition::feed(ownership::Input input)
{
    this->inputs.push_back(std::move(input));
    // An output that is executed locally yields an input at once; it is handled after the outputs before it.
    if (this->feeding)
        return;
    this->feeding = true;
    while (!this->inputs.empty()) {
        auto next = std::move(this->inputs.front());
        this->inputs.pop_front();
        for (const auto& output : this->machine.handle(next, this->environment.clock.now()))
            std::visit([this](const auto& value) { this->execute(value); }, output);
    }
    this->feeding = false;
    this->updateRelay();
}

void Partition::updateRelay()
{
    const auto& record = this->machine.record();
    if (record.version > this->recordVersionSeen) {
        this->recordVersionSeen = record.version;
        this->relay.setRecord(record);
        this->source.onRecord(record.record.holder());
    }
    auto now = this->environment.clock.now();
    if (!this->machine.isHolder(now)) {
        this->relay.setHolder(this->source.holder());
        return;
    }
    this->relay.setHolder(this->options.lease.self);
    this->relay.confirm(this->machine.status(now).term(), now);
}

void Partition::send(const relay::RelayReplies& replies)
{
    for (const auto& reply : replies) {
        auto callback = this->fetchCallbacks.extract(reply.request);
        callback.mapped()(reply.reply);
    }
}

void Partition::execute(const ownership::ReadRecord&)
{
    ++this->environment.counters["record_reads"];
    this->environment.store.readRow(
        this->row, [this, guard = std::weak_ptr<bool>(this->alive)](const Result<platform::Row>& result) {
            if (!guard.expired())
                this->feed(ownership::RecordRead { parseRow(result) });
        });
}

void Partition::execute(const ownership::WriteRecord& output)
{
    ++this->environment.counters["record_writes"];
    auto onWritten = [this, writeId = output.writeId, guard = std::weak_ptr<bool>(this->alive)](
                         const Result<std::uint64_t>& result) {
        if (!guard.expired())
            this->feed(ownership::RecordWritten { writeId, result });
    };
    this->environment.store.writeRow(this->row, output.record.SerializeAsString(), output.expectedVersion, onWritten);
}

void Partition::execute(const ownership::SendPromise& output)
{
    auto sentAt = this->environment.clock.now();
    auto request = output.request;
    auto answered = [=](const wire::PromiseReply& reply) {
        return ownership::PromiseAnswered { reply, output.witness.incarnation(), sentAt, output.request.term(),
            output.request.generation(), output.request.record_version() };
    };
    if (output.witness.incarnation() == this->options.lease.self.incarnation()) {
        this->feed(answered(this->witness.handle(request, sentAt)));
        return;
    }
    ++this->environment.counters["promises_sent"];
    *request.mutable_time() = this->environment.events.hybridClock().tick();
    this->environment.peers.at(output.witness.address(), sentAt)
        .promise(request, this->options.lease.leaseLength,
            this->onTask<wire::PromiseReply>([this, answered](const Result<wire::PromiseReply>& result) {
                if (!succeeded(result)) {
                    ++this->environment.counters["promises_failed"];
                    return;
                }
                this->environment.events.hybridClock().observe(valueOf(result).time());
                this->feed(answered(valueOf(result)));
            }));
}

void Partition::execute(const ownership::SendGrant& output)
{
    auto sentAt = this->environment.clock.now();
    if (!this->machine.isHolder(sentAt)) {
        ++this->environment.counters["grants_withheld"];
        this->feed(ownership::GrantFailed { output.server, output.request.sequence() });
        return;
    }
    ++this->environment.counters["grants_sent"];
    auto request = output.request;
    auto time = this->environment.events.hybridClock().tick();
    request.set_trace_time(std::to_string(time.wall_ms()) + "." + std::to_string(time.counter()));
    this->environment.grants.send(output.address, request,
        [this, request, sentAt, server = output.server, guard = std::weak_ptr<bool>(this->alive)](
            const Result<wire::GrantReply>& result) {
            if (guard.expired())
                return;
            if (succeeded(result)) {
                this->feed(ownership::GrantAnswered { server, request, valueOf(result), sentAt });
                return;
            }
            ++this->environment.counters["grants_failed"];
            this->environment.events.record(timeline::Severity::Debug, "grant_failed",
                { { "server", server }, { "reason", errorOf(result).message } });
            this->feed(ownership::GrantFailed { server, request.sequence() });
        });
}

void Partition::execute(const ownership::PublishRoutes& output)
{
    auto now = this->environment.clock.now();
    if (!this->machine.isHolder(now)) {
        ++this->environment.counters["publications_withheld"];
        return;
    }
    this->relay.setRecord(this->machine.record());
    this->relay.setHolder(this->options.lease.self);
    this->send(this->relay.onPublished(output.table, now));
}

void Partition::execute(const ownership::EmitEvent& output)
{
    std::vector<wire::EventField> fields { fieldOf("partition", this->options.lease.partition) };
    for (const auto& [key, value] : output.fields) {
        if (key != "partition")
            fields.push_back(fieldOf(key, value));
    }
    this->environment.events.record(timeline::Severity::Info, output.kind, fields);
    if (this->operatorEvents)
        this->operatorEvents->push_back(output);
}

void Partition::fetchFromHolder()
{
    auto now = this->environment.clock.now();
    if (this->fetching || this->machine.isHolder(now))
        return;
    auto address = this->source.next();
    if (!address)
        return;
    bool asksHolder = this->source.holder().address() == *address;
    auto wait = asksHolder && !this->fetchRecord ? fetchWait(this->options) : Duration::zero();
    auto request = this->relay.nextRequest(wait);
    if (this->fetchRecord) {
        request.clear_known_term();
        request.clear_known_version();
    }
    request.set_partition(this->options.lease.partition);
    *request.mutable_time() = this->environment.events.hybridClock().tick();
    this->fetching = true;
    ++this->environment.counters["fetches_sent"];
    this->environment.peers.at(*address, now)
        .fetchRoutes(request, wait + fetchGrace(this->options),
            this->onTask<wire::FetchRoutesReply>(
                [this, address = *address, request, now](
                    const Result<wire::FetchRoutesReply>& result) { this->onFetched(address, request, now, result); }));
}

void Partition::onFetched(const std::string& address, const wire::FetchRoutesRequest& request, TimePoint askedAt,
    const Result<wire::FetchRoutesReply>& result)
{
    this->fetching = false;
    if (!succeeded(result)) {
        ++this->environment.counters["fetches_failed"];
        this->source.onFailure(address);
        return;
    }
    const auto& reply = valueOf(result);
    this->environment.events.hybridClock().observe(reply.time());
    bool fromHolder = this->source.onReply(address, reply);
    this->send(this->relay.onFetched(request, reply, askedAt, this->environment.clock.now()));
    if (reply.has_record())
        this->feed(ownership::RecordCached { { reply.record(), reply.record_version() } });
    if (fromHolder)
        this->feed(ownership::HolderSeen {});
    if (fromHolder && this->stopping)
        this->nextHolderSeen = true;
    this->fetchRecord = reply.record_version() > this->machine.record().version;
    // Anything but a completed long poll is repeated with the next tick, which bounds the rate of fetches.
    if (fromHolder && request.wait_ms() > 0)
        this->fetchFromHolder();
}

template <typename Reply, typename Function> rpc::Callback<Reply> Partition::onTask(Function function)
{
    auto& task = this->environment.task;
    return [&task, guard = std::weak_ptr<bool>(this->alive), function = std::move(function)](Result<Reply> result) {
        task.post([guard, function, result = std::move(result)] {
            if (!guard.expired())
                function(result);
        });
    };
}

}
