#include "Protocol.h"

#include "platform/Stores.h"

#include <charconv>

namespace sequoia::platform {

namespace {

bool isSegmentValid(std::string_view segment)
{
    // HTTP clients and servers remove "." and ".." from paths, which would address another row.
    return !segment.empty() && segment != "." && segment != "..";
}

bool areSegmentsValid(std::string_view name)
{
    while (true) {
        auto slash = name.find('/');
        if (!isSegmentValid(name.substr(0, slash)))
            return false;
        if (slash == std::string_view::npos)
            return true;
        name.remove_prefix(slash + 1);
    }
}

bool isPrintableAscii(std::string_view name)
{
    constexpr char firstPrintable = 0x21;
    constexpr char lastPrintable = 0x7e;
    for (char character : name) {
        if (character < firstPrintable || character > lastPrintable)
            return false;
    }
    return true;
}

}

Result<Success> checkName(std::string_view name)
{
    if (name.size() <= maxNameBytes && isPrintableAscii(name) && areSegmentsValid(name))
        return Success {};
    return Error { ErrorKind::InvalidArgument, "the name is not valid",
        "use 1 to " + std::to_string(maxNameBytes)
            + " printable ASCII characters without spaces and without empty, \".\" or \"..\" path segments" };
}

std::string formatEtag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::optional<std::uint64_t> parseEtag(std::string_view tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    const char* first = tag.data() + 1;
    const char* last = tag.data() + tag.size() - 1;
    std::uint64_t version = 0;
    auto [end, status] = std::from_chars(first, last, version);
    if (status != std::errc() || end != last || version == 0)
        return std::nullopt;
    return version;
}

}
