#include "ProcessFigures.h"

#include <filesystem>
#include <fstream>

namespace sequoia::crowd {

ProcessFigures ProcessFigures::read(const std::string& processId)
{
    ProcessFigures figures;
    auto folder = "/proc/" + processId;
    std::ifstream status(folder + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            figures.peakKilobytes = std::stoul(line.substr(6));
        else if (line.starts_with("VmRSS:"))
            figures.residentKilobytes = std::stoul(line.substr(6));
    }
    std::error_code error;
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(folder + "/fd", error))
        ++figures.descriptors;
    return figures;
}

}
