#include "CrowdCaller.h"

#include <algorithm>

namespace sequoia::crowd {

CrowdCaller::CrowdCaller(net::Reactor& owner, const net::SocketAddress& target, const CallerBytes& content)
    : reactor(owner)
    , address(target)
    , bytes(content)
{
    this->connect();
}

void CrowdCaller::connect()
{
    this->ended = false;
    this->sent = 0;
    net::StreamObserver& self = *this;
    this->stream = std::make_unique<net::TcpStream>(this->reactor, this->address, self);
    this->stream->setReading(this->bytes.reads);
    this->stream->write(this->bytes.start);
}

void CrowdCaller::sendMore()
{
    if (this->ended) {
        this->connect();
        return;
    }
    if (!this->stream->isConnected() || this->stream->unsentBytes() > 0 || this->bytes.repeated.empty())
        return;
    auto left = this->bytes.limit ? *this->bytes.limit - this->sent : this->bytes.piece;
    auto offset = static_cast<std::size_t>(this->sent % this->bytes.repeated.size());
    auto piece = std::string_view(this->bytes.repeated).substr(offset);
    piece = piece.substr(0, std::min<std::uint64_t>(left, this->bytes.piece));
    this->sent += piece.size();
    this->stream->write(piece);
}

void CrowdCaller::onInput()
{
    this->stream->consume(this->stream->input().size());
}

void CrowdCaller::onEnd(net::StreamEnd)
{
    this->ended = true;
}

}
