#include "endpoint/HttpEndpoint.h"

#include <utility>

namespace sequoia::endpoint {

namespace {

constexpr std::uint32_t maxHeaderBytes = 16 * 1024;

}

class HttpEndpoint::Connection final : public net::StreamObserver,
                                       public Responder,
                                       public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpEndpoint& endpoint, int descriptor)
        : owner(&endpoint)
        , reactor(endpoint.reactor)
        , stream(endpoint.reactor, descriptor, *this)
        , parser(newParser())
    {
    }

    void sendResponse(const Response& response) override
    {
        std::string text = "HTTP/1.1 " + std::to_string(response.status) + " "
            + std::string(http::reasonPhrase(response.status)) + "\r\nContent-Type: " + response.contentType
            + "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
        for (const auto& header : response.headers.all())
            text.append(header.name).append(": ").append(header.value).append("\r\n");
        this->sendRaw(text + "\r\n" + response.body, false);
    }

    void sendRaw(std::string_view bytes, bool close) override
    {
        if (!this->stream.isOpen())
            return;
        this->stream.write(bytes);
        if (close) {
            this->stream.finishWriting();
            return;
        }
        this->awaitingResponse = false;
        this->disconnectCallback = nullptr;
        // Deferred, since onInput() may be on the stack, calling the handler.
        this->reactor.defer([self = this->shared_from_this()] { self->onInput(); });
    }

    void closeConnection() override { this->disconnect(); }
    void setDisconnectCallback(std::function<void()> callback) override
    {
        this->disconnectCallback = std::move(callback);
    }

    void onInput() override
    {
        while (!this->awaitingResponse && this->stream.isOpen() && !this->stream.input().empty()) {
            auto parsed = this->parser->parse(this->stream.input(), this->request.body);
            if (!succeeded(parsed)) {
                this->disconnect();
                return;
            }
            this->stream.consume(valueOf(parsed));
            if (!this->parser->complete())
                return;
            this->request.head = this->parser->head();
            this->parser = newParser();
            this->awaitingResponse = true;
            auto complete = std::exchange(this->request, {});
            this->owner->handler(complete, this->shared_from_this());
        }
    }

    void onEnd(net::StreamEnd) override { this->disconnect(); }

    void disconnect()
    {
        this->stream.close();
        auto callback = std::exchange(this->disconnectCallback, nullptr);
        if (!this->owner)
            return;
        auto& connections = std::exchange(this->owner, nullptr)->connections;
        auto found = connections.find(this);
        if (found != connections.end()) {
            this->reactor.defer([self = std::move(found->second)] {});
            connections.erase(found);
        }
        if (callback)
            callback();
    }

private:
    static std::unique_ptr<http::MessageParser> newParser()
    {
        return std::make_unique<http::MessageParser>(http::MessageType::Request, maxHeaderBytes);
    }

    HttpEndpoint* owner; //!< null after the connection has closed
    net::Reactor& reactor;
    net::TcpStream stream;
    std::unique_ptr<http::MessageParser> parser;
    Request request;
    bool awaitingResponse = false; //!< a request is handled and its response is pending
    std::function<void()> disconnectCallback;
};

HttpEndpoint::HttpEndpoint(net::Reactor& owner, Handler requests)
    : reactor(owner)
    , handler(std::move(requests))
{
}

HttpEndpoint::~HttpEndpoint()
{
    this->closeConnections();
}

void HttpEndpoint::closeConnections()
{
    while (!this->connections.empty())
        this->connections.begin()->second->disconnect();
}

Result<std::unique_ptr<HttpEndpoint>> HttpEndpoint::listen(
    net::Reactor& reactor, const net::SocketAddress& address, Handler handler)
{
    std::unique_ptr<HttpEndpoint> endpoint(new HttpEndpoint(reactor, std::move(handler)));
    auto listener = net::TcpListener::listen(
        reactor, address, [raw = endpoint.get()](int descriptor) { raw->accept(descriptor); });
    if (!succeeded(listener))
        return errorOf(listener);
    endpoint->listener = std::move(valueOf(listener));
    return endpoint;
}

void HttpEndpoint::accept(int descriptor)
{
    auto connection = std::make_shared<Connection>(*this, descriptor);
    this->connections[connection.get()] = connection;
}

}
