#include "GrantSender.h"

#include "runtime/Task.h"

#include <google/protobuf/util/json_util.h>
#include <memory>

namespace sequoia::controller {

namespace {

//! A frozen server occupies its connections until the time limit; it must not use up those of the others.
constexpr int maxConnections = 4096;
constexpr int maxConnectionsPerServer = 4;

Error unavailable(const std::string& message)
{
    return Error { ErrorKind::Unavailable, message, "check that the backend server runs" };
}

Result<wire::GrantReply> parseReply(const char* data, std::size_t size)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    wire::GrantReply reply;
    auto status = google::protobuf::util::JsonStringToMessage({ data, size }, &reply, options);
    if (!status.ok() || reply.outcome() == wire::GRANT_OUTCOME_UNSPECIFIED)
        return Error { ErrorKind::MalformedMessage, "the reply is not the JSON of a GrantReply",
            "check that the address is that of a backend server" };
    return reply;
}

}

struct GrantSender::Call {
    GrantSender* sender;
    SoupMessage* message;
    GCancellable* cancellable;
    Callback callback;
    std::unique_ptr<runtime::Timer> limit;
};

GrantSender::GrantSender(Duration callTimeout)
    : timeout(callTimeout)
    , session(soup_session_new_with_options("max-conns", maxConnections, "max-conns-per-host", maxConnectionsPerServer,
          "proxy-resolver", nullptr, nullptr))
{
}

GrantSender::~GrantSender()
{
    soup_session_abort(this->session);
    while (this->active > 0)
        g_main_context_iteration(g_main_context_get_thread_default(), TRUE);
    g_object_unref(this->session);
}

void GrantSender::send(const std::string& address, const wire::GrantRequest& request, Callback callback)
{
    std::string json;
    auto status = google::protobuf::util::MessageToJsonString(request, &json);
    auto url = "http://" + address + "/control/v1/grant";
    SoupMessage* message = status.ok() ? soup_message_new("POST", url.c_str()) : nullptr;
    if (!message) {
        callback(Error { ErrorKind::InvalidArgument, "invalid address \"" + address + "\" of a backend server",
            "correct the address in the host list" });
        return;
    }
    GBytes* body = g_bytes_new(json.data(), json.size());
    soup_message_set_request_body_from_bytes(message, "application/json", body);
    g_bytes_unref(body);
    auto* call = new Call { this, message, g_cancellable_new(), std::move(callback), nullptr };
    call->limit = std::make_unique<runtime::Timer>(
        this->timeout, runtime::Timer::Repeat::Once, [call] { g_cancellable_cancel(call->cancellable); });
    ++this->active;
    soup_session_send_and_read_async(this->session, message, G_PRIORITY_DEFAULT, call->cancellable, onAnswered, call);
}

void GrantSender::onAnswered(GObject* source, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<Call> call(static_cast<Call*>(data));
    --call->sender->active;
    GError* error = nullptr;
    GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
    auto status = soup_message_get_status(call->message);
    Result<wire::GrantReply> answer = unavailable("HTTP status " + std::to_string(status));
    if (error)
        answer = unavailable(error->message);
    else if (status == SOUP_STATUS_OK) {
        gsize size = 0;
        const auto* bytes = static_cast<const char*>(g_bytes_get_data(body, &size));
        answer = parseReply(bytes, size);
    }
    g_clear_error(&error);
    if (body)
        g_bytes_unref(body);
    call->limit.reset();
    g_object_unref(call->cancellable);
    g_object_unref(call->message);
    call->callback(std::move(answer));
}

}
