#include "Connection.h"

#include <arpa/inet.h>
#include <cctype>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoia::test {

namespace {

constexpr int guardMillis = 20'000;
constexpr std::size_t readSize = 256 * 1024;

void await(int descriptor, short events)
{
    pollfd entry { descriptor, events, 0 };
    if (poll(&entry, 1, guardMillis) != 1)
        throw std::runtime_error("no activity on the connection within the guard time");
}

std::size_t contentLength(std::string head)
{
    for (auto& c : head)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    auto position = head.find("\r\ncontent-length:");
    return position == std::string::npos ? 0 : std::stoul(head.substr(position + 17));
}

}

Connection Connection::connect(int port)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        throw std::runtime_error("connection refused");
    }
    return Connection(descriptor);
}

Connection::Connection(int open)
    : descriptor(open)
{
}

Connection::~Connection()
{
    this->close();
}

void Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        await(this->descriptor, POLLOUT);
        auto count = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno == EAGAIN)
            continue;
        if (count < 0)
            throw std::runtime_error("the peer closed the connection");
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

bool Connection::readSome()
{
    await(this->descriptor, POLLIN);
    std::string chunk(readSize, '\0');
    auto count = recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0)
        return false;
    this->buffer.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
}

std::string Connection::readHead()
{
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->readSome())
            throw std::runtime_error("the connection ended in a header block: " + this->buffer);
    }
    auto head = this->buffer.substr(0, end + 4);
    this->buffer.erase(0, end + 4);
    return head;
}

std::string Connection::readExactly(std::size_t size)
{
    while (this->buffer.size() < size) {
        if (!this->readSome())
            throw std::runtime_error("the connection ended in a body");
    }
    auto bytes = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return bytes;
}

std::string Connection::readToEnd()
{
    while (this->readSome()) { }
    return std::exchange(this->buffer, {});
}

std::string Connection::readMessage()
{
    auto head = this->readHead();
    return head + this->readExactly(contentLength(head));
}

void Connection::finishWriting()
{
    shutdown(this->descriptor, SHUT_WR);
}

void Connection::close()
{
    if (this->descriptor >= 0)
        ::close(std::exchange(this->descriptor, -1));
}

}
