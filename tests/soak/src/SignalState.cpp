#include "SignalState.h"

#include <cstdint>
#include <fstream>
#include <string>

namespace sequoia::soak {

namespace {

constexpr int maskBase = 16;

}

bool catchesSignal(int process, int number)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    const std::string field = "SigCgt:";
    for (std::string line; std::getline(status, line);) {
        if (!line.starts_with(field))
            continue;
        auto caught = std::stoull(line.substr(field.size()), nullptr, maskBase);
        return (caught >> static_cast<unsigned>(number - 1) & 1U) != 0;
    }
    return true;
}

}
