#include "Registration.h"

#include <google/protobuf/util/json_util.h>
#include <hosts.pb.h>

namespace sequoia::standin {

namespace {

constexpr auto retryInterval = std::chrono::milliseconds(500);
constexpr guint callTimeoutSeconds = 2;

wire::Host hostEntry(const StandInOptions& options, const std::string& address)
{
    wire::Host host;
    host.set_id(options.id);
    host.set_kind(wire::HOST_KIND_BACKEND_SERVER);
    host.set_state(wire::HOST_STATE_LIVE);
    host.set_address(address);
    host.set_data_centre(options.dataCentre);
    host.set_region(options.region);
    host.set_incarnation(options.incarnation);
    host.set_service(options.service);
    host.set_slots(options.behaviour.slots());
    host.set_max_connections(options.behaviour.connections());
    host.set_checks_orders(options.checksOrders);
    host.set_relative_speed(options.behaviour.speed());
    return host;
}

}

Registration::Registration(const StandInOptions& options, const std::string& address, timeline::EventLog& eventLog)
    : events(eventLog)
    , url("http://" + options.platform + "/hosts/" + options.id)
    , session(soup_session_new_with_options("timeout", callTimeoutSeconds, nullptr))
    , cancellable(g_cancellable_new())
{
    std::string body;
    [[maybe_unused]] auto status = google::protobuf::util::MessageToJsonString(hostEntry(options, address), &body);
    this->onSuccess = [this, address] {
        this->events.record(timeline::Severity::Info, "registered", { { "url", this->url }, { "address", address } });
    };
    this->put(this->url, body);
}

Registration::~Registration()
{
    // The callback of a call in progress sees the cancellation and touches nothing.
    g_cancellable_cancel(this->cancellable.get());
}

void Registration::leave(std::function<void()> done)
{
    this->onSuccess = std::move(done);
    // Also ends a registration that is still in progress or waits for its retry.
    g_cancellable_cancel(this->cancellable.get());
    this->cancellable.reset(g_cancellable_new());
    this->put(this->url + "?state=leaving", "");
}

void Registration::put(const std::string& target, const std::string& body)
{
    this->retry.reset();
    this->currentUrl = target;
    this->currentBody = body;
    this->message.reset(soup_message_new("PUT", target.c_str()));
    if (!this->message) {
        this->events.record(timeline::Severity::Error, "registration_failed",
            { { "url", target }, { "remedy", "set platform.address and host.id so that the URL is valid" } });
        return;
    }
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(this->message.get(), body.empty() ? nullptr : "application/json", bytes);
    g_bytes_unref(bytes);
    soup_session_send_and_read_async(
        this->session.get(), this->message.get(), G_PRIORITY_DEFAULT, this->cancellable.get(),
        [](GObject* source, GAsyncResult* result, gpointer self) {
            GError* error = nullptr;
            GBytes* answer = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
            if (answer)
                g_bytes_unref(answer);
            ErrorPtr owned(error);
            if (!error || !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
                static_cast<Registration*>(self)->finished();
        },
        this);
}

void Registration::finished()
{
    auto status = static_cast<guint>(soup_message_get_status(this->message.get()));
    if (SOUP_STATUS_IS_SUCCESSFUL(status)) {
        this->onSuccess();
        return;
    }
    this->events.record(timeline::Severity::Warn, "registration_repeated",
        { { "url", this->currentUrl }, { "status", std::to_string(status) },
            { "remedy", "start the platform stand-in or correct platform.address" } });
    this->retry = std::make_unique<runtime::Timer>(retryInterval, runtime::Timer::Repeat::Once,
        [this, target = this->currentUrl, body = this->currentBody] { this->put(target, body); });
}

}
