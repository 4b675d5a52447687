#include "StandInServer.h"

#include "Listening.h"
#include "RawAnswer.h"
#include "standin/Pattern.h"

#include <algorithm>
#include <cstdlib>
#include <google/protobuf/util/json_util.h>
#include <refusal.pb.h>

namespace sequoia::standin {

namespace {

using google::protobuf::util::JsonStringToMessage;
using google::protobuf::util::MessageToJsonString;
using timeline::Severity;

constexpr std::uint64_t readPartSize = std::size_t(64) * 1024;
constexpr auto healthInterval = std::chrono::milliseconds(50);
constexpr auto stopInterval = std::chrono::milliseconds(20);
// A connection that carried a response twice stays open for this time, so that its caller can use it again.
constexpr auto twiceHold = std::chrono::seconds(5);
constexpr const char* json = "application/json";

std::string toJson(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    std::string text;
    [[maybe_unused]] auto status = MessageToJsonString(message, &text, options);
    return text;
}

void respond(SoupServerMessage* message, guint status, const std::string& body)
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, json, SOUP_MEMORY_COPY, body.data(), body.size());
}

std::string bodyOf(SoupServerMessage* message)
{
    GBytes* bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    std::string body(data ? data : "", size);
    g_bytes_unref(bytes);
    return body;
}

bool isMethod(SoupServerMessage* message, std::string_view method)
{
    return method == soup_server_message_get_method(message);
}

void respondMistake(SoupServerMessage* message, guint status, const std::string& text, const std::string& remedy)
{
    wire::Refusal refusal;
    refusal.set_outcome("not-run");
    refusal.set_code(status == SOUP_STATUS_METHOD_NOT_ALLOWED ? "method_not_allowed" : "malformed_message");
    refusal.set_message(text);
    refusal.set_remedy(remedy);
    respond(message, status, toJson(refusal));
}

}

StandInServer::StandInServer(
    StandInOptions standInOptions, const Clock& systemClock, timeline::EventLog& eventLog, ExecutionLog executionLog)
    : options(std::move(standInOptions))
    , clock(systemClock)
    , events(eventLog)
    , executions(std::move(executionLog))
    , behaviour(this->options.behaviour)
    , grants(this->options.incarnation, this->options.checksOrders)
    , slots(this->behaviour.slots(), this->behaviour.queue())
    , times(this->options.seed, systemClock.now())
    , soupServer(soup_server_new(nullptr, nullptr))
    , idleConnections(this->soupServer.get())
{
    this->applyBehaviour(this->behaviour);
    this->addHandlers();
    this->healthTimer = std::make_unique<runtime::Timer>(healthInterval, runtime::Timer::Repeat::Always,
        [this] { this->health.add(this->clock.now(), this->currentHealth()); });
}

StandInServer::~StandInServer()
{
    soup_server_disconnect(this->soupServer.get());
    this->byMessage.clear();
    this->exchanges.clear();
}

Result<Success> StandInServer::listen()
{
    auto listening = listenOn(this->soupServer.get(), this->options.listen);
    if (!succeeded(listening))
        return errorOf(listening);
    this->boundPort = valueOf(listening);
    auto host = this->options.listen.substr(0, this->options.listen.rfind(':'));
    auto address = host + ":" + std::to_string(this->port());
    this->events.record(Severity::Info, "listening", { { "address", address }, { "id", this->options.id } });
    if (this->options.registers) {
        if (this->options.id.empty() || this->options.service.empty())
            return Error { ErrorKind::InvalidSettings, "a stand-in without id or service cannot register itself",
                "set host.id and server_standin.service" };
        this->registration = std::make_unique<Registration>(this->options, address, this->events);
    }
    return Success {};
}

void StandInServer::addHandlers()
{
    auto* server = this->soupServer.get();
    auto add = [&](const char* path, SoupServerCallback callback) {
        soup_server_add_handler(server, path, callback, this, nullptr);
    };
    add("/control/v1/grant", [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self) {
        static_cast<StandInServer*>(self)->onGrant(message);
    });
    add("/control/v1/health", [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self) {
        static_cast<StandInServer*>(self)->onHealth(message);
    });
    add("/control/v1/faults", [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self) {
        static_cast<StandInServer*>(self)->onFaults(message);
    });
    add("/control/v1/executions", [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self) {
        static_cast<StandInServer*>(self)->onExecutions(message);
    });
    add("/", [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self) {
        static_cast<StandInServer*>(self)->onBodyEnd(message);
    });
    soup_server_add_early_handler(
        server, "/",
        [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self) {
            static_cast<StandInServer*>(self)->onHead(message, path, query);
        },
        this, nullptr);
}

void StandInServer::onGrant(SoupServerMessage* message)
{
    if (!isMethod(message, "POST")) {
        respondMistake(message, SOUP_STATUS_METHOD_NOT_ALLOWED, "a grant is sent by POST", "send POST");
        return;
    }
    wire::GrantRequest request;
    auto status = JsonStringToMessage(bodyOf(message), &request);
    if (!status.ok()) {
        respondMistake(message, SOUP_STATUS_BAD_REQUEST, status.ToString(), "send the JSON mapping of GrantRequest");
        return;
    }
    auto reply = this->grants.handle(request, this->clock.now());
    this->holdsSlices = reply.held_size() > 0 || reply.releasing_size() > 0;
    this->events.record(Severity::Debug, "grant",
        { { "outcome", wire::GrantOutcome_Name(reply.outcome()) }, { "term", std::to_string(request.term()) },
            { "sequence", std::to_string(request.sequence()) }, { "held", std::to_string(reply.held_size()) },
            { "lease_left_ms", std::to_string(reply.lease_left_ms()) } });
    respond(message, SOUP_STATUS_OK, toJson(reply));
    if (this->behaviour.grant_delay_ms() == 0)
        return;
    soup_server_message_pause(message);
    GSource* timer = g_timeout_source_new(this->behaviour.grant_delay_ms());
    g_source_set_callback(
        timer,
        [](gpointer paused) -> gboolean {
            soup_server_message_unpause(SOUP_SERVER_MESSAGE(paused));
            return G_SOURCE_REMOVE;
        },
        g_object_ref(message), g_object_unref);
    g_source_attach(timer, g_main_context_get_thread_default());
    g_source_unref(timer);
}

wire::ServerHealth StandInServer::currentHealth() const
{
    wire::ServerHealth now;
    now.set_healthy(!this->draining);
    now.set_draining(this->draining);
    auto busy = static_cast<std::uint32_t>(this->slots.running());
    now.set_occupied_slots(busy);
    now.set_load((busy + static_cast<double>(this->slots.waiting())) / this->behaviour.slots());
    now.set_requests_started(this->startedRequests);
    return now;
}

void StandInServer::onHealth(SoupServerMessage* message)
{
    auto lag = std::chrono::milliseconds(this->behaviour.health_lag_ms());
    auto report = lag.count() == 0 ? this->currentHealth() : this->health.report(this->clock.now(), lag);
    if (this->behaviour.misleading_health()) {
        report.set_healthy(true);
        report.set_draining(false);
        report.set_load(0);
        report.set_occupied_slots(0);
    }
    respond(message, SOUP_STATUS_OK, toJson(report));
}

void StandInServer::onFaults(SoupServerMessage* message)
{
    if (isMethod(message, "PUT")) {
        wire::ServerFaults faults;
        auto status = JsonStringToMessage(bodyOf(message), &faults);
        if (!status.ok()) {
            respondMistake(
                message, SOUP_STATUS_BAD_REQUEST, status.ToString(), "send the JSON mapping of ServerFaults");
            return;
        }
        auto merged = withFaults(this->options.behaviour, faults);
        if (!succeeded(merged)) {
            respondMistake(message, SOUP_STATUS_BAD_REQUEST, errorOf(merged).message, errorOf(merged).remedy);
            return;
        }
        this->applyBehaviour(valueOf(merged));
        this->events.record(Severity::Info, "faults_set", { { "faults", faults.ShortDebugString() } });
    } else if (!isMethod(message, "GET")) {
        respondMistake(message, SOUP_STATUS_METHOD_NOT_ALLOWED, "faults are read by GET and set by PUT", "send PUT");
        return;
    }
    respond(message, SOUP_STATUS_OK, toJson(this->behaviour));
}

void StandInServer::applyBehaviour(const wire::ServerFaults& next)
{
    this->behaviour = next;
    this->slots.setLimits(next.slots(), next.queue());
    this->connections.setLimit(next.connections());
    this->startWaiting();
}

void StandInServer::onExecutions(SoupServerMessage* message)
{
    respond(message, SOUP_STATUS_OK, toJson(this->executions.executions()));
}

void StandInServer::onHead(SoupServerMessage* message, const char* path, Query* query)
{
    // Bodies are streamed: each part is dropped as soon as it is hashed.
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    auto parsed = parseHead(message, path, query);
    auto owned = std::make_unique<Exchange>(*this, this->nextNumber++, message, std::move(parsed.head));
    auto& exchange = *owned;
    this->exchanges.emplace(exchange.number, std::move(owned));
    this->byMessage.emplace(message, &exchange);
    // With Expect: 100-continue the caller sends no body after a refusal.
    auto expectations = soup_message_headers_get_expectations(soup_server_message_get_request_headers(message));
    exchange.bodyPending = (expectations & SOUP_EXPECTATION_CONTINUE) == 0;
    void (*onFinished)(SoupServerMessage*, gpointer) = [](SoupServerMessage*, gpointer self) {
        auto& ended = *static_cast<Exchange*>(self);
        ended.server.finish(ended);
    };
    void (*onPart)(SoupServerMessage*, GBytes*, gpointer) = [](SoupServerMessage*, GBytes* part, gpointer self) {
        auto& receiving = *static_cast<Exchange*>(self);
        receiving.server.onBodyPart(receiving, part);
    };
    g_signal_connect(message, "finished", G_CALLBACK(onFinished), &exchange);
    g_signal_connect(message, "got-chunk", G_CALLBACK(onPart), &exchange);
    if (!parsed.mistake.empty()) {
        this->refuse(
            exchange, SOUP_STATUS_BAD_REQUEST, "not-run", "malformed_request", parsed.mistake, "correct the request");
        return;
    }
    this->admitConnection(exchange);
}

void StandInServer::admitConnection(Exchange& exchange)
{
    auto connection = this->connections.check(exchange.message.get());
    Duration cost(this->behaviour.connection_cost_us());
    if (connection == ConnectionLimit::Connection::Refused) {
        // libsoup is still inside the message here, so the connection is closed from the main loop.
        exchange.pause();
        exchange.serviceTimer = std::make_unique<runtime::Timer>(
            Duration::zero(), runtime::Timer::Repeat::Once, [this, &exchange] { this->drop(exchange); });
        return;
    }
    if (connection == ConnectionLimit::Connection::Known || cost <= Duration::zero()) {
        this->admit(exchange);
        return;
    }
    exchange.pause();
    exchange.serviceTimer = std::make_unique<runtime::Timer>(
        cost, runtime::Timer::Repeat::Once, [this, &exchange] { this->admit(exchange); });
}

void StandInServer::admit(Exchange& exchange)
{
    if (this->draining || this->behaviour.drain()) {
        this->refuse(exchange, SOUP_STATUS_SERVICE_UNAVAILABLE, "not-run", "draining", "the server drains",
            "send the request to another server");
        return;
    }
    if (!this->mayServe(exchange)) {
        this->refuse(exchange, SOUP_STATUS_MISDIRECTED_REQUEST, "not-run", "not_owner",
            "the server does not own the key now", "refresh the route");
        return;
    }
    bool shed = this->behaviour.shed_fraction() > 0 && this->times.chance(this->behaviour.shed_fraction());
    auto admission = shed ? SlotQueue::Admission::Refused : this->slots.offer(exchange.number);
    if (admission == SlotQueue::Admission::Refused) {
        this->refuse(exchange, SOUP_STATUS_SERVICE_UNAVAILABLE, "not-run", "overload", "the server sheds load",
            "send the request again later");
        return;
    }
    if (exchange.head.deadlineMs && this->behaviour.obey_deadline())
        exchange.deadlineTimer = std::make_unique<runtime::Timer>(fromMillis(*exchange.head.deadlineMs),
            runtime::Timer::Repeat::Once, [this, &exchange] { this->onDeadline(exchange); });
    if (admission == SlotQueue::Admission::Started) {
        this->run(exchange);
        return;
    }
    exchange.pause();
    if (this->behaviour.cancel_on_close())
        exchange.watchConnection([this, &exchange] { this->drop(exchange); });
}

bool StandInServer::mayServe(const Exchange& exchange) const
{
    return this->options.serveWithoutGrant || this->grants.mayServe(exchange.hash, this->clock.now());
}

void StandInServer::run(Exchange& exchange)
{
    // The grant is checked again here: it can have ended while the request waited.
    if (!this->options.serveWithoutGrant) {
        exchange.token = this->grants.start(exchange.hash, this->clock.now());
        if (!exchange.token) {
            this->refuse(exchange, SOUP_STATUS_MISDIRECTED_REQUEST, "not-run", "not_owner",
                "the server does not own the key any more", "refresh the route");
            return;
        }
    }
    ++this->startedRequests;
    exchange.state = Exchange::State::Receiving;
    MarkerSearch inPath;
    if (inPath.add(this->behaviour.poison(), exchange.head.path))
        std::abort();
    exchange.resume();
}

void StandInServer::startWaiting()
{
    while (auto next = this->slots.startNext())
        this->run(*this->exchanges.at(*next));
}

void StandInServer::onBodyPart(Exchange& exchange, GBytes* part)
{
    if (exchange.state != Exchange::State::Receiving)
        return;
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(part, &size));
    XXH3_64bits_update(exchange.bodyHash.get(), data, size);
    exchange.bodyLength += size;
    if (exchange.poison.add(this->behaviour.poison(), { data, size }))
        std::abort();
}

void StandInServer::onBodyEnd(SoupServerMessage* message)
{
    auto found = this->byMessage.find(message);
    if (found == this->byMessage.end())
        return;
    auto& exchange = *found->second;
    exchange.bodyPending = false;
    if (exchange.state == Exchange::State::Discarding) {
        exchange.state = Exchange::State::Answering;
        respond(message, exchange.refusalStatus, exchange.refusalBody);
        return;
    }
    if (exchange.state != Exchange::State::Receiving)
        return;
    exchange.state = Exchange::State::Running;
    if (exchange.head.isWrite)
        this->recordExecution(exchange);
    exchange.pause();
    if (this->behaviour.cancel_on_close() || this->behaviour.answer() == wire::ANSWER_FAULT_STALL)
        exchange.watchConnection([this, &exchange] { this->drop(exchange); });
    exchange.serviceTimer = std::make_unique<runtime::Timer>(this->times.next(this->behaviour, this->clock.now()),
        runtime::Timer::Repeat::Once, [this, &exchange] { this->answer(exchange); });
}

void StandInServer::recordExecution(const Exchange& exchange)
{
    wire::Execution execution;
    execution.set_idempotency_key(exchange.head.idempotencyKey);
    execution.set_request_id(exchange.head.requestId);
    execution.set_key(exchange.head.key);
    execution.set_service(exchange.head.service);
    execution.set_server(this->options.id);
    execution.set_incarnation(this->options.incarnation);
    execution.set_slice_epoch(exchange.head.sliceEpoch);
    execution.set_wall_ms(this->clock.wallNow());
    if (!this->executions.record(std::move(execution)))
        this->events.record(Severity::Error, "journal_failed",
            { { "journal", this->options.journal }, { "remedy", "free space and start the trial again" } });
}

void StandInServer::onDeadline(Exchange& exchange)
{
    if (exchange.state == Exchange::State::Answering || exchange.state == Exchange::State::Discarding)
        return;
    // The effects of a request that has started are not undone, so the server does not claim that it did not run.
    bool started = exchange.state != Exchange::State::Waiting;
    this->refuse(exchange, SOUP_STATUS_GATEWAY_TIMEOUT, started ? "unknown" : "not-run", "deadline_exceeded",
        "the deadline passed", "send the request with a longer deadline");
}

void StandInServer::answer(Exchange& exchange)
{
    auto fault = this->behaviour.answer();
    if (fault != wire::ANSWER_FAULT_NONE && !this->times.chance(this->behaviour.answer_fraction()))
        fault = wire::ANSWER_FAULT_NONE;
    // A stalled request keeps its slot; its deadline or the end of its connection removes it.
    if (fault == wire::ANSWER_FAULT_STALL)
        return;
    exchange.state = Exchange::State::Answering;
    this->releaseSlot(exchange);
    auto* message = exchange.message.get();
    auto* headers = soup_server_message_get_response_headers(message);
    auto requestId = exchange.head.requestId;
    if (fault == wire::ANSWER_FAULT_WRONG_REQUEST_ID)
        requestId = "wrong-" + requestId;
    if (fault != wire::ANSWER_FAULT_NONE && fault != wire::ANSWER_FAULT_WRONG_REQUEST_ID) {
        this->answerRaw(exchange, fault);
        return;
    }
    soup_message_headers_replace(headers, "Sequoia-Outcome", "answered");
    soup_message_headers_replace(headers, "Sequoia-Request-Id", requestId.c_str());
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    if (exchange.head.isWrite) {
        auto body = toJson(this->writeAnswer(exchange));
        soup_server_message_set_response(message, json, SOUP_MEMORY_COPY, body.data(), body.size());
    } else {
        soup_message_headers_set_content_type(headers, "application/octet-stream", nullptr);
        soup_message_headers_set_content_length(headers, static_cast<goffset>(exchange.head.readSize));
        soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
        void (*onPartWritten)(SoupServerMessage*, gpointer) = [](SoupServerMessage*, gpointer self) {
            auto& answering = *static_cast<Exchange*>(self);
            answering.server.appendReadPart(answering);
        };
        g_signal_connect(message, "wrote-chunk", G_CALLBACK(onPartWritten), &exchange);
        this->appendReadPart(exchange);
    }
    exchange.resume();
}

wire::WriteAnswer StandInServer::writeAnswer(const Exchange& exchange) const
{
    wire::WriteAnswer answer;
    answer.set_length(exchange.bodyLength);
    answer.set_hash(XXH3_64bits_digest(exchange.bodyHash.get()));
    answer.set_key(exchange.head.key);
    answer.set_idempotency_key(exchange.head.idempotencyKey);
    answer.set_server(this->options.id);
    return answer;
}

void StandInServer::appendReadPart(Exchange& exchange)
{
    auto* body = soup_server_message_get_response_body(exchange.message.get());
    auto size = std::min(readPartSize, exchange.head.readSize - exchange.answered);
    if (size == 0) {
        soup_message_body_complete(body);
        return;
    }
    std::string part(size, '\0');
    Pattern(exchange.head.service, exchange.head.key, exchange.head.readSize).fill(exchange.answered, part);
    exchange.answered += size;
    GBytes* bytes = g_bytes_new(part.data(), part.size());
    soup_message_body_append_bytes(body, bytes);
    g_bytes_unref(bytes);
}

void StandInServer::answerRaw(Exchange& exchange, wire::AnswerFault fault)
{
    std::string body;
    if (exchange.head.isWrite)
        body = toJson(this->writeAnswer(exchange));
    else {
        body.resize(exchange.head.readSize);
        Pattern(exchange.head.service, exchange.head.key, exchange.head.readSize).fill(0, body);
    }
    std::string response = "HTTP/1.1 200 OK\r\nSequoia-Outcome: answered\r\nSequoia-Request-Id: "
        + exchange.head.requestId + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Duration hold = Duration::zero();
    if (fault == wire::ANSWER_FAULT_GARBAGE)
        response = "\x01\x02 this is no HTTP response\r\n\r\n";
    else if (fault == wire::ANSWER_FAULT_CLOSE_MIDWAY)
        response.resize(response.size() - (body.size() + 1) / 2);
    else if (fault == wire::ANSWER_FAULT_TWICE) {
        response += response;
        hold = twiceHold;
    }
    auto* stream = soup_server_message_steal_connection(exchange.message.get());
    writeRaw(stream, std::move(response), hold, [] {});
    this->finish(exchange);
}

void StandInServer::refuse(Exchange& exchange, guint status, std::string_view outcome, const std::string& code,
    const std::string& message, const std::string& remedy)
{
    exchange.serviceTimer.reset();
    wire::Refusal refusal;
    refusal.set_outcome(std::string(outcome));
    refusal.set_code(code);
    refusal.set_message(message);
    refusal.set_remedy(remedy);
    refusal.set_request_id(exchange.head.requestId);
    auto* headers = soup_server_message_get_response_headers(exchange.message.get());
    soup_message_headers_replace(headers, "Sequoia-Outcome", refusal.outcome().c_str());
    soup_message_headers_replace(headers, "Sequoia-Request-Id", exchange.head.requestId.c_str());
    if (exchange.bodyPending) {
        // A status that is set before the end of the body makes libsoup take the rest for the next request.
        exchange.state = Exchange::State::Discarding;
        exchange.refusalStatus = status;
        exchange.refusalBody = toJson(refusal);
    } else {
        exchange.state = Exchange::State::Answering;
        respond(exchange.message.get(), status, toJson(refusal));
    }
    exchange.resume();
    this->releaseSlot(exchange);
}

void StandInServer::drop(Exchange& exchange)
{
    this->events.record(Severity::Debug, "request_cancelled", { { "request", exchange.head.requestId } });
    ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(exchange.message.get()));
    if (stream)
        g_io_stream_close(stream.get(), nullptr, nullptr);
    this->finish(exchange);
}

void StandInServer::releaseSlot(Exchange& exchange)
{
    this->slots.remove(exchange.number);
    this->startWaiting();
}

void StandInServer::finish(Exchange& exchange)
{
    auto number = exchange.number;
    if (exchange.token)
        this->grants.finish(*exchange.token);
    this->byMessage.erase(exchange.message.get());
    this->slots.remove(number);
    this->exchanges.erase(number);
    this->startWaiting();
}

void StandInServer::stop(std::function<void()> finished)
{
    if (!this->registration) {
        this->drain(std::move(finished));
        return;
    }
    this->events.record(Severity::Info, "leaving", { { "holds_slices", this->holdsSlices ? "true" : "false" } });
    this->registration->leave([this] { this->leaveConfirmed = true; });
    auto end = this->clock.now() + this->options.leaveWait;
    this->stopTimer = std::make_unique<runtime::Timer>(
        stopInterval, runtime::Timer::Repeat::Always, [this, end, finished = std::move(finished)] {
            bool released = this->leaveConfirmed && !this->holdsSlices;
            if (released || this->clock.now() >= end) {
                auto whenDrained = finished;
                this->drain(whenDrained);
            }
        });
}

void StandInServer::drain(std::function<void()> finished)
{
    this->draining = true;
    this->events.record(
        Severity::Info, "draining", { { "requests_in_progress", std::to_string(this->exchanges.size()) } });
    this->stopTimer = std::make_unique<runtime::Timer>(
        stopInterval, runtime::Timer::Repeat::Always, [this, finished = std::move(finished)] {
            if (!this->exchanges.empty())
                return;
            auto whenDrained = finished;
            this->stopTimer.reset();
            whenDrained();
        });
}

}
