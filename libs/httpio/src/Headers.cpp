#include "httpio/Headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <string_view>

namespace sequoia::httpio {

namespace {

using dispatch::RefusalCode;

//! Orders names of headers without regard to case.
struct NameLess {
    bool operator()(const std::string& left, const std::string& right) const
    {
        return g_ascii_strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};

using NameSet = std::set<std::string, NameLess>;

const NameSet& hopByHopNames()
{
    // RFC 9110, section 7.6.1. Content-Length follows from the body that is passed on.
    static const NameSet names { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length" };
    return names;
}

template <typename Visit> void forEachHeader(SoupMessageHeaders* headers, Visit visit)
{
    SoupMessageHeadersIter iterator;
    const char* name = nullptr;
    const char* value = nullptr;
    soup_message_headers_iter_init(&iterator, headers);
    while (soup_message_headers_iter_next(&iterator, &name, &value))
        visit(name, value);
}

HeaderList forwardedHeaders(SoupMessageHeaders* headers, const NameSet& replaced)
{
    NameSet dropped = hopByHopNames();
    dropped.insert(replaced.begin(), replaced.end());
    if (const char* connection = soup_message_headers_get_list(headers, "Connection")) {
        GSList* tokens = soup_header_parse_list(connection);
        for (GSList* token = tokens; token; token = token->next)
            dropped.insert(static_cast<const char*>(token->data));
        soup_header_free_list(tokens);
    }
    HeaderList kept;
    forEachHeader(headers, [&](const char* name, const char* value) {
        if (!dropped.contains(name))
            kept.emplace_back(name, value);
    });
    return kept;
}

std::size_t countOf(SoupMessageHeaders* headers, const char* wanted)
{
    std::size_t count = 0;
    forEachHeader(headers, [&](const char* name, const char*) { count += g_ascii_strcasecmp(name, wanted) == 0; });
    return count;
}

std::string textOf(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_list(headers, name);
    return value ? value : "";
}

std::optional<std::int64_t> parseDeadline(const std::string& text)
{
    std::int64_t millis = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), millis);
    if (status != std::errc() || end != text.data() + text.size() || millis < 1 || millis > maxDeadlineMillis)
        return std::nullopt;
    return millis;
}

}

std::variant<RequestHeaders, HeaderFault> parseRequestHeaders(const char* method, SoupMessageHeaders* headers)
{
    // Two values of one of these would be read differently by the router and the server.
    constexpr auto singular = std::to_array<const char*>(
        { header::service, header::key, header::deadline, header::repeatable, header::idempotencyKey, header::tenant });
    for (const char* name : singular) {
        if (countOf(headers, name) > 1)
            return HeaderFault { RefusalCode::MalformedHeader, std::string(name) + " is given more than once" };
    }
    RequestHeaders parsed;
    parsed.service = textOf(headers, header::service);
    parsed.key = textOf(headers, header::key);
    parsed.tenant = textOf(headers, header::tenant);
    if (parsed.service.empty())
        return HeaderFault { RefusalCode::MissingService, "" };
    if (parsed.key.empty())
        return HeaderFault { RefusalCode::MissingKey, "" };
    if (parsed.key.size() > maxKeyBytes)
        return HeaderFault { RefusalCode::MalformedHeader, "Sequoia-Key is longer than 1024 bytes" };
    if (textOf(headers, header::idempotencyKey).size() > maxIdempotencyKeyBytes)
        return HeaderFault { RefusalCode::MalformedHeader, "Sequoia-Idempotency-Key is longer than 128 bytes" };
    if (countOf(headers, header::deadline) > 0) {
        auto millis = parseDeadline(textOf(headers, header::deadline));
        if (!millis)
            return HeaderFault { RefusalCode::MalformedHeader,
                "Sequoia-Deadline-Ms is not a whole number from 1 to 600000" };
        parsed.deadline = fromMillis(*millis);
    }
    auto repeatable = textOf(headers, header::repeatable);
    if (countOf(headers, header::repeatable) > 0 && repeatable != "yes" && repeatable != "no")
        return HeaderFault { RefusalCode::MalformedHeader, "Sequoia-Repeatable is neither yes nor no" };
    std::string_view verb(method);
    parsed.repeatable = repeatable.empty() ? verb == "GET" || verb == "HEAD" : repeatable == "yes";
    return parsed;
}

std::size_t headerBlockBytes(SoupMessageHeaders* headers)
{
    constexpr std::size_t separatorBytes = 4; // ": " and CRLF
    std::size_t total = 0;
    forEachHeader(headers, [&](const char* name, const char* value) {
        total += std::string_view(name).size() + std::string_view(value).size() + separatorBytes;
    });
    return total;
}

HeaderList forwardedRequestHeaders(SoupMessageHeaders* headers)
{
    // The router takes up Expect itself. Request id and epoch are the router's word, never the caller's.
    static const NameSet replaced { "Expect", header::deadline, header::requestId, header::sliceEpoch };
    return forwardedHeaders(headers, replaced);
}

HeaderList forwardedResponseHeaders(SoupMessageHeaders* headers)
{
    static const NameSet replaced { header::requestId, header::outcome };
    return forwardedHeaders(headers, replaced);
}

Framing framingOf(SoupMessageHeaders* headers)
{
    bool chunked = countOf(headers, "Transfer-Encoding") > 0;
    auto lengths = countOf(headers, "Content-Length");
    // Both at once, or two lengths, let two readers see different ends of the message (request smuggling).
    if ((chunked && lengths > 0) || lengths > 1)
        return Framing::Invalid;
    if (!chunked && lengths == 0)
        return Framing::None;
    switch (soup_message_headers_get_encoding(headers)) {
    case SOUP_ENCODING_CHUNKED:
        return Framing::Chunked;
    case SOUP_ENCODING_CONTENT_LENGTH:
        return Framing::Length;
    default:
        return Framing::Invalid;
    }
}

}
