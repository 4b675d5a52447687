#include "FakeServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoia::test {

namespace {

int bindToFreePort(int descriptor)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("cannot bind");
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

}

RefusingPort::RefusingPort()
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , port(bindToFreePort(this->descriptor))
{
}

RefusingPort::~RefusingPort()
{
    ::close(this->descriptor);
}

FakeServer::FakeServer(std::vector<Step> steps)
    : script(std::move(steps))
    , listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    this->port = bindToFreePort(this->listener);
    // A test with thousands of connections would overflow a shorter queue on a busy machine, and each connection that
    // does not fit waits for seconds.
    if (listen(this->listener, SOMAXCONN) != 0)
        throw std::runtime_error("cannot listen");
    this->acceptor = std::thread([this] { this->accept(); });
}

FakeServer::~FakeServer()
{
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    for (auto& thread : this->threads)
        thread.join();
    ::close(this->listener);
}

std::size_t FakeServer::connections() const
{
    std::lock_guard lock(this->mutex);
    return this->accepted;
}

std::vector<std::string> FakeServer::faults() const
{
    std::lock_guard lock(this->mutex);
    return this->stepFaults;
}

void FakeServer::accept()
{
    for (;;) {
        int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        Connection connection(descriptor);
        std::size_t index = 0;
        {
            std::lock_guard lock(this->mutex);
            index = this->accepted++;
        }
        if (index < this->script.size())
            this->threads.emplace_back(
                [this, index, held = std::make_shared<Connection>(std::move(connection))]() mutable {
                    this->run(this->script[index], std::move(*held));
                });
    }
}

void FakeServer::run(const Step& step, Connection connection)
{
    try {
        step(connection);
    } catch (const std::exception& error) {
        std::lock_guard lock(this->mutex);
        this->stepFaults.emplace_back(error.what());
    }
}

std::string headerIn(const std::string& head, const std::string& name)
{
    std::size_t start = 0;
    while (start < head.size()) {
        auto end = head.find("\r\n", start);
        if (end == std::string::npos)
            end = head.size();
        auto line = head.substr(start, end - start);
        if (line.size() > name.size() && line[name.size()] == ':'
            && strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
            auto value = line.find_first_not_of(' ', name.size() + 1);
            return value == std::string::npos ? "" : line.substr(value);
        }
        start = end + 2;
    }
    return "";
}

std::string answerTo(
    const std::string& requestHead, const std::string& body, const std::string& status, const std::string& moreHeaders)
{
    return "HTTP/1.1 " + status + "\r\nSequoia-Request-Id: " + headerIn(requestHead, "Sequoia-Request-Id") + "\r\n"
        + moreHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

FakeServer::Step answering(const std::string& body, const std::string& status, const std::string& moreHeaders)
{
    return [=](Connection& connection) {
        connection.write(answerTo(connection.readMessage(), body, status, moreHeaders));
        connection.readToEnd();
    };
}

}
