#include "LoadRun.h"

#include "UploadBody.h"

#include <glib-unix.h>

namespace sequoia::standin {

namespace {

constexpr auto tick = std::chrono::milliseconds(1);
constexpr auto targetSkipTime = std::chrono::seconds(1);
constexpr auto grantWait = std::chrono::seconds(10);
// The response that says that the deadline has passed may itself arrive after the deadline.
constexpr auto deadlineGrace = std::chrono::milliseconds(500);
// For each request libsoup examines every connection of its session. With one session of 256 connections the tool
// could not send 1000 requests per second.
constexpr std::size_t callsPerSession = 8;
constexpr std::size_t maxWriteAnswer = std::size_t(64) * 1024;

std::string headerOf(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_one(headers, name);
    return value ? value : "";
}

ResponseHead headOf(SoupMessage* message)
{
    auto* headers = soup_message_get_response_headers(message);
    return { static_cast<unsigned>(soup_message_get_status(message)), headerOf(headers, "Sequoia-Outcome"),
        headerOf(headers, "Sequoia-Request-Id") };
}

bool isNotConnected(const GError* error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
        || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE)
        || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

}

LoadRun::LoadRun(LoadOptions loadOptions, const Clock& systemClock)
    : options(std::move(loadOptions))
    , clock(systemClock)
    , workload(this->options.workload)
    , loop(g_main_loop_new(nullptr, FALSE))
{
    auto limit = static_cast<int>(this->options.concurrency);
    for (std::size_t count = 0; count < this->options.concurrency; count += callsPerSession)
        this->sessions.emplace_back(
            soup_session_new_with_options("max-conns", limit, "max-conns-per-host", limit, "timeout", 0U, nullptr));
    if (this->options.direct.empty())
        this->picker.emplace(this->options.targets.size(), targetSkipTime);
    else
        // A later run must fence the grants of an earlier one, so the term is taken from the time of day.
        this->direct = std::make_unique<DirectGrants>(this->options.direct, this->options.workload.services,
            this->options.grantLease, static_cast<std::uint64_t>(this->clock.wallNow()));
}

LoadRun::~LoadRun()
{
    g_main_loop_unref(this->loop);
}

Result<Success> LoadRun::run()
{
    auto granted = this->waitForGrants();
    if (!succeeded(granted))
        return granted;
    auto stop = [](gpointer self) -> gboolean {
        static_cast<LoadRun*>(self)->pending.reset();
        return G_SOURCE_CONTINUE;
    };
    guint terminate = g_unix_signal_add(SIGTERM, stop, this);
    guint interrupt = g_unix_signal_add(SIGINT, stop, this);
    this->started = this->clock.now();
    this->pending = this->workload.next();
    {
        runtime::Timer timer(tick, runtime::Timer::Repeat::Always, [this] {
            this->startDue();
            this->quitWhenDone();
        });
        g_main_loop_run(this->loop);
    }
    g_source_remove(terminate);
    g_source_remove(interrupt);
    this->finished = this->clock.now();
    return Success {};
}

Result<Success> LoadRun::waitForGrants()
{
    if (!this->direct || !this->options.sendGrants)
        return Success {};
    auto end = this->clock.now() + grantWait;
    this->direct->start();
    while (!this->direct->allGranted()) {
        if (this->clock.now() >= end)
            return Error { ErrorKind::Unavailable, "not all servers of --direct accepted a grant",
                "start the servers, or stop the controller that grants to them" };
        runtime::Timer wake(tick, runtime::Timer::Repeat::Once, [] {});
        g_main_context_iteration(nullptr, TRUE);
    }
    return Success {};
}

wire::LoadReport LoadRun::report(const JournalCheck& journals) const
{
    return this->record.report(journals, this->finished - this->started, this->finished);
}

void LoadRun::startDue()
{
    auto elapsed = this->clock.now() - this->started;
    while (this->pending && this->pending->at <= elapsed) {
        if (this->calls.size() >= this->options.concurrency)
            this->record.suppressed();
        else
            this->begin(std::move(*this->pending));
        this->pending = this->workload.next();
    }
}

void LoadRun::quitWhenDone()
{
    if (!this->pending && this->calls.empty())
        g_main_loop_quit(this->loop);
}

void LoadRun::begin(PlannedRequest plan)
{
    auto owned = std::make_unique<LoadCall>();
    auto& call = *owned;
    call.run = this;
    call.plan = std::move(plan);
    call.arrival = this->started + call.plan.at;
    call.hash = keyHash(call.plan.service, call.plan.key);
    if (call.plan.isWrite)
        call.idempotencyKey = this->options.runId + "-" + std::to_string(call.plan.number);
    if (this->direct)
        call.requestId = this->options.runId + "-r" + std::to_string(call.plan.number);
    this->calls.emplace(call.plan.number, std::move(owned));
    this->record.sent(call.idempotencyKey);
    this->send(call);
}

std::string LoadRun::addressFor(LoadCall& call)
{
    if (this->direct)
        return this->direct->addressFor(call.plan.service, call.hash);
    call.target = this->picker->pick(this->clock.now());
    return this->options.targets[call.target];
}

void LoadRun::send(LoadCall& call)
{
    auto url = "http://" + this->addressFor(call)
        + (call.plan.isWrite ? std::string("/write") : "/read?size=" + std::to_string(this->options.readBytes));
    call.message.reset(soup_message_new(call.plan.isWrite ? "POST" : "GET", url.c_str()));
    this->addHeaders(call);
    if (call.plan.isWrite)
        this->addBody(call);
    call.judgement.reset();
    call.body.clear();
    call.pattern.emplace(Pattern(call.plan.service, call.plan.key, this->options.readBytes));
    call.cancellable.reset(g_cancellable_new());
    call.timedOut = false;
    call.misdirected = false;
    call.limit = std::make_unique<runtime::Timer>(
        fromMillis(this->options.deadlineMs) + deadlineGrace, runtime::Timer::Repeat::Once, [&call] {
            call.timedOut = true;
            g_cancellable_cancel(call.cancellable.get());
        });
    g_signal_connect(call.message.get(), "got-headers", G_CALLBACK(onMisdirected), &call);
    auto* session = this->sessions[call.plan.number % this->sessions.size()].get();
    soup_session_send_async(session, call.message.get(), G_PRIORITY_DEFAULT, call.cancellable.get(), onHead, &call);
}

void LoadRun::addHeaders(LoadCall& call)
{
    auto* headers = soup_message_get_request_headers(call.message.get());
    auto add = [&](const char* name, const std::string& value) {
        if (!value.empty())
            soup_message_headers_replace(headers, name, value.c_str());
    };
    add("Sequoia-Service", call.plan.service);
    add("Sequoia-Key", call.plan.key);
    add("Sequoia-Tenant", call.plan.tenant);
    add("Sequoia-Deadline-Ms", std::to_string(this->options.deadlineMs));
    add("Sequoia-Idempotency-Key", call.idempotencyKey);
    add("Sequoia-Request-Id", call.requestId);
    if (this->direct)
        add("Sequoia-Slice-Epoch", this->direct->epochFor(call.plan.service, call.hash));
}

void LoadRun::addBody(LoadCall& call)
{
    // Each body begins with its idempotency key, so that a mix-up of two uploads changes the hash.
    auto body = makeUploadBody(call.idempotencyKey + "\n", this->options.uploadBytes);
    call.expectedWrite = { body.length, body.hash, call.plan.key, call.idempotencyKey };
    soup_message_set_request_body(
        call.message.get(), "application/octet-stream", body.stream.get(), static_cast<gssize>(body.length));
}

void LoadRun::onHead(GObject* source, GAsyncResult* result, gpointer data)
{
    auto& call = *static_cast<LoadCall*>(data);
    GError* error = nullptr;
    call.stream.reset(soup_session_send_finish(SOUP_SESSION(source), result, &error));
    ErrorPtr owned(error);
    if (!call.stream) {
        call.run->failed(call, error);
        return;
    }
    call.judgement = judgeHead(headOf(call.message.get()), call.requestId);
    call.run->readMore(call);
}

void LoadRun::onMisdirected(SoupMessage* message, gpointer data)
{
    if (soup_message_get_status(message) != SOUP_STATUS_MISDIRECTED_REQUEST)
        return;
    // libsoup sends a request again that was answered with 421; the tool must count each send, so it ends this one.
    auto& call = *static_cast<LoadCall*>(data);
    call.judgement = judgeHead(headOf(message), call.requestId);
    call.misdirected = true;
    g_cancellable_cancel(call.cancellable.get());
}

void LoadRun::readMore(LoadCall& call)
{
    g_input_stream_read_async(call.stream.get(), call.buffer.data(), call.buffer.size(), G_PRIORITY_DEFAULT,
        call.cancellable.get(), onBytes, &call);
}

void LoadRun::onBytes(GObject* source, GAsyncResult* result, gpointer data)
{
    auto& call = *static_cast<LoadCall*>(data);
    GError* error = nullptr;
    auto count = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
    ErrorPtr owned(error);
    if (count < 0) {
        call.run->failed(call, error);
        return;
    }
    std::string_view bytes(call.buffer.data(), static_cast<std::size_t>(count));
    if (count > 0) {
        if (!call.plan.isWrite)
            call.pattern->add(bytes);
        else if (call.body.size() < maxWriteAnswer)
            call.body.append(bytes);
        call.run->readMore(call);
        return;
    }
    if (call.judgement) {
        call.run->ended(call, *call.judgement);
        return;
    }
    if (call.plan.isWrite) {
        call.run->ended(call, judgeWriteBody(call.body, call.expectedWrite));
        return;
    }
    auto difference = call.pattern->finish();
    call.run->ended(call, { difference.empty() ? Verdict::Served : Verdict::Wrong, difference });
}

void LoadRun::failed(LoadCall& call, const GError* error)
{
    if (call.misdirected) {
        this->ended(call, *call.judgement);
        return;
    }
    if (call.timedOut) {
        this->ended(call, { Verdict::Unknown, "no complete response within the deadline" });
        return;
    }
    if (!isNotConnected(error)) {
        this->ended(call, { Verdict::Unknown, error->message });
        return;
    }
    if (!this->tryNextTarget(call))
        this->ended(call, { Verdict::NotRun, "no target accepts connections" });
}

bool LoadRun::tryNextTarget(LoadCall& call)
{
    if (!this->picker)
        return false;
    this->picker->refused(call.target, this->clock.now());
    this->record.skippedTarget();
    if (++call.refusals >= this->options.targets.size())
        return false;
    this->send(call);
    return true;
}

void LoadRun::ended(LoadCall& call, const Judgement& judgement)
{
    this->record.finished(judgement, call.hash, call.idempotencyKey, call.arrival, this->clock.now());
    if (judgement.verdict == Verdict::Unknown && this->options.resendUnknown && !call.resent) {
        call.resent = true;
        call.refusals = 0;
        this->record.resent();
        this->record.sent(call.idempotencyKey);
        this->send(call);
        return;
    }
    auto number = call.plan.number;
    this->calls.erase(number);
}

}
