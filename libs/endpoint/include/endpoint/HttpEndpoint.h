#pragma once

#include "http/MessageParser.h"
#include "net/TcpListener.h"
#include "net/TcpStream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoia::endpoint {

//! A request with its complete body.
struct Request {
    http::MessageHead head;
    std::string body;
};

//! A response with a body of known length.
struct Response {
    unsigned status = 200;
    std::string body;
    std::string contentType = "text/plain; charset=utf-8";
    http::Headers headers {};
};

//! Responds to one request, immediately or later. Responses after the peer has disconnected are discarded.
class Responder {
public:
    virtual ~Responder() = default;
    virtual void sendResponse(const Response& response) = 0;
    //! Sends raw bytes, for fault injection in stand-ins; then closes the connection if `close` is set.
    virtual void sendRaw(std::string_view bytes, bool close) = 0;
    //! Closes the connection without a response.
    virtual void closeConnection() = 0;
    //! Sets a callback for when the connection closes before the response.
    virtual void setDisconnectCallback(std::function<void()> callback) = 0;
};

//! A small HTTP/1.1 server: one request at a time per connection, with bodies read completely.
class HttpEndpoint {
public:
    using Handler = std::function<void(const Request&, const std::shared_ptr<Responder>&)>;

    static Result<std::unique_ptr<HttpEndpoint>> listen(
        net::Reactor& reactor, const net::SocketAddress& address, Handler handler);
    ~HttpEndpoint();

    HttpEndpoint(const HttpEndpoint&) = delete;
    HttpEndpoint& operator=(const HttpEndpoint&) = delete;

    //! The bound address, with the port that the kernel chose for port 0.
    net::SocketAddress address() const { return this->listener->address(); }
    std::size_t connectionCount() const { return this->connections.size(); }
    //! Closes all connections; new ones are still accepted.
    void closeConnections();

private:
    class Connection;

    HttpEndpoint(net::Reactor& reactor, Handler handler);
    void accept(int descriptor);

    net::Reactor& reactor;
    Handler handler;
    std::unique_ptr<net::TcpListener> listener;
    std::map<Connection*, std::shared_ptr<Connection>> connections;
};

}
