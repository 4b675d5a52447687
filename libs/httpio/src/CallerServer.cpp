#include "httpio/CallerServer.h"

#include "httpio/SocketEnd.h"

#include <cassert>
#include <cerrno>
#include <glib-unix.h>
#include <poll.h>
#include <sys/socket.h>

namespace sequoia::httpio {

namespace {

constexpr int listenBacklog = 1024;
constexpr const char* exchangeKey = "sequoia-exchange";
//! Set on every response that libsoup makes up by itself, for a request that it cannot parse.
constexpr const char* defaultOutcome = "not-run";

std::string requestTarget(GUri* uri)
{
    std::string target = g_uri_get_path(uri);
    if (target.empty())
        target = "/";
    if (const char* query = g_uri_get_query(uri)) {
        target += '?';
        target += query;
    }
    return target;
}

//! A request and its response on one SoupServerMessage; lives as long as the message or a user of it.
class SoupExchange final : public CallerExchange, public std::enable_shared_from_this<SoupExchange> {
public:
    SoupExchange(SoupServerMessage* source, std::shared_ptr<std::size_t> counter)
        : message(source)
        , exchangesInProgress(std::move(counter))
        , verb(soup_server_message_get_method(source))
        , path(requestTarget(soup_server_message_get_uri(source)))
        , framing(framingOf(soup_server_message_get_request_headers(source)))
    {
        if (this->framing == Framing::Length || this->framing == Framing::Chunked)
            this->pipe = std::make_shared<BodyPipe>();
        if (this->framing == Framing::Length)
            this->length = static_cast<std::uint64_t>(soup_message_headers_get_content_length(this->headers()));
        ++*this->exchangesInProgress;
    }

    ~SoupExchange() override
    {
        this->stopWatching();
        if (this->pipe)
            this->pipe->onDrained = nullptr;
    }

    const std::string& method() const override { return this->verb; }
    const std::string& target() const override { return this->path; }
    SoupMessageHeaders* headers() const override { return soup_server_message_get_request_headers(this->message); }
    bool acceptsChunked() const override
    {
        return soup_server_message_get_http_version(this->message) != SOUP_HTTP_1_0;
    }
    std::shared_ptr<BodyPipe> body() const override { return this->pipe; }
    std::optional<std::uint64_t> bodyLength() const override { return this->length; }
    void setBodyLimit(std::uint64_t bytes) override { this->bodyLimit = bytes; }
    void setListener(std::weak_ptr<ExchangeListener> receiver) override { this->listener = std::move(receiver); }

    void attach()
    {
        soup_message_body_set_accumulate(soup_server_message_get_request_body(this->message), FALSE);
        soup_message_body_set_accumulate(soup_server_message_get_response_body(this->message), FALSE);
        g_signal_connect(this->message, "got-chunk", G_CALLBACK(+[](SoupServerMessage*, GBytes* chunk, gpointer data) {
            static_cast<SoupExchange*>(data)->onBodyChunk(Bytes(g_bytes_ref(chunk)));
        }),
            this);
        g_signal_connect(this->message, "wrote-chunk",
            G_CALLBACK(+[](SoupServerMessage*, gpointer data) { static_cast<SoupExchange*>(data)->onWrote(); }), this);
        g_signal_connect(this->message, "wrote-headers", G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
            auto* self = static_cast<SoupExchange*>(data);
            self->responseWritten = self->bodyless;
        }),
            this);
        g_signal_connect(this->message, "wrote-body", G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
            static_cast<SoupExchange*>(data)->responseWritten = true;
        }),
            this);
        g_signal_connect(this->message, "finished",
            G_CALLBACK(+[](SoupServerMessage*, gpointer data) { static_cast<SoupExchange*>(data)->onFinished(); }),
            this);
        if (this->pipe)
            this->pipe->onDrained = [this] { this->resumeReading(); };
        this->watch();
    }

    //! The whole request has been read; the response may be written from now on.
    void onRequestRead()
    {
        this->requestRead = true;
        if (this->finished)
            return;
        if (this->framing == Framing::Chunked && isAtEnd(soup_server_message_get_socket(this->message))) {
            this->terminate();
            return;
        }
        if (this->pipe)
            this->pipe->finish();
        if (this->deferred)
            std::exchange(this->deferred, nullptr)();
        else if (!this->responseStarted)
            this->pause();
    }

    //! The message has ended, with or without a complete response.
    void onFinished()
    {
        if (std::exchange(this->finished, true))
            return;
        --*this->exchangesInProgress;
        this->stopWatching();
        if (this->pipe)
            this->pipe->fail();
        // A response of known length ends with its last byte, before completeResponse() is called.
        if (!this->responseComplete && !this->responseWritten)
            this->reportGone();
    }

    //! Whether a response was given before the body was read.
    bool answeredEarly() const { return this->responseStarted || this->deferred; }

    void respond(unsigned status, const HeaderList& headers, const std::string& text) override
    {
        if (this->finished || this->answeredEarly())
            return;
        if (this->pipe && !this->requestRead) {
            // libsoup writes no response before it has read the request.
            this->dropBody = true;
            this->deferred = [this, status, headers, text] { this->writeWhole(status, headers, text); };
            this->resume();
            return;
        }
        this->writeWhole(status, headers, text);
    }

    void respondNow(unsigned status, const HeaderList& headers, const std::string& text) override
    {
        if (this->finished || this->responseStarted)
            return;
        if (this->requestRead || !this->pipe) {
            this->respond(status, headers, text);
            return;
        }
        // The body may never arrive, and libsoup writes no response before it has. Nothing has been written on
        // the connection since the last response, so the response can go directly to the socket.
        std::string raw = "HTTP/1.1 " + std::to_string(status) + " " + soup_status_get_phrase(status) + "\r\n";
        for (const auto& [name, value] : headers)
            raw.append(name).append(": ").append(value).append("\r\n");
        raw += "Connection: close\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
        if (auto* socket = soup_server_message_get_socket(this->message))
            g_socket_send(socket, raw.data(), raw.size(), nullptr, nullptr);
        this->terminate();
    }

    void startResponse(const ResponseHead& head, const HeaderList& additional) override
    {
        if (this->finished || this->answeredEarly())
            return;
        this->responseStarted = true;
        this->bodyless = !head.hasBody || head.bodyLength == 0U;
        this->reason = head.reason;
        soup_server_message_set_status(this->message, head.status, this->reason.c_str());
        auto* target = soup_server_message_get_response_headers(this->message);
        soup_message_headers_clear(target);
        for (const auto& [name, value] : head.headers)
            soup_message_headers_append(target, name.c_str(), value.c_str());
        for (const auto& [name, value] : additional)
            soup_message_headers_replace(target, name.c_str(), value.c_str());
        if (head.bodyLength)
            soup_message_headers_set_content_length(target, static_cast<goffset>(*head.bodyLength));
        else if (head.hasBody)
            soup_message_headers_set_encoding(target, SOUP_ENCODING_CHUNKED);
        this->resume();
    }

    void sendChunk(Bytes chunk) override
    {
        if (this->finished)
            return;
        soup_message_body_append_bytes(soup_server_message_get_response_body(this->message), chunk.get());
        this->unpauseWriting();
    }

    void completeResponse() override
    {
        this->responseComplete = true;
        if (this->finished)
            return;
        soup_message_body_complete(soup_server_message_get_response_body(this->message));
        this->unpauseWriting();
    }

    void abortResponse() override { this->terminate(); }

private:
    void writeWhole(unsigned status, const HeaderList& headers, const std::string& text)
    {
        this->responseStarted = true;
        this->responseComplete = true;
        soup_server_message_set_status(this->message, status, nullptr);
        auto* target = soup_server_message_get_response_headers(this->message);
        for (const auto& [name, value] : headers)
            soup_message_headers_replace(target, name.c_str(), value.c_str());
        auto* response = soup_server_message_get_response_body(this->message);
        soup_message_headers_set_content_length(target, static_cast<goffset>(text.size()));
        soup_message_body_append(response, SOUP_MEMORY_COPY, text.data(), text.size());
        soup_message_body_complete(response);
        this->resume();
    }

    void onBodyChunk(Bytes chunk)
    {
        if (this->dropBody || !this->pipe)
            return;
        if (this->bodyLimit && this->pipe->receivedBytes() + g_bytes_get_size(chunk.get()) > *this->bodyLimit) {
            this->dropBody = true;
            if (auto receiver = this->listener.lock())
                receiver->onBodyTooLarge();
            return;
        }
        this->pipe->push(std::move(chunk));
        if (this->pipe->full())
            this->pause();
    }

    void resumeReading()
    {
        if (!this->requestRead)
            this->resume();
    }

    void onWrote()
    {
        if (this->responseComplete || this->finished)
            return;
        if (auto receiver = this->listener.lock())
            receiver->onChunkWritten();
    }

    void reportGone()
    {
        if (std::exchange(this->goneReported, true))
            return;
        if (auto receiver = this->listener.lock())
            receiver->onCallerGone();
    }

    //! Notices that the caller closed the connection also while libsoup does not read from it.
    void watch()
    {
        auto* socket = soup_server_message_get_socket(this->message);
        if (!socket)
            return;
        this->hangupWatch = g_unix_fd_source_new(g_socket_get_fd(socket), static_cast<GIOCondition>(POLLRDHUP));
        g_source_set_callback(this->hangupWatch, G_SOURCE_FUNC(+[](gint, GIOCondition, gpointer data) -> gboolean {
            // The exchange may be released by what follows.
            auto self = static_cast<SoupExchange*>(data)->shared_from_this();
            self->onHangup();
            return G_SOURCE_REMOVE;
        }),
            this, nullptr);
        g_source_attach(this->hangupWatch, g_main_context_get_thread_default());
    }

    void stopWatching()
    {
        if (!this->hangupWatch)
            return;
        g_source_destroy(this->hangupWatch);
        g_source_unref(this->hangupWatch);
        this->hangupWatch = nullptr;
    }

    void onHangup()
    {
        if (this->finished || this->responseComplete)
            return;
        this->terminate();
    }

    //! Ends the connection at once and lets libsoup find out by a failed write or read.
    void terminate()
    {
        if (this->finished || std::exchange(this->terminated, true))
            return;
        if (this->pipe)
            this->pipe->fail();
        this->dropBody = true;
        this->reportGone();
        if (auto* socket = soup_server_message_get_socket(this->message))
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        if (!this->responseStarted)
            soup_server_message_set_status(this->message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
        auto* response = soup_server_message_get_response_body(this->message);
        soup_message_body_append(response, SOUP_MEMORY_STATIC, "!", 1);
        soup_message_body_complete(response);
        this->paused = false;
        soup_server_message_unpause(this->message);
    }

    void pause()
    {
        if (std::exchange(this->paused, true))
            return;
        soup_server_message_pause(this->message);
    }

    void resume()
    {
        if (!std::exchange(this->paused, false))
            return;
        soup_server_message_unpause(this->message);
    }

    //! libsoup pauses a message by itself when it has no chunk to write.
    void unpauseWriting()
    {
        this->paused = false;
        soup_server_message_unpause(this->message);
    }

    SoupServerMessage* message;
    std::shared_ptr<std::size_t> exchangesInProgress;
    std::string verb;
    std::string path;
    Framing framing;
    std::string reason;
    std::shared_ptr<BodyPipe> pipe;
    std::optional<std::uint64_t> length;
    std::optional<std::uint64_t> bodyLimit;
    std::weak_ptr<ExchangeListener> listener;
    std::function<void()> deferred;
    GSource* hangupWatch = nullptr;
    bool requestRead = false;
    bool responseStarted = false;
    bool responseComplete = false; //!< Handed over to its end.
    bool responseWritten = false; //!< Written to its end.
    bool bodyless = false;
    bool dropBody = false;
    bool paused = false;
    bool finished = false;
    bool terminated = false;
    bool goneReported = false;
};

//! Binds so that the sockets of several workers share the port. g_socket_bind() turns SO_REUSEPORT off for TCP.
bool bindShared(GSocket* socket, GSocketAddress* address, GError** error)
{
    sockaddr_storage native {};
    if (!g_socket_address_to_native(address, &native, sizeof native, error)
        || !g_socket_set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1, error)
        || !g_socket_set_option(socket, SOL_SOCKET, SO_REUSEPORT, 1, error))
        return false;
    auto size = static_cast<socklen_t>(g_socket_address_get_native_size(address));
    if (bind(g_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&native), size) == 0)
        return true;
    int code = errno;
    g_set_error_literal(error, G_IO_ERROR, static_cast<gint>(g_io_error_from_errno(code)), g_strerror(code));
    return false;
}

using ExchangeHolder = std::shared_ptr<SoupExchange>;

ExchangeHolder exchangeOf(SoupServerMessage* message)
{
    auto* holder = static_cast<ExchangeHolder*>(g_object_get_data(G_OBJECT(message), exchangeKey));
    return holder ? *holder : nullptr;
}

Error cannotListen(const std::string& address, const std::string& reason)
{
    return Error { ErrorKind::Unavailable, "cannot listen on " + address + ": " + reason,
        "choose an address of this host and a port that no other program uses" };
}

}

class CallerServer::Impl {
public:
    explicit Impl(CallerHandler& receiver)
        : handler(receiver)
        , server(soup_server_new("raw-paths", TRUE, nullptr))
    {
        g_signal_connect(this->server.get(), "request-started",
            G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer) {
                auto* headers = soup_server_message_get_response_headers(message);
                soup_message_headers_replace(headers, header::outcome, defaultOutcome);
            }),
            nullptr);
        soup_server_add_early_handler(
            this->server.get(), nullptr,
            [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
                static_cast<Impl*>(data)->onHeaders(message);
            },
            this, nullptr);
        soup_server_add_handler(
            this->server.get(), nullptr,
            [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer) {
                if (auto exchange = exchangeOf(message))
                    exchange->onRequestRead();
            },
            nullptr, nullptr);
    }

    ~Impl() { soup_server_disconnect(this->server.get()); }

    Result<Success> listen(const std::string& address)
    {
        auto colon = address.rfind(':');
        auto port = static_cast<guint>(std::stoul(address.substr(colon + 1)));
        ObjectPointer<GSocketAddress> local(
            g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(), port));
        if (!local)
            return cannotListen(address, "it is not an IP address");
        GError* error = nullptr;
        this->listener.reset(g_socket_new(
            g_socket_address_get_family(local.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
        if (this->listener) {
            g_socket_set_blocking(this->listener.get(), FALSE);
            g_socket_set_listen_backlog(this->listener.get(), listenBacklog);
        }
        if (!this->listener || !bindShared(this->listener.get(), local.get(), &error)
            || !g_socket_listen(this->listener.get(), &error)) {
            this->listener.reset();
            return cannotListen(address, ErrorPointer(error)->message);
        }
        if (!soup_server_listen_socket(
                this->server.get(), this->listener.get(), static_cast<SoupServerListenOptions>(0), &error)) {
            this->listener.reset();
            return cannotListen(address, ErrorPointer(error)->message);
        }
        return Success {};
    }

    int port() const
    {
        assert(this->listener);
        ObjectPointer<GSocketAddress> local(g_socket_get_local_address(this->listener.get(), nullptr));
        return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local.get()));
    }

    // soup_server_disconnect() would also close the connections of requests in progress, and a server without a
    // listener keeps no connection alive. Hence the listener stays, and only its socket stops listening.
    void stopAccepting()
    {
        if (!this->listener)
            return;
        this->acceptWaiting();
        g_socket_shutdown(this->listener.get(), TRUE, TRUE, nullptr);
    }

    const std::shared_ptr<std::size_t> exchangesInProgress = std::make_shared<std::size_t>(0);

private:
    //! Takes in connections that are established but not accepted, which the end of listening would reset.
    void acceptWaiting()
    {
        while (auto* accepted = g_socket_accept(this->listener.get(), nullptr, nullptr)) {
            ObjectPointer<GSocket> socket(accepted);
            ObjectPointer<GSocketConnection> stream(g_socket_connection_factory_create_connection(accepted));
            ObjectPointer<GSocketAddress> local(g_socket_get_local_address(accepted, nullptr));
            ObjectPointer<GSocketAddress> remote(g_socket_get_remote_address(accepted, nullptr));
            soup_server_accept_iostream(
                this->server.get(), G_IO_STREAM(stream.get()), local.get(), remote.get(), nullptr);
        }
    }

    void onHeaders(SoupServerMessage* message)
    {
        auto exchange = std::make_shared<SoupExchange>(message, this->exchangesInProgress);
        g_object_set_data_full(G_OBJECT(message), exchangeKey, new ExchangeHolder(exchange), [](gpointer data) {
            std::unique_ptr<ExchangeHolder> holder(static_cast<ExchangeHolder*>(data));
            (*holder)->onFinished();
        });
        exchange->attach();
        this->handler.onRequest(exchange);
    }

    CallerHandler& handler;
    ObjectPointer<SoupServer> server;
    ObjectPointer<GSocket> listener;
};

CallerServer::CallerServer(CallerHandler& handler)
    : impl(std::make_unique<Impl>(handler))
{
}

CallerServer::~CallerServer() = default;

Result<Success> CallerServer::listen(const std::string& address)
{
    return this->impl->listen(address);
}

int CallerServer::port() const
{
    return this->impl->port();
}

std::size_t CallerServer::exchangesInProgress() const
{
    return *this->impl->exchangesInProgress;
}

void CallerServer::stopAccepting()
{
    this->impl->stopAccepting();
}

}
