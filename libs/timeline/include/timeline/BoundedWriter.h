#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoia::timeline {

//! Writes log lines to a file descriptor without blocking on its reader. Lines that do not fit into a bounded buffer
//! are dropped and counted; the count is written as a separate line once there is space.
class BoundedWriter {
public:
    BoundedWriter(int descriptor, std::size_t bufferLimit);

    void write(std::string_view line);
    //! Writes as much of the buffer as possible without blocking.
    void flush();
    std::uint64_t droppedLines() const { return this->dropped; }

private:
    bool writeSome();

    int descriptor;
    std::size_t bufferLimit;
    std::string pending;
    std::uint64_t dropped = 0;
    std::uint64_t reported = 0;
};

}
