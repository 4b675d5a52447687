#pragma once

#include "http/MessageParser.h"
#include "net/TcpListener.h"
#include "net/TcpStream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoia::node {

//! A response of this process itself.
struct TextPage {
    unsigned status = 200;
    std::string body;
};

//! Serves short texts by path: readiness, metrics.
class TextEndpoint {
public:
    using Handler = std::function<TextPage(const std::string& path)>;

    static Result<std::unique_ptr<TextEndpoint>> listen(
        net::Reactor& reactor, const net::SocketAddress& address, Handler handler);

private:
    class Connection;

    TextEndpoint(net::Reactor& reactor, Handler handler);
    void accept(int descriptor);

    net::Reactor& reactor;
    Handler handler;
    std::unique_ptr<net::TcpListener> listener;
    std::map<Connection*, std::shared_ptr<Connection>> connections;
};

}
