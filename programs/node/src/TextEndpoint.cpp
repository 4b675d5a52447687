#include "TextEndpoint.h"

namespace sequoia::node {

namespace {

constexpr std::uint32_t headerLimit = 16 * 1024;

}

class TextEndpoint::Connection final : public net::StreamObserver {
public:
    Connection(TextEndpoint& endpoint, int descriptor)
        : owner(endpoint)
        , stream(endpoint.reactor, descriptor, *this)
        , parser(std::make_unique<http::MessageParser>(http::MessageType::Request, headerLimit))
    {
    }

    void onInput() override
    {
        std::string ignored;
        while (!this->stream.input().empty()) {
            auto parsed = this->parser->parse(this->stream.input(), ignored);
            if (!succeeded(parsed)) {
                this->end();
                return;
            }
            this->stream.consume(valueOf(parsed));
            if (!this->parser->complete())
                return;
            auto page = this->owner.handler(this->parser->head().target);
            this->stream.write("HTTP/1.1 " + std::to_string(page.status) + " "
                + std::string(http::reasonOf(page.status))
                + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: " + std::to_string(page.body.size())
                + "\r\n\r\n" + page.body);
            this->parser = std::make_unique<http::MessageParser>(http::MessageType::Request, headerLimit);
        }
    }

    void onEnd(net::StreamEnd) override { this->end(); }

private:
    void end()
    {
        this->stream.close();
        auto found = this->owner.connections.find(this);
        if (found == this->owner.connections.end())
            return;
        auto self = std::move(found->second);
        this->owner.connections.erase(found);
        this->owner.reactor.defer([self] {});
    }

    TextEndpoint& owner;
    net::TcpStream stream;
    std::unique_ptr<http::MessageParser> parser;
};

TextEndpoint::TextEndpoint(net::Reactor& owner, Handler pages)
    : reactor(owner)
    , handler(std::move(pages))
{
}

Result<std::unique_ptr<TextEndpoint>> TextEndpoint::listen(
    net::Reactor& reactor, const net::SocketAddress& address, Handler handler)
{
    std::unique_ptr<TextEndpoint> endpoint(new TextEndpoint(reactor, std::move(handler)));
    auto listener = net::TcpListener::listen(
        reactor, address, [raw = endpoint.get()](int descriptor) { raw->accept(descriptor); });
    if (!succeeded(listener))
        return errorOf(listener);
    endpoint->listener = std::move(valueOf(listener));
    return endpoint;
}

void TextEndpoint::accept(int descriptor)
{
    auto connection = std::make_shared<Connection>(*this, descriptor);
    this->connections[connection.get()] = connection;
}

}
