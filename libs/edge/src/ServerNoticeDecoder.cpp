#include "ServerNoticeDecoder.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace sequoia::edge {

namespace {

constexpr unsigned unavailableStatus = 503;
constexpr const char* retryAfterHeader = "Retry-After";
// Longer values are cut off in the log.
constexpr std::size_t maxLoggedValue = 40;

std::optional<Duration> parseSeconds(const std::string& text)
{
    // Excludes signs, exponents, dates and "inf", which from_chars() accepts or stops at.
    if (text.find_first_not_of("0123456789.") != std::string::npos)
        return std::nullopt;
    double seconds = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    if (end != text.data() + text.size())
        return std::nullopt;
    if (status == std::errc::result_out_of_range)
        return balance::maxServerPause;
    if (status != std::errc())
        return std::nullopt;
    auto limit = std::chrono::duration<double>(balance::maxServerPause);
    return std::chrono::duration_cast<Duration>(std::min(std::chrono::duration<double>(seconds), limit));
}

}

DecodedNotice decodeServerNotice(const http::MessageHead& response, const HeaderNames& names)
{
    DecodedNotice result;
    const auto* leaving = response.headers.find(names.leaving);
    result.notice.leaving = leaving && *leaving == "1";
    const auto* text = response.headers.find(retryAfterHeader);
    if (!text || response.status != unavailableStatus)
        return result;
    auto pause = response.headers.count(retryAfterHeader) == 1 ? parseSeconds(*text) : std::nullopt;
    if (pause)
        result.notice.pause = *pause;
    else
        result.invalidRetryAfter = text->empty() ? "(empty)" : text->substr(0, maxLoggedValue);
    return result;
}

}
