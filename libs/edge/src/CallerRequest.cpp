#include "CallerRequest.h"

#include "RequestLog.h"
#include "ServerLoadDecoder.h"
#include "ServerNoticeDecoder.h"
#include "edge/TrafficSplit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <xxhash.h>

namespace sequoia::edge {

namespace {

// The final response is sent this long before the caller's deadline, so that it arrives in time.
constexpr Duration responseMargin = std::chrono::milliseconds(25);
// Deadline of a request without a deadline header.
constexpr Duration defaultDeadline = std::chrono::seconds(10);
constexpr Duration maxDeadline = std::chrono::minutes(10);
// An announced configuration arrives within this time, unless a link or the store is disturbed.
constexpr Duration configurationRetryAfter = std::chrono::milliseconds(400);
// Bodies up to this size are buffered for retries; larger ones are streamed.
constexpr std::size_t replayLimitBytes = std::size_t { 512 } * 1024;
// Placement starts once this much of the body has arrived, so that a slow caller does not occupy a slot.
constexpr std::size_t placementBodyBytes = std::size_t { 256 } * 1024;
// Reading stops while more bytes than this are unsent towards the backend server or the caller.
constexpr std::size_t unsentHighWaterMark = std::size_t { 256 } * 1024;
// Responses up to this size are forwarded only once they are complete; less while many requests run.
constexpr std::size_t maxResponseBuffer = std::size_t { 256 } * 1024;
constexpr std::size_t minResponseBuffer = std::size_t { 16 } * 1024;
constexpr std::size_t responseBufferTotal = std::size_t { 16 } * 1024 * 1024;
// Servers close connections after 10 s idle. The margin below that protects requests that cannot be retried.
constexpr Duration maxBackendIdle = std::chrono::seconds(8);

template <typename T> std::optional<T> parseNumber(const std::string& text)
{
    T value = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string deciderOf(std::uint64_t term)
{
    return term == 0 ? "this-host" : "term-" + std::to_string(term);
}

std::string_view hostOf(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

}

CallerRequest::CallerRequest(EdgeContext& edgeContext, ResponseSink& responseSink, const http::MessageHead& requestHead)
    : context(edgeContext)
    , sink(responseSink)
    , head(requestHead)
    , arrivalTime(edgeContext.reactor.now())
    , configuration(edgeContext.configuration)
{
}

CallerRequest::~CallerRequest()
{
    if (!this->finished)
        this->abandon();
}

void CallerRequest::start()
{
    ++this->context.counters.requests;
    if (!this->checkHead() || !this->matchRoute())
        return;
    this->timer = this->context.reactor.schedule(this->limits.deadline, [this] {
        this->timer.reset();
        this->onDeadline();
    });
}

bool CallerRequest::checkHead()
{
    const auto* id = this->head.headers.find(this->context.names.requestId);
    if (!id || id->empty() || this->head.headers.count(this->context.names.requestId) != 1) {
        this->respondLocally(400, {}, "the request id header is missing or given twice");
        return false;
    }
    this->requestId = *id;
    if (!this->configuration) {
        this->respondLocally(503, std::chrono::milliseconds(500), "no configuration is known yet");
        return false;
    }
    if (this->head.framing == http::BodyFraming::Length
        && this->head.length > this->configuration->limits.maxBodyBytes) {
        this->respondLocally(413, {}, "the body is longer than the limit");
        return false;
    }
    return true;
}

bool CallerRequest::matchRoute()
{
    const auto* host = this->head.headers.find("Host");
    if (host)
        this->route = this->configuration->match(hostOf(*host), pathOf(this->head.target));
    if (!this->route && this->context.configurationOutdated) {
        this->respondLocally(503, configurationRetryAfter, "no route matches, and a newer configuration is on its way");
        return false;
    }
    if (!this->route) {
        this->respondLocally(404, {}, "no route matches host and path");
        return false;
    }
    this->service = this->context.split.nextService(*this->route);
    const auto* traits = this->configuration->service(this->service);
    if (traits && traits->keyed) {
        const auto* text = this->head.headers.find(this->context.names.key);
        this->key = text ? parseNumber<fleet::Key>(*text) : std::nullopt;
        if (!this->key) {
            this->respondLocally(400, {}, "the key header is missing or not a number from 0 to 65535");
            return false;
        }
    }
    this->limits = this->computeTimeLimits(*this->route);
    auto content = this->head.method + ' ' + this->head.target;
    this->fingerprint = XXH3_64bits(content.data(), content.size());
    return true;
}

CallerRequest::TimeLimits CallerRequest::computeTimeLimits(const fleet::Route& matched) const
{
    auto deadline = defaultDeadline;
    if (const auto* text = this->head.headers.find(this->context.names.deadline)) {
        if (auto millis = parseNumber<double>(*text); millis && !std::isnan(*millis)) {
            auto longest = static_cast<double>(toMillis(maxDeadline));
            deadline = fromMillis(static_cast<std::int64_t>(std::clamp(*millis, 0.0, longest)));
        }
    }
    auto& longest = this->context.longestDeadline[matched.name];
    longest = std::max(longest, deadline);
    // A caller that retries sends its remaining time; its latency target counts from its first attempt.
    auto waited = longest - deadline;
    TimeLimits result;
    result.target = this->arrivalTime + matched.targetLatency - waited;
    result.deadline = this->arrivalTime + std::min(deadline - responseMargin, matched.timeout);
    return result;
}

void CallerRequest::onBody(bool complete)
{
    this->bodyComplete = this->bodyComplete || complete;
    if (this->finished || !this->route) {
        this->requestBody.clear();
        return;
    }
    if (this->requestBody.end() > this->configuration->limits.maxBodyBytes) {
        if (this->forwarding)
            return;
        this->withdrawJob();
        this->respondLocally(this->mayHaveRun || this->sent ? 502 : 413, {}, "the body is longer than the limit");
        return;
    }
    if (this->placed) {
        this->sendBufferedBody();
        return;
    }
    if (this->job == 0 && this->attempts == 0 && (this->bodyComplete || this->requestBody.end() >= placementBodyBytes))
        this->submit();
}

bool CallerRequest::shouldPauseBody() const
{
    if (this->finished)
        return false;
    if (this->connection)
        return this->connection->unsentBytes() > unsentHighWaterMark;
    return this->requestBody.end() >= replayLimitBytes;
}

void CallerRequest::submit()
{
    balance::Job request;
    request.id.number = ++this->context.lastJob;
    request.service = this->service;
    request.key = this->key;
    request.priority = this->route->priority;
    request.target = this->limits.target;
    request.deadline = this->limits.deadline;
    request.attempt = this->attempts;
    request.maxAttempts = this->route->maxAttempts;
    request.tried = this->tried;
    request.fingerprint = this->fingerprint;
    if (this->configuration->hasCompetingPriorities(this->service))
        request.workClass = this->route->number;
    this->job = request.id.number;
    this->placed = false;
    this->sent = false;
    this->context.placer.submit(request, *this);
}

void CallerRequest::onRefused(std::uint64_t number, const PlacementRefusal& refusal)
{
    if (number != this->job)
        return;
    this->job = 0;
    this->decidedBy = deciderOf(refusal.term);
    std::string text(nameOf(balance::refusalReasonNames, refusal.reason));
    if (this->mayHaveRun)
        this->respondLocally(502, {}, "an attempt failed, and no other was possible: " + text);
    else
        this->respondLocally(503, refusal.retryAfter, text);
}

void CallerRequest::onPlaced(std::uint64_t number, const PlacementTarget& target)
{
    if (number != this->job)
        return;
    this->placed = true;
    this->server = target.server;
    this->decidedBy = deciderOf(target.term);
    this->attemptStart = this->context.reactor.now();
    this->serverLoad.reset();
    auto address = net::SocketAddress::parse(target.address);
    if (!succeeded(address)) {
        this->endAttempt(balance::JobResult::ConnectFailed);
        this->retryOrRespond(503, errorOf(address).message);
        return;
    }
    this->peer = target.server + "@" + target.address;
    // Rejections of some servers can be told from late bytes of an earlier response on a new connection only.
    bool needsNewConnection
        = this->route->kind != fleet::RequestKind::Idempotent && this->context.serversWithoutIds.contains(this->peer);
    // A second copy of the response to an earlier attempt of this request would have the same id.
    this->connection = &this->context.backends.acquire(
        this->peer, valueOf(address), needsNewConnection ? client::noReuse : maxBackendIdle, this->requestId);
    this->bodySent = 0;
    this->bodyFinished = false;
    ++this->context.counters.attempts;
    ++this->context.activeAttempts;
    this->attemptActive = true;
    this->connection->startRequest(this->requestHead(target.server), this->head.method == "HEAD",
        this->responseBufferLimit(), *this, this->requestId);
    this->logPlacement();
    this->onDrained();
}

// Responses are buffered for many requests at once, so each gets less of the memory when there are more of them.
std::size_t CallerRequest::responseBufferLimit() const
{
    auto ceiling = this->context.memory.ceiling();
    auto total = ceiling == 0 ? responseBufferTotal : std::min(responseBufferTotal, ceiling / 2);
    auto share = total / std::max<std::size_t>(1, this->context.activeAttempts);
    return std::clamp(share, minResponseBuffer, maxResponseBuffer);
}

void CallerRequest::onDrained()
{
    this->sendBufferedBody();
    if (!this->shouldPauseBody())
        this->sink.resumeBody();
}

std::string CallerRequest::requestHead(const std::string& serverId) const
{
    const auto& names = this->context.names;
    std::string text;
    text.reserve(512);
    text.append(this->head.method).append(" ").append(this->head.target).append(" HTTP/1.1\r\n");
    for (const auto& field : this->head.headers.all()) {
        bool replaced = http::equalsIgnoringCase(field.name, names.deadline)
            || http::equalsIgnoringCase(field.name, names.expectedServer)
            || http::equalsIgnoringCase(field.name, "Content-Length") || http::equalsIgnoringCase(field.name, "Expect");
        if (!replaced && !http::isHopByHop(this->head.headers, field.name))
            text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    auto left = std::max<std::int64_t>(1, toMillis(this->limits.deadline - this->context.reactor.now()));
    text.append(names.deadline).append(": ").append(std::to_string(left)).append("\r\n");
    text.append(names.expectedServer).append(": ").append(serverId).append("\r\n");
    if (this->head.framing == http::BodyFraming::Chunked)
        text.append("Transfer-Encoding: chunked\r\n");
    else if (this->head.framing == http::BodyFraming::Length)
        text.append("Content-Length: ").append(std::to_string(this->head.length)).append("\r\n");
    return text.append("\r\n");
}

void CallerRequest::sendBufferedBody()
{
    if (!this->connection || this->bodyFinished)
        return;
    bool chunked = this->head.framing == http::BodyFraming::Chunked;
    if (this->connection->unsentBytes() <= unsentHighWaterMark && this->bodySent < this->requestBody.end()) {
        auto bytes = this->requestBody.from(this->bodySent);
        if (chunked) {
            char size[20];
            auto end = std::to_chars(size, size + sizeof size, bytes.size(), 16).ptr;
            this->connection->write(std::string(size, end) + "\r\n" + std::string(bytes) + "\r\n");
        } else
            this->connection->write(bytes);
        this->bodySent = this->requestBody.end();
        if (!this->bodyComplete)
            this->requestBody.dropBefore(this->bodySent, replayLimitBytes);
    }
    if (!this->bodyComplete || this->bodySent < this->requestBody.end())
        return;
    if (chunked)
        this->connection->write("0\r\n\r\n");
    this->bodyFinished = true;
    this->connection->finishRequest();
}

bool CallerRequest::isNotExecuted(const http::MessageHead& response) const
{
    return response.headers.find(this->context.names.notExecuted) != nullptr || response.status == 421;
}

client::ResponseMatch CallerRequest::matchResponse(const http::MessageHead& response)
{
    this->reportNotice(response);
    const auto& names = this->context.names;
    const auto* id = response.headers.find(names.requestId);
    if (id && *id != this->requestId)
        return client::ResponseMatch::Skip;
    if (this->isNotExecuted(response)) {
        if (id)
            return client::ResponseMatch::Accept;
        this->context.serversWithoutIds.insert(this->peer);
        // It may be a late copy of an earlier rejection, while the server executes this request.
        bool ambiguous = this->connection->isReused() && this->route->kind != fleet::RequestKind::Idempotent;
        return ambiguous ? client::ResponseMatch::Reject : client::ResponseMatch::Accept;
    }
    bool isSigned = response.headers.find(names.signature) != nullptr;
    if (!id || (!isSigned && response.status < 300) || response.headers.find("Content-Encoding") != nullptr)
        return client::ResponseMatch::Reject;
    return client::ResponseMatch::Accept;
}

// Also for the late response to an earlier request, since it comes from the same server.
void CallerRequest::reportNotice(const http::MessageHead& response)
{
    auto load = decodeServerLoad(response, this->context.names);
    if (!load.invalidValue.empty())
        recordInvalidLoad(this->context, this->server, load.invalidValue);
    if (load.report)
        this->serverLoad = load.report;
    auto decoded = decodeServerNotice(response, this->context.names);
    if (!decoded.invalidRetryAfter.empty())
        this->logOutcome("retry-after-ignored", response.status,
            "not a number of seconds: " + decoded.invalidRetryAfter + "; the server should send whole seconds");
    if (decoded.notice.isEmpty())
        return;
    bool isNew = this->context.placer.reportNotice(this->job, decoded.notice);
    if (isNew && decoded.notice.leaving)
        this->context.events.record(timeline::Severity::Info, "server",
            { { "server", this->server }, { "change", "leaving" }, { "source", "response" },
                { "request", this->requestId } });
}

void CallerRequest::onResponse(const http::MessageHead& response, std::string_view bytes, bool complete)
{
    if (this->forwarding) {
        this->sink.forwardResponse(response, bytes, complete, false);
        if (complete) {
            this->connection = nullptr;
            this->endWithResponse(response);
        } else if (this->sink.unsentBytes() > this->responseBufferLimit())
            this->connection->setReading(false);
        return;
    }
    if (complete)
        this->connection = nullptr;
    if (this->isNotExecuted(response)) {
        if (this->connection)
            this->connection->abort();
        this->connection = nullptr;
        this->endAttempt(response.status == 421 ? balance::JobResult::WrongOwner : balance::JobResult::Rejected);
        this->retryOrRespond(503, "the backend server did not run it (" + std::to_string(response.status) + ")");
        return;
    }
    this->forwarding = true;
    this->sink.forwardResponse(response, bytes, complete, true);
    if (complete)
        this->endWithResponse(response);
}

void CallerRequest::endWithResponse(const http::MessageHead& response)
{
    bool serverFailed = response.status >= 500;
    this->endAttempt(serverFailed ? balance::JobResult::ServerError : balance::JobResult::Answered);
    ++this->context.counters.answered;
    this->finish(serverFailed ? RequestOutcome::ServerFailed : RequestOutcome::Answered);
}

void CallerRequest::onFailure(client::RequestFailure failure, const std::string& reason)
{
    this->connection = nullptr;
    if (failure == client::RequestFailure::ConnectFailed) {
        this->endAttempt(balance::JobResult::ConnectFailed);
        this->retryOrRespond(503, reason);
        return;
    }
    this->endAttempt(balance::JobResult::Lost);
    this->mayHaveRun = true;
    if (this->forwarding) {
        this->sink.abortResponse();
        this->finish(RequestOutcome::Failed);
        return;
    }
    this->retryOrRespond(502, reason);
}

void CallerRequest::endAttempt(balance::JobResult result)
{
    auto elapsed = this->context.reactor.now() - this->attemptStart;
    if (result != balance::JobResult::ConnectFailed)
        ++this->attempts;
    // A key has one owner, so retries go to the same server.
    if (!this->key && result != balance::JobResult::Answered)
        this->tried.push_back(this->server);
    if (this->attemptActive)
        --this->context.activeAttempts;
    this->attemptActive = false;
    auto ended = this->job;
    this->job = 0;
    this->placed = false;
    this->context.placer.reportEnd(ended, result, elapsed, this->serverLoad);
}

bool CallerRequest::mayRetry() const
{
    if (this->attempts >= this->route->maxAttempts)
        return false;
    if (this->mayHaveRun && this->route->kind != fleet::RequestKind::Idempotent)
        return false;
    return this->requestBody.isReplayable() && this->context.reactor.now() < this->limits.deadline;
}

void CallerRequest::retryOrRespond(unsigned status, const std::string& reason)
{
    if (this->mayRetry()) {
        this->logOutcome("retry", status, reason);
        this->submit();
        return;
    }
    auto left = std::max(Duration::zero(), this->limits.deadline - this->context.reactor.now());
    this->respondLocally(this->mayHaveRun ? 502 : status, left / 4, reason);
}

void CallerRequest::respondLocally(unsigned status, Duration retryAfter, const std::string& reason)
{
    if (this->finished)
        return;
    if (this->connection) {
        this->connection->abort();
        this->connection = nullptr;
        this->endAttempt(balance::JobResult::Abandoned);
    }
    ++(status == 502 || status == 504 ? this->context.counters.failed : this->context.counters.refused);
    this->logOutcome("own-answer", status, reason);
    this->sink.sendLocalResponse(status, retryAfter, reason);
    this->finish(status == 502 || status == 504 ? RequestOutcome::Failed : RequestOutcome::Refused);
}

void CallerRequest::onDeadline()
{
    if (this->forwarding) {
        if (this->connection)
            this->connection->abort();
        this->connection = nullptr;
        this->endAttempt(balance::JobResult::TimedOut);
        this->logOutcome("broken-off", 0, "time limit");
        this->sink.abortResponse();
        this->finish(RequestOutcome::Failed);
        return;
    }
    if (this->connection) {
        bool reached = this->sent;
        this->connection->abort();
        this->connection = nullptr;
        this->mayHaveRun = this->mayHaveRun || reached;
        this->endAttempt(reached ? balance::JobResult::TimedOut : balance::JobResult::ConnectFailed);
        this->respondLocally(this->mayHaveRun ? 504 : 503, {}, "no response within the time limit");
        return;
    }
    this->withdrawJob();
    this->respondLocally(this->mayHaveRun ? 504 : 503, {}, "no backend server within the time limit");
}

// Cancels a job that waits for a server.
void CallerRequest::withdrawJob()
{
    if (this->job != 0 && !this->placed) {
        this->context.placer.withdraw(this->job);
        this->job = 0;
    }
}

void CallerRequest::refuseUnlessPlaced()
{
    if (this->finished || this->placed)
        return;
    this->withdrawJob();
    this->respondLocally(this->mayHaveRun ? 502 : 503, std::chrono::milliseconds(50), "this host stops");
}

void CallerRequest::expire()
{
    if (!this->finished)
        this->onDeadline();
}

void CallerRequest::onSinkDrained()
{
    if (this->connection && this->forwarding)
        this->connection->setReading(true);
}

void CallerRequest::abandon()
{
    if (this->finished)
        return;
    ++this->context.counters.callersGone;
    if (this->connection) {
        this->connection->abort();
        this->connection = nullptr;
        this->endAttempt(balance::JobResult::Abandoned);
    }
    this->withdrawJob();
    this->logOutcome("caller-gone", 0, "the caller closed its connection");
    this->finish(RequestOutcome::CallerGone);
}

void CallerRequest::finish(RequestOutcome outcome)
{
    this->finished = true;
    if (this->route)
        this->context.metrics.record(
            this->route->kind, this->service, outcome, this->context.reactor.now() - this->arrivalTime);
    if (this->timer)
        this->context.reactor.cancel(*this->timer);
    this->timer.reset();
    this->requestBody.clear();
}

void CallerRequest::logPlacement() const
{
    if (!timeline::EventLog::isLogged(timeline::Severity::Debug))
        return;
    this->context.events.record(timeline::Severity::Debug, "placed",
        { { "request", this->requestId }, { "job", std::to_string(this->job) }, { "route", this->route->name },
            { "config", std::to_string(this->configuration->version) }, { "service", this->service },
            { "key", this->key ? std::to_string(*this->key) : "" }, { "server", this->peer },
            { "decided_by", this->decidedBy }, { "attempts", std::to_string(this->attempts) } });
}

void CallerRequest::logOutcome(const std::string& outcome, unsigned status, const std::string& reason)
{
    // Forwarded responses are the normal case; they are counted but not logged.
    auto millis = [](Duration time) { return std::to_string(toMillis(time)); };
    auto now = this->context.reactor.now();
    this->context.requestLog.record({ { "request", this->requestId }, { "outcome", outcome },
        { "status", std::to_string(status) }, { "reason", reason }, { "route", this->route ? this->route->name : "" },
        { "config", std::to_string(this->configuration ? this->configuration->version : 0) },
        { "service", this->service }, { "key", this->key ? std::to_string(*this->key) : "" },
        { "server", this->server }, { "decided_by", this->decidedBy }, { "attempts", std::to_string(this->attempts) },
        { "age_ms", millis(now - this->arrivalTime) },
        { "left_ms", this->route ? millis(this->limits.deadline - now) : "" } });
}

}
