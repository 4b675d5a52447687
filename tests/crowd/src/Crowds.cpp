#include "Crowds.h"

#include "platform_adapter/ProtocolNames.h"

namespace sequoia::crowd {

namespace {

constexpr std::size_t pieceBytes = std::size_t { 64 } * 1024;
// Sizes of bodies within the limits of the configuration.
constexpr std::uint64_t largeBody = std::uint64_t { 8 } * 1024 * 1024;
constexpr std::uint64_t usualBody = 360'000;
constexpr std::size_t smallPiece = 1'000;

std::string requestHead(const std::string& method, const std::string& path, const std::string& fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + routeHost + "\r\n" + platform_adapter::headerNames().requestId
        + ": crowd\r\n" + fields;
}

std::string repeat(const std::string& text)
{
    std::string result;
    while (result.size() < pieceBytes)
        result += text;
    return result;
}

CallerBytes body(std::uint64_t length, std::uint64_t sent, std::size_t piece)
{
    auto head = requestHead("POST", "/upload/1", "Content-Length: " + std::to_string(length) + "\r\n\r\n");
    return { head, std::string(pieceBytes, 'u'), sent, piece };
}

}

Crowd crowdOfKind(const std::string& kind)
{
    const auto chunked = requestHead("POST", "/upload/1", "Transfer-Encoding: chunked\r\n\r\n");
    if (kind == "head")
        return { 60,
            { { requestHead("GET", "/read/1", "Field: "), std::string(pieceBytes, 'h'), {} },
                { requestHead("GET", "/read/1", ""), repeat("Field: value\r\n"), {} } } };
    if (kind == "empty-lines")
        return { 60, { { "", repeat("\r\n"), {} }, { "", std::string(pieceBytes, '\n'), {} } } };
    if (kind == "trailers")
        return { 60,
            { { chunked + "5\r\nhello\r\n0\r\n", repeat("Field: value\r\n"), {} },
                { chunked + "5\r\nhello\r\n0\r\nField: ", std::string(pieceBytes, 't'), {} } } };
    if (kind == "bytes-behind")
        return { 60,
            { { requestHead("GET", "/read/1", "\r\n"), std::string(pieceBytes, 'b'), {} },
                { requestHead("GET", "/read/1", "\r\n"), repeat(requestHead("GET", "/read/1", "\r\n")), {} } } };
    if (kind == "chunk-extensions")
        return { 150,
            { { chunked, repeat("1;name=" + std::string(4'000, 'e') + "\r\nx\r\n"), {} },
                { chunked + "1;name=", std::string(pieceBytes, 'e'), {} }, { chunked, repeat("1\r\nx\r\n"), {} } } };
    if (kind == "bodies")
        return { 180,
            { body(largeBody, largeBody - 1, pieceBytes), body(usualBody, usualBody - 1, smallPiece),
                body(usualBody, usualBody - 1, pieceBytes), body(largeBody, largeBody - 1, smallPiece),
                body(largeBody, largeBody, pieceBytes), body(usualBody, usualBody, pieceBytes) } };
    if (kind == "unread-responses")
        return { 60,
            { { "",
                repeat("GET /none/1 HTTP/1.1\r\nHost: " + std::string(routeHost) + "\r\n"
                    + platform_adapter::headerNames().requestId + ": " + std::string(8'000, 'i') + "\r\n\r\n"),
                {}, pieceBytes, false } } };
    if (kind == "connections")
        return { 400, { {}, { "GET /read/", "", {} } } };
    return {};
}

}
