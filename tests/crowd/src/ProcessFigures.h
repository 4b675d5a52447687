#pragma once

#include <cstddef>
#include <string>

namespace sequoia::crowd {

//! Memory and descriptors of a process, from /proc. All are 0 when the process has ended.
struct ProcessFigures {
    std::size_t residentKilobytes = 0;
    std::size_t peakKilobytes = 0;
    std::size_t descriptors = 0;

    static ProcessFigures read(const std::string& processId);
};

}
