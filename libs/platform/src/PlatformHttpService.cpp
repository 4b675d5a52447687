#include "platform/PlatformHttpService.h"

#include "GlibPointers.h"
#include "RequestHandler.h"
#include "runtime/Task.h"

#include <cstdlib>
#include <libsoup/soup.h>
#include <map>

namespace sequoia::platform {

namespace {

constexpr unsigned statusLengthRequired = 411;
constexpr unsigned statusTooLarge = 413;

void setAnswer(SoupServerMessage* message, const ServedAnswer& answer)
{
    soup_server_message_set_status(message, answer.status, nullptr);
    auto* headers = soup_server_message_get_response_headers(message);
    if (!answer.etag.empty())
        soup_message_headers_replace(headers, "ETag", answer.etag.c_str());
    if (!answer.allow.empty())
        soup_message_headers_replace(headers, "Allow", answer.allow.c_str());
    soup_message_headers_remove(headers, "Content-Type");
    soup_message_body_truncate(soup_server_message_get_response_body(message));
    if (!answer.contentType.empty())
        soup_server_message_set_response(
            message, answer.contentType.c_str(), SOUP_MEMORY_COPY, answer.body.data(), answer.body.size());
}

void closeConnection(SoupServerMessage* message)
{
    ObjectPointer<GIOStream> stream(soup_server_message_steal_connection(message));
    if (stream)
        g_io_stream_close(stream.get(), nullptr, nullptr);
}

std::optional<std::string> header(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_list(headers, name);
    return value ? std::optional<std::string>(value) : std::nullopt;
}

std::map<std::string, std::string> toQuery(SoupServerMessage* message, GHashTable* parsed)
{
    std::map<std::string, std::string> query;
    if (!g_uri_get_query(soup_server_message_get_uri(message)))
        return query;
    GHashTableIter iterator;
    gpointer key = nullptr;
    gpointer value = nullptr;
    if (parsed) {
        g_hash_table_iter_init(&iterator, parsed);
        while (g_hash_table_iter_next(&iterator, &key, &value))
            query[static_cast<const char*>(key)] = static_cast<const char*>(value);
    }
    // A query without a name=value pair is not the same as no query.
    if (query.empty())
        query.emplace("", "");
    return query;
}

ServedRequest toRequest(SoupServerMessage* message, std::string path, GHashTable* query)
{
    auto* headers = soup_server_message_get_request_headers(message);
    ServedRequest request;
    request.method = soup_server_message_get_method(message);
    request.path = std::move(path);
    request.query = toQuery(message, query);
    request.ifMatch = header(headers, "If-Match");
    request.ifNoneMatch = header(headers, "If-None-Match");
    BytesPointer body(soup_message_body_flatten(soup_server_message_get_request_body(message)));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(body.get(), &size));
    if (size > 0)
        request.body.assign(data, size);
    return request;
}

//! libsoup itself answers a request that it cannot parse, with status 400 and the body set here; in all other
//! cases setAnswer() replaces the body.
void prepareAnswer(SoupServer*, SoupServerMessage* message, gpointer)
{
    auto answer = errorAnswer(SOUP_STATUS_BAD_REQUEST, "malformed", "the request is not valid HTTP",
        "send a request line, a path with valid percent-encoding, and a Host header");
    soup_server_message_set_response(
        message, answer.contentType.c_str(), SOUP_MEMORY_COPY, answer.body.data(), answer.body.size());
}

//! Refuses bodies that would be buffered without a bound, before they are received.
void checkLength(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer)
{
    auto* headers = soup_server_message_get_request_headers(message);
    if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED)
        setAnswer(message,
            errorAnswer(statusLengthRequired, "length-required", "the length of the body is not announced",
                "send Content-Length"));
    else if (soup_message_headers_get_content_length(headers) > static_cast<goffset>(maxObjectBytes))
        setAnswer(message,
            errorAnswer(statusTooLarge, "too-large", "the body is too large",
                "send at most " + std::to_string(maxObjectBytes) + " bytes"));
}

Result<ObjectPointer<GSocketAddress>> parseAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    auto ip = address.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']'))
        ip = ip.substr(1, ip.size() - 2);
    auto port = colon == std::string::npos ? 0 : std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    ObjectPointer<GSocketAddress> parsed(g_inet_socket_address_new_from_string(ip.c_str(), static_cast<guint>(port)));
    if (colon == std::string::npos || !parsed)
        return Error { ErrorKind::InvalidArgument, "\"" + address + "\" is not an address",
            "write IP:port, for example 127.0.0.1:7000" };
    return parsed;
}

}

class PlatformHttpService::Impl {
public:
    explicit Impl(PlatformModel& model)
        : handler(model)
        , server(soup_server_new("raw-paths", TRUE, nullptr))
    {
        g_signal_connect(this->server.get(), "request-started", G_CALLBACK(prepareAnswer), nullptr);
        soup_server_add_early_handler(this->server.get(), nullptr, checkLength, nullptr, nullptr);
        soup_server_add_handler(
            this->server.get(), nullptr,
            [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data) {
                static_cast<Impl*>(data)->serve(message, path, query);
            },
            this, nullptr);
    }

    ~Impl()
    {
        soup_server_remove_handler(this->server.get(), nullptr);
        while (!this->pending.empty()) {
            auto unanswered = this->takePending(this->pending.begin()->first);
            closeConnection(unanswered.message.get());
        }
        soup_server_disconnect(this->server.get());
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    Result<Success> listen(const std::string& address)
    {
        auto parsed = parseAddress(address);
        if (!succeeded(parsed))
            return errorOf(parsed);
        GError* error = nullptr;
        soup_server_listen(this->server.get(), valueOf(parsed).get(), static_cast<SoupServerListenOptions>(0), &error);
        if (!error)
            return Success {};
        ErrorPointer owned(error);
        return Error { ErrorKind::Unavailable, "cannot listen on " + address + ": " + error->message,
            "choose a free address with platform_standin.listen" };
    }

    std::uint16_t port() const
    {
        GSList* uris = soup_server_get_uris(this->server.get());
        auto port = g_uri_get_port(static_cast<GUri*>(uris->data));
        g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
        return static_cast<std::uint16_t>(port);
    }

private:
    //! A request whose answer is sent, or dropped, later.
    struct Pending {
        ObjectPointer<SoupServerMessage> message;
        ServedAnswer answer;
        gulong finishedHandler = 0;
        std::unique_ptr<runtime::Timer> timer;
    };

    void serve(SoupServerMessage* message, const char* rawPath, GHashTable* query)
    {
        TextPointer path(g_uri_unescape_string(rawPath, nullptr));
        if (!path) {
            setAnswer(message,
                errorAnswer(SOUP_STATUS_BAD_REQUEST, "malformed", "the path has an invalid percent-encoding",
                    "encode each byte as % and two hexadecimal digits; a zero byte is not allowed"));
            return;
        }
        auto answer = this->handler.handle(toRequest(message, path.get(), query));
        if (answer.lost || answer.delay > Duration::zero())
            this->postpone(message, std::move(answer));
        else
            setAnswer(message, answer);
    }

    void postpone(SoupServerMessage* message, ServedAnswer answer)
    {
        soup_server_message_pause(message);
        auto delay = answer.delay;
        auto& entry = this->pending[message];
        entry.message.reset(SOUP_SERVER_MESSAGE(g_object_ref(message)));
        entry.answer = std::move(answer);
        // The connection may end first.
        auto onFinished
            = +[](SoupServerMessage* finished, gpointer data) { static_cast<Impl*>(data)->takePending(finished); };
        entry.finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(onFinished), this);
        entry.timer = std::make_unique<runtime::Timer>(
            delay, runtime::Timer::Repeat::Once, [this, message] { this->complete(message); });
    }

    Pending takePending(SoupServerMessage* message)
    {
        auto entry = this->pending.extract(message);
        if (entry.empty())
            return {};
        g_signal_handler_disconnect(message, entry.mapped().finishedHandler);
        return std::move(entry.mapped());
    }

    void complete(SoupServerMessage* message)
    {
        auto entry = this->takePending(message);
        if (entry.answer.lost) {
            closeConnection(message);
            return;
        }
        setAnswer(message, entry.answer);
        soup_server_message_unpause(message);
    }

    RequestHandler handler;
    ObjectPointer<SoupServer> server;
    std::map<SoupServerMessage*, Pending> pending;
};

PlatformHttpService::PlatformHttpService(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

PlatformHttpService::~PlatformHttpService() = default;

Result<std::unique_ptr<PlatformHttpService>> PlatformHttpService::start(
    const std::string& address, PlatformModel& model)
{
    auto impl = std::make_unique<Impl>(model);
    auto listening = impl->listen(address);
    if (!succeeded(listening))
        return errorOf(listening);
    return std::unique_ptr<PlatformHttpService>(new PlatformHttpService(std::move(impl)));
}

std::uint16_t PlatformHttpService::port() const
{
    return this->impl->port();
}

}
