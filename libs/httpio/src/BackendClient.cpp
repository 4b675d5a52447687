#include "httpio/BackendClient.h"

#include "httpio/BodyStream.h"
#include "httpio/SocketEnd.h"

#include <array>
#include <cassert>
#include <string_view>

namespace sequoia::httpio {

namespace {

constexpr gsize responseChunkBytes = 64UL * 1024;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusUnavailable = 503;
constexpr int unlimitedConnections = 1 << 20;

bool isMalformed(const GError* error)
{
    return g_error_matches(error, SOUP_SESSION_ERROR, SOUP_SESSION_ERROR_PARSING)
        || g_error_matches(error, SOUP_SESSION_ERROR, SOUP_SESSION_ERROR_ENCODING);
}

std::string headerOf(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_list(headers, name);
    return value ? value : "";
}

}

//! Sockets of the open connections by libsoup's connection id, so that an attempt can cut off its connection.
class BackendClient::Connections {
public:
    void add(guint64 id, GSocket* socket)
    {
        this->prune();
        g_weak_ref_init(&this->sockets[id], socket);
    }

    //! Null when the connection is closed.
    ObjectPointer<GSocket> find(guint64 id)
    {
        auto found = this->sockets.find(id);
        if (found == this->sockets.end())
            return nullptr;
        return ObjectPointer<GSocket>(static_cast<GSocket*>(g_weak_ref_get(&found->second)));
    }

    ~Connections()
    {
        for (auto& [id, reference] : this->sockets)
            g_weak_ref_clear(&reference);
    }

private:
    void prune()
    {
        for (auto entry = this->sockets.begin(); entry != this->sockets.end();) {
            auto* socket = static_cast<GSocket*>(g_weak_ref_get(&entry->second));
            if (socket) {
                g_object_unref(socket);
                ++entry;
                continue;
            }
            g_weak_ref_clear(&entry->second);
            entry = this->sockets.erase(entry);
        }
    }

    std::map<guint64, GWeakRef> sockets;
};

//! State of an attempt; kept alive by the asynchronous operations in progress.
class BackendClient::Attempt : public std::enable_shared_from_this<Attempt> {
public:
    Attempt(BackendRequest source, std::shared_ptr<AttemptListener> receiver, std::shared_ptr<Connections> known)
        : request(std::move(source))
        , listener(std::move(receiver))
        , connections(std::move(known))
        , cancellable(g_cancellable_new())
    {
    }

    ~Attempt() { this->disconnectSignals(); }

    void start(SoupSession* session)
    {
        this->createMessage();
        soup_session_send_async(
            session, this->message.get(), G_PRIORITY_DEFAULT, this->cancellable.get(),
            [](GObject* source, GAsyncResult* result, gpointer data) {
                auto attempt = takeReference(data);
                GError* error = nullptr;
                ObjectPointer<GInputStream> stream(soup_session_send_finish(SOUP_SESSION(source), result, &error));
                attempt->onSent(std::move(stream), ErrorPointer(error));
            },
            this->newReference());
    }

    void abort()
    {
        if (this->finished)
            return;
        this->finish();
        this->cutOff();
    }

    void readMore()
    {
        if (this->finished)
            return;
        assert(this->stream);
        g_input_stream_read_bytes_async(
            this->stream.get(), responseChunkBytes, G_PRIORITY_DEFAULT, this->cancellable.get(),
            [](GObject* source, GAsyncResult* result, gpointer data) {
                auto attempt = takeReference(data);
                GError* error = nullptr;
                Bytes bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &error));
                attempt->onRead(std::move(bytes), ErrorPointer(error));
            },
            this->newReference());
    }

private:
    using Reference = std::shared_ptr<Attempt>;

    gpointer newReference() { return new Reference(this->shared_from_this()); }

    static Reference takeReference(gpointer data)
    {
        std::unique_ptr<Reference> holder(static_cast<Reference*>(data));
        return *holder;
    }

    void createMessage()
    {
        auto uri = "http://" + this->request.address + this->request.target;
        GUri* parsed = g_uri_parse(uri.c_str(), static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS), nullptr);
        assert(parsed);
        this->message.reset(soup_message_new_from_uri(this->request.method.c_str(), parsed));
        g_uri_unref(parsed);
        unsigned flags = SOUP_MESSAGE_NO_REDIRECT;
        // On a fresh connection, the loss of the connection can never come from the server closing an idle one.
        if (!this->request.reuseConnection)
            flags |= SOUP_MESSAGE_NEW_CONNECTION;
        soup_message_set_flags(this->message.get(), static_cast<SoupMessageFlags>(flags));
        if (this->request.body) {
            this->body = createBodyStream(this->request.body);
            gssize length = this->request.bodyLength ? static_cast<gssize>(*this->request.bodyLength) : -1;
            soup_message_set_request_body(this->message.get(), nullptr, this->body.get(), length);
        }
        auto* headers = soup_message_get_request_headers(this->message.get());
        for (const auto& [name, value] : this->request.headers)
            soup_message_headers_append(headers, name.c_str(), value.c_str());
        soup_message_headers_replace(headers, header::requestId, this->request.requestId.c_str());
        // Without the feature in the session, libsoup would collect the bodies of responses with status 401.
        soup_message_disable_feature(this->message.get(), SOUP_TYPE_AUTH_MANAGER);
        this->connectSignals();
    }

    void connectSignals()
    {
        auto* source = this->message.get();
        g_signal_connect(source, "network-event",
            G_CALLBACK(+[](SoupMessage*, GSocketClientEvent event, GIOStream* connection, gpointer data) {
                if (event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION(connection))
                    static_cast<Attempt*>(data)->freshConnection = retain(G_SOCKET_CONNECTION(connection));
            }),
            this);
        g_signal_connect(source, "starting",
            G_CALLBACK(+[](SoupMessage*, gpointer data) { static_cast<Attempt*>(data)->onStarting(); }), this);
        g_signal_connect(source, "wrote-body",
            G_CALLBACK(+[](SoupMessage*, gpointer data) { static_cast<Attempt*>(data)->onWritten(); }), this);
        g_signal_connect(source, "got-headers",
            G_CALLBACK(+[](SoupMessage*, gpointer data) { static_cast<Attempt*>(data)->onHeaders(); }), this);
        g_signal_connect(source, "restarted",
            G_CALLBACK(+[](SoupMessage*, gpointer data) { static_cast<Attempt*>(data)->onRestarted(); }), this);
    }

    void disconnectSignals()
    {
        if (this->message)
            g_signal_handlers_disconnect_by_data(this->message.get(), this);
    }

    //! libsoup is about to write the first byte.
    void onStarting()
    {
        auto id = soup_message_get_connection_id(this->message.get());
        if (this->freshConnection)
            this->connections->add(id, g_socket_connection_get_socket(this->freshConnection.get()));
        this->socket = this->connections->find(id);
        this->freshConnection.reset();
        if (!this->started && !this->finished && this->request.maySend && !this->request.maySend()) {
            this->sendRefused = true;
            this->cutOff();
            return;
        }
        // An attempt that was given up while it connected must not send after all.
        if (this->finished || this->started) {
            this->cutOff();
            return;
        }
        this->started = true;
        this->receiver()->onFirstByteSent();
    }

    void onWritten()
    {
        if (!this->finished)
            this->receiver()->onRequestSent();
    }

    // libsoup sends a request again on another connection after status 421, so that one is examined before.
    void onHeaders()
    {
        if (!this->finished && soup_message_get_status(this->message.get()) == SOUP_STATUS_MISDIRECTED_REQUEST)
            this->examineHead();
    }

    // libsoup sends a request again when a connection that it used before turns out to be closed. Whether an
    // attempt may be repeated is for the dispatcher to decide.
    void onRestarted()
    {
        this->restarted = true;
        g_cancellable_cancel(this->cancellable.get());
    }

    void onSent(ObjectPointer<GInputStream> received, ErrorPointer error)
    {
        if (this->finished) {
            this->stream = std::move(received);
            this->closeStream();
            return;
        }
        if (error) {
            this->reportFailure(*error);
            return;
        }
        this->stream = std::move(received);
        this->examineHead();
    }

    void reportFailure(const GError& error)
    {
        auto receiver = this->finish();
        if (!this->started)
            receiver->onConnectionFailed(this->sendRefused ? "the route expired while connecting" : error.message);
        else if (this->restarted)
            receiver->onConnectionLost("the server closed the idle connection");
        else {
            this->cutOff();
            if (isMalformed(&error))
                receiver->onBadResponse(error.message);
            else
                receiver->onConnectionLost(error.message);
        }
    }

    void examineHead()
    {
        auto* headers = soup_message_get_response_headers(this->message.get());
        auto status = static_cast<unsigned>(soup_message_get_status(this->message.get()));
        // Nothing in a response to another request may be believed, least of all that it was not run.
        if (headerOf(headers, header::requestId) != this->request.requestId) {
            this->rejectHead("the response is for request \"" + headerOf(headers, header::requestId) + "\"");
            return;
        }
        if ((status == statusMisdirected || status == statusUnavailable)
            && headerOf(headers, header::outcome) == "not-run") {
            auto receiver = this->finish();
            this->cutOff();
            receiver->onRejected(status);
            return;
        }
        if (status == statusMisdirected) {
            this->rejectHead("status 421 does not say that the request was not run");
            return;
        }
        auto framing = framingOf(headers);
        bool hasBody
            = this->request.method != "HEAD" && status != SOUP_STATUS_NO_CONTENT && status != SOUP_STATUS_NOT_MODIFIED;
        if (status < firstFinalStatus || framing == Framing::Invalid) {
            this->rejectHead("status or framing of the response is invalid");
            return;
        }
        // The end of a body that is framed by the end of the connection cannot be told from a broken connection.
        if (hasBody && framing == Framing::None) {
            this->rejectHead("the response announces no length");
            return;
        }
        this->chunked = framing == Framing::Chunked;
        ResponseHead head { status, soup_message_get_reason_phrase(this->message.get()),
            forwardedResponseHeaders(headers), std::nullopt, hasBody };
        if (framing == Framing::Length)
            head.bodyLength = static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers));
        this->receiver()->onHead(head);
    }

    void rejectHead(const std::string& reason)
    {
        auto receiver = this->finish();
        this->cutOff();
        receiver->onBadResponse(reason);
    }

    void onRead(Bytes bytes, ErrorPointer error)
    {
        if (this->finished)
            return;
        if (error) {
            auto receiver = this->finish();
            this->cutOff();
            if (g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_INVALID_DATA))
                receiver->onBadResponse(error->message);
            else
                receiver->onConnectionLost(error->message);
            return;
        }
        if (g_bytes_get_size(bytes.get()) > 0) {
            this->receiver()->onChunk(std::move(bytes));
            return;
        }
        auto receiver = this->finish();
        if (this->chunked && isAtEnd(this->socket.get())) {
            this->cutOff();
            receiver->onConnectionLost("the connection ended with the last chunk");
            return;
        }
        this->closeStream();
        receiver->onComplete();
    }

    //! Keeps the listener alive during a call in which it may abort the attempt.
    std::shared_ptr<AttemptListener> receiver() const { return this->listener; }

    //! Marks the attempt as finished and returns its listener for the last call.
    std::shared_ptr<AttemptListener> finish()
    {
        this->finished = true;
        return std::move(this->listener);
    }

    //! Closes the connection. The socket goes first: closing libsoup's streams in an orderly way would end a
    //! chunked request body with its final chunk, and the server would run a request that is incomplete.
    void cutOff()
    {
        // The end of sending and receiving, at once.
        if (this->socket)
            g_socket_shutdown(this->socket.get(), TRUE, TRUE, nullptr);
        else if (this->freshConnection)
            g_socket_shutdown(g_socket_connection_get_socket(this->freshConnection.get()), TRUE, TRUE, nullptr);
        if (this->body)
            detachBodyStream(this->body.get());
        g_cancellable_cancel(this->cancellable.get());
        this->closeStream();
    }

    void closeStream()
    {
        if (this->body)
            detachBodyStream(this->body.get());
        if (!this->stream || this->streamClosed)
            return;
        this->streamClosed = true;
        g_input_stream_close_async(this->stream.get(), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    }

    BackendRequest request;
    std::shared_ptr<AttemptListener> listener;
    std::shared_ptr<Connections> connections;
    ObjectPointer<GCancellable> cancellable;
    ObjectPointer<SoupMessage> message;
    ObjectPointer<GSocketConnection> freshConnection;
    ObjectPointer<GSocket> socket;
    bool chunked = false;
    ObjectPointer<GInputStream> body;
    ObjectPointer<GInputStream> stream;
    bool started = false;
    bool restarted = false;
    bool sendRefused = false;
    bool finished = false;
    bool streamClosed = false;
};

class BackendClient::AttemptHandle final : public BackendAttempt {
public:
    explicit AttemptHandle(std::shared_ptr<Attempt> started)
        : attempt(std::move(started))
    {
    }
    ~AttemptHandle() override { this->attempt->abort(); }

    void readMore() override { this->attempt->readMore(); }

private:
    std::shared_ptr<Attempt> attempt;
};

BackendClient::BackendClient(unsigned maxConnectionsPerServer)
    : session(soup_session_new_with_options("max-conns", unlimitedConnections, "max-conns-per-host",
        static_cast<int>(maxConnectionsPerServer), "proxy-resolver", nullptr, nullptr))
    , connections(std::make_shared<Connections>())
{
    // These features would change requests or responses on their way.
    for (GType feature : { SOUP_TYPE_CONTENT_DECODER, SOUP_TYPE_CONTENT_SNIFFER, SOUP_TYPE_COOKIE_JAR, SOUP_TYPE_CACHE,
             SOUP_TYPE_HSTS_ENFORCER })
        soup_session_remove_feature_by_type(this->session.get(), feature);
}

BackendClient::~BackendClient()
{
    soup_session_abort(this->session.get());
}

std::unique_ptr<BackendAttempt> BackendClient::send(BackendRequest request, std::shared_ptr<AttemptListener> listener)
{
    auto attempt = std::make_shared<Attempt>(std::move(request), std::move(listener), this->connections);
    attempt->start(this->session.get());
    return std::make_unique<AttemptHandle>(std::move(attempt));
}

}
