#include "client/HttpClient.h"

#include <algorithm>

namespace sequoia::client {

namespace {

// Response bodies are buffered up to this size; a larger response fails the request.
constexpr std::size_t defaultMaxResponseBytes = std::size_t { 8 } * 1024 * 1024;
// The pool's own idle timeout is shorter.
constexpr Duration maxIdle = std::chrono::minutes(1);

std::string requestText(const std::string& address, const HttpRequest& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (!request.headers.find("Host"))
        text += "Host: " + address + "\r\n";
    if (!request.contentType.empty())
        text += "Content-Type: " + request.contentType + "\r\n";
    if (!request.body.empty() || request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    for (const auto& header : request.headers.all())
        text += header.name + ": " + header.value + "\r\n";
    if (!request.tagHeader.empty())
        text += request.tagHeader + ": " + request.tag + "\r\n";
    return text + "\r\n" + request.body;
}

}

class HttpClient::Pending final : public RequestObserver {
public:
    Pending(HttpClient& owner, std::string target, const HttpRequest& request, Callback done)
        : client(owner)
        , address(std::move(target))
        , tagHeader(request.tagHeader)
        , tag(request.tag)
        , callback(std::move(done))
    {
    }

    ResponseMatch matchResponse(const http::MessageHead& head) override
    {
        const auto* id = this->tagHeader.empty() ? nullptr : head.headers.find(this->tagHeader);
        return !id || *id == this->tag ? ResponseMatch::Accept : ResponseMatch::Skip;
    }

    void onSending() override { this->sent = true; }

    void onResponse(const http::MessageHead& head, std::string_view bytes, bool complete) override
    {
        if (!complete) {
            this->connection->abort();
            this->connection = nullptr;
            this->client.finish(*this, this->unknown("the response exceeds the size limit"));
            return;
        }
        this->connection = nullptr;
        this->client.finish(*this, HttpResponse { head.status, head.headers, std::string(bytes) });
    }

    void onFailure(RequestFailure failure, const std::string& reason) override
    {
        this->connection = nullptr;
        if (failure == RequestFailure::ConnectFailed)
            this->client.finish(*this, this->unavailable(reason));
        else
            this->client.finish(*this, this->unknown(reason));
    }

    void expire()
    {
        bool wasSent = this->sent;
        // Resets the connection, since callers rely on a timed-out request not reaching the server later.
        if (this->connection)
            this->connection->reset();
        this->connection = nullptr;
        this->client.finish(*this,
            wasSent ? this->unknown("no answer in time") : this->unavailable("not connected within the timeout"));
    }

    ClientConnection* connection = nullptr;
    net::Reactor::TimerId timer {};

private:
    Error unknown(const std::string& reason) const
    {
        return Error { ErrorKind::OutcomeUnknown, this->address + ": " + reason, "the request may have been executed" };
    }

    Error unavailable(const std::string& reason) const
    {
        return Error { ErrorKind::Unavailable, this->address + ": " + reason,
            "check that the peer runs, or try again" };
    }

    HttpClient& client;
    std::string address;
    std::string tagHeader;
    std::string tag;
    bool sent = false;

public:
    Callback callback;
};

HttpClient::HttpClient(net::Reactor& owner, Duration idleTimeout)
    : reactor(owner)
    , pool(owner, idleTimeout)
{
}

HttpClient::~HttpClient()
{
    for (auto& pending : this->pendingCalls)
        this->reactor.cancel(pending->timer);
}

void HttpClient::send(const std::string& address, const HttpRequest& request, Duration timeout, Callback callback)
{
    auto parsed = net::SocketAddress::parse(address);
    if (!succeeded(parsed)) {
        auto error = errorOf(parsed);
        this->reactor.defer([error, callback = std::move(callback)] { callback(error); });
        return;
    }
    auto& pending
        = *this->pendingCalls.emplace_back(std::make_unique<Pending>(*this, address, request, std::move(callback)));
    pending.timer = this->reactor.scheduleAfter(timeout, [&pending] { pending.expire(); });
    pending.connection = &this->pool.acquire(
        request.peer.empty() ? address : request.peer, valueOf(parsed), request.onNewConnection ? noReuse : maxIdle);
    pending.connection->startRequest(requestText(address, request), request.method == "HEAD",
        request.maxResponseBytes.value_or(defaultMaxResponseBytes), pending, request.tag);
    if (pending.connection)
        pending.connection->finishRequest();
}

void HttpClient::finish(Pending& pending, Result<HttpResponse> result)
{
    this->reactor.cancel(pending.timer);
    auto found = std::find_if(this->pendingCalls.begin(), this->pendingCalls.end(),
        [&](const auto& entry) { return entry.get() == &pending; });
    auto callback = std::move(pending.callback);
    // Destruction is deferred, since a method of the object may still be on the stack.
    std::shared_ptr<Pending> ended = std::move(*found);
    this->pendingCalls.erase(found);
    this->reactor.defer([ended] {});
    callback(std::move(result));
}

}
