#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoia::timeline {

//! Writes log lines to a descriptor without ever waiting for its reader. What does not fit into a bounded buffer is
//! dropped and counted; the count is written as a line of its own once there is room.
class BoundedWriter {
public:
    BoundedWriter(int descriptor, std::size_t bufferLimit);

    void write(std::string_view line);
    //! Writes what the reader takes now.
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
