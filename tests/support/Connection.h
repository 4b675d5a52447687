#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace sequoia::test {

//! A TCP connection for tests that writes and reads raw bytes and blocks. Every wait ends after a guard time with an
//! exception, so that a fault shows as a failure and not as a hanging program.
class Connection {
public:
    static Connection connect(int port);
    explicit Connection(int descriptor);
    ~Connection();

    Connection(Connection&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
        , buffer(std::move(other.buffer))
    {
    }
    Connection& operator=(Connection&&) = delete;

    void write(std::string_view bytes);
    //! Reads the header block of a message, up to and with the empty line.
    std::string readHead();
    std::string readExactly(std::size_t size);
    //! Everything until the peer closes or resets the connection.
    std::string readToEnd();
    //! One response or request with Content-Length or none.
    std::string readMessage();
    //! Ends the sending direction only.
    void finishWriting();
    void close();

private:
    bool readSome();

    int descriptor;
    std::string buffer;
};

}
