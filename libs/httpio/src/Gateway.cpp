#include "httpio/Gateway.h"

#include <algorithm>
#include <cassert>
#include <google/protobuf/util/json_util.h>
#include <refusal.pb.h>

namespace sequoia::httpio {

namespace {

using dispatch::Outcome;
using dispatch::RefusalCode;

constexpr const char* healthTarget = "/sequoia/health";
constexpr const char* metricsTarget = "/sequoia/metrics";
constexpr const char* jsonType = "application/json";
constexpr const char* textType = "text/plain; version=0.0.4";
constexpr const char* retryAfterSeconds = "1";
constexpr unsigned statusOk = 200;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr Duration drainCheckInterval = std::chrono::milliseconds(20);
// A caller may have sent a request on a kept-alive connection shortly before it learns of the stop.
constexpr unsigned drainQuietChecks = 5;

std::string refusalBody(
    Outcome outcome, const dispatch::RefusalTraits& traits, const std::string& detail, const std::string& id)
{
    wire::Refusal refusal;
    refusal.set_outcome(std::string(nameOf(dispatch::outcomeNames, outcome)));
    refusal.set_code(std::string(traits.name));
    refusal.set_message(detail.empty() ? std::string(traits.message) : detail);
    refusal.set_remedy(std::string(traits.remedy));
    refusal.set_request_id(id);
    std::string text;
    google::protobuf::util::JsonPrintOptions printing;
    printing.always_print_primitive_fields = true;
    auto status = google::protobuf::util::MessageToJsonString(refusal, &text, printing);
    assert(status.ok());
    return text;
}

dispatch::Dispatcher::Options dispatcherOptions(const Gateway::Options& options)
{
    dispatch::Dispatcher::Options result;
    result.retryBudget = options.retryBudget;
    for (const auto& [name, service] : options.services)
        result.services[name] = { service.connections, service.queueLimit };
    return result;
}

//! Codes after which the rest of the request body may never arrive.
bool bodyMayStall(RefusalCode code)
{
    return code == RefusalCode::DeadlineExceeded || code == RefusalCode::BodyIncomplete
        || code == RefusalCode::BodyTooLarge;
}

}

//! One request between its caller and its attempts.
class Gateway::Flow final : public ExchangeListener {
public:
    Flow(Gateway& owner, dispatch::RequestNumber assigned, std::shared_ptr<CallerExchange> source)
        : gateway(owner)
        , number(assigned)
        , exchange(std::move(source))
    {
    }

    void onChunkWritten() override
    {
        if (this->attempt)
            this->attempt->readMore();
    }

    void onCallerGone() override { this->gateway.handle(this->number, dispatch::event::CallerGone {}); }

    void onBodyTooLarge() override
    {
        this->gateway.handle(this->number, dispatch::event::CallerBodyRefused { RefusalCode::BodyTooLarge });
    }

    Gateway& gateway;
    dispatch::RequestNumber number;
    std::shared_ptr<CallerExchange> exchange;
    std::string service;
    std::string requestId;
    bool repeatable = false;
    TimePoint receivedAt;
    unsigned attempts = 0;
    std::unique_ptr<BackendAttempt> attempt;
    ResponseHead head;
    Bytes chunk;
};

//! Turns what happens to one attempt into events of its request.
class Gateway::AttemptAdapter final : public AttemptListener {
public:
    AttemptAdapter(const FlowPointer& owner, dispatch::AttemptNumber assigned)
        : flow(owner)
        , number(assigned)
    {
    }

    void onFirstByteSent() override { this->emit(dispatch::event::FirstByteSent { this->number }); }
    void onRequestSent() override { this->emit(dispatch::event::RequestSent { this->number }); }

    void onHead(const ResponseHead& head) override
    {
        auto owner = this->flow.lock();
        if (!owner)
            return;
        // A caller of HTTP/1.0 could not tell a truncated response of unknown length from a complete one.
        if (head.hasBody && !head.bodyLength && !owner->exchange->acceptsChunked()) {
            this->emit(dispatch::event::BadResponse { this->number });
            owner->attempt.reset();
            return;
        }
        owner->head = head;
        this->emit(dispatch::event::ResponseHead { this->number });
        if (owner->attempt)
            owner->attempt->readMore();
    }

    void onChunk(Bytes chunk) override
    {
        if (auto owner = this->flow.lock())
            owner->chunk = std::move(chunk);
        this->emit(dispatch::event::BodyChunk { this->number });
    }

    void onComplete() override { this->emit(dispatch::event::ResponseComplete { this->number }); }
    void onConnectionFailed(const std::string& /*reason*/) override
    {
        this->emit(dispatch::event::ConnectionFailed { this->number });
    }
    void onConnectionLost(const std::string& /*reason*/) override
    {
        this->emit(dispatch::event::ConnectionLost { this->number });
    }
    void onBadResponse(const std::string& /*reason*/) override
    {
        this->emit(dispatch::event::BadResponse { this->number });
    }
    void onRejected(unsigned /*status*/) override { this->emit(dispatch::event::ServerRejected { this->number }); }

private:
    void emit(const dispatch::RequestEvent& event)
    {
        if (auto owner = this->flow.lock())
            owner->gateway.handle(owner->number, event);
    }

    std::weak_ptr<Flow> flow;
    dispatch::AttemptNumber number;
};

Gateway::Gateway(Options given, const Clock& time, GatewayObserver& receiver)
    : options(std::move(given))
    , clock(time)
    , observer(receiver)
    , random(systemSeededEngine())
    , dispatcher(dispatcherOptions(this->options), RandomEngine(this->random()))
    , routes(std::make_shared<const routing::RouteSnapshot>())
    , server(std::make_unique<CallerServer>(*this))
{
    for (const auto& [name, service] : this->options.services)
        this->clients[name] = std::make_unique<BackendClient>(service.connections);
}

Gateway::~Gateway()
{
    this->server.reset();
    this->flows.clear();
}

Result<Success> Gateway::listen(const std::string& address)
{
    return this->server->listen(address);
}

int Gateway::port() const
{
    return this->server->port();
}

void Gateway::setRoutes(const std::shared_ptr<const routing::RouteSnapshot>& newest)
{
    this->routes = newest;
    this->dispatcher.setRoutes(newest);
}

void Gateway::stop(std::function<void()> whenDrained)
{
    assert(!this->stopping);
    this->stopping = true;
    this->drained = std::move(whenDrained);
    this->server->stopAccepting();
    this->drainTimer = std::make_unique<runtime::Timer>(
        drainCheckInterval, runtime::Timer::Repeat::Always, [this] { this->checkDrained(); });
}

std::size_t Gateway::requestsInProgress() const
{
    return std::max(this->flows.size(), this->server->exchangesInProgress());
}

std::size_t Gateway::peakBodyBytes() const
{
    std::size_t peak = this->peakBody;
    for (const auto& [number, flow] : this->flows) {
        if (auto body = flow->exchange->body())
            peak = std::max(peak, body->peakBufferedBytes());
    }
    return peak;
}

void Gateway::checkDrained()
{
    this->quietChecks = this->requestsInProgress() == 0 ? this->quietChecks + 1 : 0;
    if (this->quietChecks < drainQuietChecks || !this->drained)
        return;
    std::exchange(this->drained, nullptr)();
}

bool Gateway::ready() const
{
    return !this->stopping
        && std::all_of(this->options.services.begin(), this->options.services.end(),
            [this](const auto& service) { return this->routes->contains(service.first); });
}

void Gateway::onRequest(std::shared_ptr<CallerExchange> exchange)
{
    auto id = randomId(this->random);
    if (headerBlockBytes(exchange->headers()) + exchange->target().size() > maxHeaderBlockBytes) {
        this->refuse(*exchange, id, Outcome::NotRun, RefusalCode::HeadersTooLarge);
        return;
    }
    if (framingOf(exchange->headers()) == Framing::Invalid) {
        this->refuse(
            *exchange, id, Outcome::NotRun, RefusalCode::MalformedHeader, "the length of the body is ambiguous");
        return;
    }
    if (this->answerLocally(*exchange))
        return;
    if (this->stopping) {
        this->refuse(*exchange, id, Outcome::NotRun, RefusalCode::Stopping);
        return;
    }
    auto parsed = parseRequestHeaders(exchange->method().c_str(), exchange->headers());
    if (const auto* fault = std::get_if<HeaderFault>(&parsed)) {
        this->refuse(*exchange, id, Outcome::NotRun, fault->code, fault->detail);
        return;
    }
    this->begin(exchange, std::get<RequestHeaders>(parsed), id);
}

bool Gateway::answerLocally(CallerExchange& exchange)
{
    if (exchange.method() != "GET" && exchange.method() != "HEAD")
        return false;
    if (exchange.target() == healthTarget) {
        bool healthy = this->ready();
        const char* state = this->stopping ? "stopping\n" : "no routes\n";
        exchange.respond(healthy ? statusOk : statusUnavailable,
            { { "Content-Type", "text/plain" }, { header::outcome, healthy ? "answered" : "not-run" } },
            healthy ? "ready\n" : state);
        return true;
    }
    if (exchange.target() == metricsTarget) {
        exchange.respond(
            statusOk, { { "Content-Type", textType }, { header::outcome, "answered" } }, this->observer.metricsText());
        return true;
    }
    return false;
}

void Gateway::begin(
    const std::shared_ptr<CallerExchange>& exchange, const RequestHeaders& headers, const std::string& id)
{
    auto service = this->options.services.find(headers.service);
    if (service == this->options.services.end()) {
        this->refuse(*exchange, id, Outcome::NotRun, RefusalCode::UnknownService);
        return;
    }
    if (exchange->bodyLength().value_or(0) > service->second.maxBody) {
        this->refuse(*exchange, id, Outcome::NotRun, RefusalCode::BodyTooLarge);
        return;
    }
    exchange->setBodyLimit(service->second.maxBody);
    auto number = ++this->lastNumber;
    auto flow = std::make_shared<Flow>(*this, number, exchange);
    flow->service = headers.service;
    flow->requestId = id;
    flow->repeatable = headers.repeatable;
    flow->receivedAt = this->clock.now();
    this->flows[number] = flow;
    exchange->setListener(flow);
    if (auto body = exchange->body())
        body->onNotReplayable = [this, number] { this->handle(number, dispatch::event::BodyNotReplayable {}); };
    dispatch::NewRequest request;
    request.number = number;
    request.service = headers.service;
    request.tenant = headers.tenant;
    request.hash = keyHash(headers.service, headers.key);
    request.options = { headers.repeatable, flow->receivedAt + headers.deadline.value_or(this->options.defaultDeadline),
        this->options.attemptTimeout };
    this->execute(this->dispatcher.receive(request, flow->receivedAt));
}

void Gateway::refuse(
    CallerExchange& exchange, const std::string& id, Outcome outcome, RefusalCode code, const std::string& detail)
{
    const auto& traits = dispatch::traitsOf(code);
    HeaderList headers { { "Content-Type", jsonType },
        { header::outcome, std::string(nameOf(dispatch::outcomeNames, outcome)) }, { header::requestId, id } };
    if (traits.status == statusTooManyRequests || traits.status == statusUnavailable)
        headers.emplace_back("Retry-After", retryAfterSeconds);
    // After these, the position of the next request on the connection is in doubt or there is to be none.
    bool lastOnConnection = this->stopping || code == RefusalCode::MalformedHeader || bodyMayStall(code)
        || code == RefusalCode::HeadersTooLarge;
    auto body = refusalBody(outcome, traits, detail, id);
    if (bodyMayStall(code)) {
        exchange.respondNow(traits.status, headers, body);
        return;
    }
    if (lastOnConnection)
        headers.emplace_back("Connection", "close");
    exchange.respond(traits.status, headers, body);
}

void Gateway::handle(dispatch::RequestNumber number, const dispatch::RequestEvent& event)
{
    this->execute(this->dispatcher.handle(number, event, this->clock.now()));
}

void Gateway::execute(const std::vector<dispatch::Command>& commands)
{
    for (const auto& command : commands) {
        auto found = this->flows.find(command.request);
        assert(found != this->flows.end());
        auto flow = found->second;
        std::visit(
            [&](const auto& what) {
                using What = std::decay_t<decltype(what)>;
                if constexpr (std::is_same_v<What, dispatch::SendToServer>)
                    this->sendAttempt(*flow, what);
                else if constexpr (std::is_same_v<What, dispatch::RefreshServiceRoutes>)
                    this->observer.onRoutesDoubted(what.service);
                else if constexpr (std::is_same_v<What, dispatch::action::CancelAttempt>)
                    flow->attempt.reset();
                else if constexpr (std::is_same_v<What, dispatch::action::StreamHead>) {
                    HeaderList additional { { header::outcome, "answered" }, { header::requestId, flow->requestId } };
                    if (this->stopping)
                        additional.emplace_back("Connection", "close");
                    flow->exchange->startResponse(flow->head, additional);
                } else if constexpr (std::is_same_v<What, dispatch::action::StreamChunk>)
                    flow->exchange->sendChunk(std::move(flow->chunk));
                else if constexpr (std::is_same_v<What, dispatch::action::CompleteResponse>)
                    flow->exchange->completeResponse();
                else if constexpr (std::is_same_v<What, dispatch::action::AbortResponse>)
                    flow->exchange->abortResponse();
                else if constexpr (std::is_same_v<What, dispatch::action::RefuseCaller>)
                    this->refuse(*flow->exchange, flow->requestId, what.outcome, what.code);
                else
                    this->finishFlow(command.request, what);
            },
            command.what);
    }
    this->armTimer();
}

void Gateway::sendAttempt(Flow& flow, const dispatch::SendToServer& send)
{
    ++flow.attempts;
    BackendRequest request;
    request.method = flow.exchange->method();
    request.address = send.target.address;
    request.target = flow.exchange->target();
    request.headers = forwardedRequestHeaders(flow.exchange->headers());
    auto left = std::max<std::int64_t>(1, toMillis(send.deadline - this->clock.now()));
    request.headers.emplace_back(header::deadline, std::to_string(left));
    request.headers.emplace_back(header::sliceEpoch,
        std::to_string(send.target.epoch.term()) + "." + std::to_string(send.target.epoch.sequence()));
    request.requestId = flow.requestId;
    request.body = flow.exchange->body();
    request.bodyLength = flow.exchange->bodyLength();
    request.reuseConnection = flow.repeatable;
    if (send.sendBefore)
        request.maySend = [this, limit = *send.sendBefore] { return this->clock.now() < limit; };
    auto listener = std::make_shared<AttemptAdapter>(this->flows.at(flow.number), send.attempt);
    flow.attempt = this->clients.at(flow.service)->send(std::move(request), std::move(listener));
}

void Gateway::finishFlow(dispatch::RequestNumber number, const dispatch::Finished& finished)
{
    auto flow = this->flows.at(number);
    this->flows.erase(number);
    flow->attempt.reset();
    if (auto body = flow->exchange->body()) {
        body->onNotReplayable = nullptr;
        this->peakBody = std::max(this->peakBody, body->peakBufferedBytes());
    }
    this->observer.onRequestFinished(
        { flow->service, finished.outcome, finished.refusal, flow->attempts, this->clock.now() - flow->receivedAt });
}

void Gateway::armTimer()
{
    auto wake = this->dispatcher.nextTimer();
    if (!wake || (this->armedFor && *this->armedFor <= *wake))
        return;
    this->armedFor = wake;
    // Timers count whole milliseconds; rounding up avoids waking before anything is due.
    auto delay = std::max(Duration::zero(), *wake - this->clock.now()) + std::chrono::milliseconds(1);
    this->timer = std::make_unique<runtime::Timer>(delay, runtime::Timer::Repeat::Once, [this] {
        this->armedFor.reset();
        this->execute(this->dispatcher.runTimers(this->clock.now()));
    });
}

}
