#include "Exchange.h"

#include <cerrno>
#include <charconv>
#include <sys/socket.h>

namespace sequoia::standin {

namespace {

constexpr std::uint64_t maxReadSize = std::uint64_t(1) << 30;
constexpr std::int64_t maxDeadlineMs = 600'000;

std::string header(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_one(headers, name);
    return value ? value : "";
}

std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t maximum)
{
    std::uint64_t number = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size() || number > maximum)
        return std::nullopt;
    return number;
}

bool isUnder(std::string_view path, std::string_view folder)
{
    return path == folder || (path.starts_with(folder) && path[folder.size()] == '/');
}

std::string parseTarget(RequestHead& head, std::string_view method, std::string_view path, GHashTable* query)
{
    if (method == "POST" && isUnder(path, "/write")) {
        head.isWrite = true;
        return {};
    }
    if (method != "GET" || !isUnder(path, "/read"))
        return "unknown method or path; send GET /read or POST /write";
    const auto* size = query ? static_cast<const char*>(g_hash_table_lookup(query, "size")) : nullptr;
    auto parsed = parseNumber(size ? size : "0", maxReadSize);
    if (!parsed)
        return "size is no number up to 1 GiB";
    head.readSize = *parsed;
    return {};
}

}

ParsedHead parseHead(SoupServerMessage* message, std::string_view path, GHashTable* query)
{
    auto* headers = soup_server_message_get_request_headers(message);
    ParsedHead parsed;
    auto& head = parsed.head;
    head.service = header(headers, "Sequoia-Service");
    head.key = header(headers, "Sequoia-Key");
    head.requestId = header(headers, "Sequoia-Request-Id");
    head.idempotencyKey = header(headers, "Sequoia-Idempotency-Key");
    head.sliceEpoch = header(headers, "Sequoia-Slice-Epoch");
    head.path = path;
    if (const char* queryText = g_uri_get_query(soup_server_message_get_uri(message)))
        head.path += "?" + std::string(queryText);
    if (head.service.empty() || head.key.empty()) {
        parsed.mistake = "Sequoia-Service or Sequoia-Key is missing";
        return parsed;
    }
    auto deadline = header(headers, "Sequoia-Deadline-Ms");
    if (!deadline.empty()) {
        auto millis = parseNumber(deadline, maxDeadlineMs);
        if (!millis) {
            parsed.mistake = "Sequoia-Deadline-Ms is no number up to 600000";
            return parsed;
        }
        head.deadlineMs = static_cast<std::int64_t>(*millis);
    }
    parsed.mistake = parseTarget(head, soup_server_message_get_method(message), path, query);
    return parsed;
}

bool MarkerSearch::add(std::string_view marker, std::string_view part)
{
    if (marker.empty())
        return false;
    // The end of the previous part is kept, because a marker can begin in one part and end in the next.
    this->tail.append(part);
    if (this->tail.find(marker) != std::string::npos)
        return true;
    if (this->tail.size() >= marker.size())
        this->tail.erase(0, this->tail.size() - marker.size() + 1);
    return false;
}

Exchange::Exchange(
    StandInServer& owner, std::uint64_t exchangeNumber, SoupServerMessage* soupMessage, RequestHead parsed)
    : server(owner)
    , number(exchangeNumber)
    , message(takeReference(soupMessage))
    , head(std::move(parsed))
    , hash(keyHash(this->head.service, this->head.key))
    , bodyHash(XXH3_createState(), &XXH3_freeState)
{
    XXH3_64bits_reset(this->bodyHash.get());
}

Exchange::~Exchange()
{
    this->stopWatching();
    g_signal_handlers_disconnect_by_data(this->message.get(), this);
}

void Exchange::pause()
{
    if (!this->paused)
        soup_server_message_pause(this->message.get());
    this->paused = true;
}

void Exchange::resume()
{
    if (this->paused)
        soup_server_message_unpause(this->message.get());
    this->paused = false;
}

void Exchange::watchConnection(std::function<void()> closed)
{
    this->stopWatching();
    auto* socket = soup_server_message_get_socket(this->message.get());
    if (!socket)
        return;
    this->onClosed = std::move(closed);
    this->closeWatch = g_socket_create_source(socket, G_IO_IN, nullptr);
    // libsoup does not read from the connection of a paused message, so it does not see the end either.
    GSocketSourceFunc readable = [](GSocket* ready, GIOCondition, gpointer self) -> gboolean {
        char byte = 0;
        auto count = recv(g_socket_get_fd(ready), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return G_SOURCE_CONTINUE;
        if (count <= 0) {
            auto callback = static_cast<Exchange*>(self)->onClosed;
            callback();
        }
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(this->closeWatch, G_SOURCE_FUNC(readable), this, nullptr);
    g_source_attach(this->closeWatch, g_main_context_get_thread_default());
}

void Exchange::stopWatching()
{
    if (!this->closeWatch)
        return;
    g_source_destroy(this->closeWatch);
    g_source_unref(this->closeWatch);
    this->closeWatch = nullptr;
}

}
