#include "HttpCall.h"

#include <cassert>

namespace sequoia::platform {

namespace {

constexpr gsize readChunkBytes = 64 << 10;

BytesPointer toBytes(std::string_view text)
{
    return BytesPointer(g_bytes_new(text.data(), text.size()));
}

//! Takes back the reference that retained() gave to an asynchronous operation.
std::shared_ptr<HttpCall> takeReference(gpointer data)
{
    std::unique_ptr<std::shared_ptr<HttpCall>> reference(static_cast<std::shared_ptr<HttpCall>*>(data));
    return *reference;
}

}

HttpCall::HttpCall(HttpRequest request, Callback callback)
    : request(std::move(request))
    , callback(std::move(callback))
    , cancellable(g_cancellable_new())
{
}

gpointer HttpCall::retained()
{
    return new std::shared_ptr<HttpCall>(this->shared_from_this());
}

void HttpCall::start(SoupSession* session, Duration timeout)
{
    this->message.reset(soup_message_new(this->request.method.c_str(), this->request.uri.c_str()));
    assert(this->message);
    unsigned flags = SOUP_MESSAGE_NO_REDIRECT;
    // libsoup sends a PUT again by itself when a reused connection is lost before the answer. A write that was
    // applied would then be reported as a conflict with itself; a new connection rules this out.
    if (this->request.body)
        flags |= SOUP_MESSAGE_NEW_CONNECTION;
    soup_message_set_flags(this->message.get(), static_cast<SoupMessageFlags>(flags));
    auto* headers = soup_message_get_request_headers(this->message.get());
    for (const auto& [name, value] : this->request.headers)
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    if (this->request.body) {
        auto bytes = toBytes(*this->request.body);
        soup_message_set_request_body_from_bytes(this->message.get(), "application/octet-stream", bytes.get());
    }
    // "starting" precedes the first byte: without it, the server has seen nothing of the request.
    auto onStarting = +[](SoupMessage*, gpointer data) { static_cast<HttpCall*>(data)->started = true; };
    g_signal_connect(this->message.get(), "starting", G_CALLBACK(onStarting), this);
    this->timer = std::make_unique<runtime::Timer>(timeout, runtime::Timer::Repeat::Once, [this] {
        this->timedOut = true;
        g_cancellable_cancel(this->cancellable.get());
    });
    soup_session_send_async(
        session, this->message.get(), G_PRIORITY_DEFAULT, this->cancellable.get(), onSent, this->retained());
}

void HttpCall::drop()
{
    this->callback = nullptr;
    this->timer.reset();
    g_cancellable_cancel(this->cancellable.get());
}

void HttpCall::onSent(GObject* session, GAsyncResult* result, gpointer data)
{
    auto self = takeReference(data);
    GError* error = nullptr;
    self->stream.reset(soup_session_send_finish(SOUP_SESSION(session), result, &error));
    if (error) {
        ErrorPointer owned(error);
        self->fail(*owned);
        return;
    }
    auto* headers = soup_message_get_response_headers(self->message.get());
    self->answer.status = soup_message_get_status(self->message.get());
    if (const char* etag = soup_message_headers_get_one(headers, "ETag"))
        self->answer.etag = etag;
    // libsoup takes a malformed chunk size for the end of the body, and without any length the end of the
    // connection; only Content-Length tells a truncated body from a complete one.
    if (self->request.lengthRequired && self->answer.status == SOUP_STATUS_OK
        && soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CONTENT_LENGTH) {
        self->fail(true, "the answer has no Content-Length");
        return;
    }
    self->readMore();
}

void HttpCall::readMore()
{
    g_input_stream_read_bytes_async(
        this->stream.get(), readChunkBytes, G_PRIORITY_DEFAULT, this->cancellable.get(), onRead, this->retained());
}

void HttpCall::onRead(GObject* stream, GAsyncResult* result, gpointer data)
{
    auto self = takeReference(data);
    GError* error = nullptr;
    BytesPointer chunk(g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error));
    if (error) {
        ErrorPointer owned(error);
        self->fail(*owned);
        return;
    }
    self->append(chunk.get());
}

void HttpCall::append(GBytes* chunk)
{
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(chunk, &size));
    if (size == 0) {
        this->finish(std::move(this->answer));
        return;
    }
    if (size > this->request.maxAnswerBytes - this->answer.body.size()) {
        this->fail(true, "the answer is larger than " + std::to_string(this->request.maxAnswerBytes) + " bytes");
        return;
    }
    this->answer.body.append(data, size);
    this->readMore();
}

void HttpCall::fail(const GError& error)
{
    if (this->timedOut) {
        this->fail(false, "no complete answer within the time limit");
        return;
    }
    bool malformed = error.domain == SOUP_SESSION_ERROR
        && (error.code == SOUP_SESSION_ERROR_PARSING || error.code == SOUP_SESSION_ERROR_ENCODING);
    this->fail(malformed, error.message);
}

void HttpCall::fail(bool malformed, std::string message)
{
    this->finish(HttpFailure { this->started, malformed, std::move(message) });
}

void HttpCall::finish(HttpResult result)
{
    this->timer.reset();
    this->stream.reset();
    g_signal_handlers_disconnect_by_data(this->message.get(), this);
    if (auto done = std::exchange(this->callback, nullptr))
        done(this->shared_from_this(), std::move(result));
}

}
