#include "http/MessageHead.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <ostream>
// Must come after <ostream>, which it uses without including it.
#include <boost/beast/http/status.hpp>

namespace sequoia::http {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames { "connection", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };

std::string_view trimWhitespace(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

void Headers::add(std::string_view name, std::string_view value)
{
    this->fields.push_back({ std::string(name), std::string(value) });
}

const std::string* Headers::find(std::string_view name) const
{
    for (const auto& field : this->fields) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool Headers::hasToken(std::string_view name, std::string_view token) const
{
    for (const auto& field : this->fields) {
        if (!equalsIgnoringCase(field.name, name))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            auto comma = rest.find(',');
            if (equalsIgnoringCase(trimWhitespace(rest.substr(0, comma)), token))
                return true;
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return false;
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(this->fields.begin(), this->fields.end(),
        [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); }));
}

bool isHopByHop(const Headers& headers, std::string_view name)
{
    bool listed = std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
        [&](std::string_view candidate) { return equalsIgnoringCase(candidate, name); });
    return listed || headers.hasToken("Connection", name);
}

bool isHeaderSafe(std::string_view value)
{
    return std::none_of(
        value.begin(), value.end(), [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

std::string_view reasonPhrase(unsigned status)
{
    auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return { reason.data(), reason.size() };
}

}
