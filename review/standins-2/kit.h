// Small stand-ins for the scripts of this review: the platform's store, instances, clients, and processes of
// sequoia-node. Each connection has a thread. All addresses are loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kit {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline const Clock::time_point started = Clock::now();

inline long long now()
{
    return std::chrono::duration_cast<Millis>(Clock::now() - started).count();
}

inline long long unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void pause(long long millis)
{
    std::this_thread::sleep_for(Millis(millis));
}

// What was sent, answered and run, one line each, with milliseconds since the start.
class Record {
public:
    void open(const std::string& path) { this->file.open(path); }
    void operator()(const char* format, ...)
    {
        char text[700];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard lock(this->mutex);
        this->file << now() << " " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline Record record;

// The case could not run.
[[noreturn]] inline void giveUp(const std::string& reason)
{
    record("could not run: %s", reason.c_str());
    fprintf(stderr, "could not run: %s\n", reason.c_str());
    _exit(2);
}

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message {
    std::string first; // request or status line
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string& name) const
    {
        auto found = this->fields.find(lower(name));
        return found == this->fields.end() ? "" : found->second;
    }
    std::string word(int index) const
    {
        std::istringstream in(this->first);
        std::string text;
        for (int i = 0; i <= index; ++i)
            if (!(in >> text))
                return "";
        return text;
    }
    int status() const { return atoi(this->word(1).c_str()); }
};

inline bool writeAll(int socket, const std::string& bytes)
{
    for (std::size_t at = 0; at < bytes.size();) {
        ssize_t count = send(socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        at += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads messages from a socket, with a time limit for each.
class Reader {
public:
    explicit Reader(int descriptor)
        : socket(descriptor)
    {
    }

    std::optional<Message> read(long long limitMillis)
    {
        auto end = now() + limitMillis;
        std::size_t at;
        while ((at = this->buffer.find("\r\n\r\n")) == std::string::npos)
            if (!this->fill(end))
                return std::nullopt;
        Message message;
        std::istringstream head(this->buffer.substr(0, at));
        this->buffer.erase(0, at + 4);
        std::getline(head, message.first);
        if (!message.first.empty() && message.first.back() == '\r')
            message.first.pop_back();
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(
                0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            message.fields[lower(line.substr(0, colon))] = value;
        }
        if (lower(message.field("transfer-encoding")) == "chunked") {
            while (true) {
                std::size_t eol;
                while ((eol = this->buffer.find("\r\n")) == std::string::npos)
                    if (!this->fill(end))
                        return std::nullopt;
                auto size = strtoull(this->buffer.c_str(), nullptr, 16);
                while (this->buffer.size() < eol + 2 + size + 2)
                    if (!this->fill(end))
                        return std::nullopt;
                message.body += this->buffer.substr(eol + 2, size);
                this->buffer.erase(0, eol + 2 + size + 2);
                if (size == 0)
                    return message;
            }
        }
        auto length = strtoull(message.field("content-length").c_str(), nullptr, 10);
        while (this->buffer.size() < length)
            if (!this->fill(end))
                return std::nullopt;
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return message;
    }

    bool timedOut = false;

private:
    bool fill(long long end)
    {
        pollfd entry { this->socket, POLLIN, 0 };
        auto left = end - now();
        if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
            this->timedOut = true;
            return false;
        }
        char bytes[16384];
        ssize_t count = recv(this->socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int socket;
    std::string buffer;
};

inline sockaddr_in parse(const std::string& address)
{
    sockaddr_in result {};
    auto colon = address.find(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

inline int dial(const std::string& address)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto target = parse(address);
    if (connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        close(socket);
        return -1;
    }
    int one = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return socket;
}

// Answers requests; the handler returns the bytes of the answer, or nothing to close the connection.
class Server {
public:
    using Handler = std::function<std::optional<std::string>(const Message&)>;

    Server(const std::string& address, Handler requests)
        : handler(std::move(requests))
        , name(address)
    {
        this->start();
    }

    const std::string& address() const { return this->name; }
    // Grows with each crash.
    int life() const { return this->lives; }

    // Ends like a process that is killed: its connections are reset, and new ones are refused.
    void crash()
    {
        std::lock_guard lock(this->mutex);
        ++this->lives;
        shutdown(this->socket, SHUT_RDWR);
        for (int client : this->clients) {
            const linger discard { 1, 0 };
            setsockopt(client, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            // Ends the connection at once; the thread of the connection closes the descriptor.
            sockaddr none {};
            none.sa_family = AF_UNSPEC;
            connect(client, &none, sizeof none);
        }
    }

    // Listens at the same address as before.
    void start()
    {
        int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        auto target = parse(this->name);
        if (bind(listening, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 || listen(listening, 512) != 0)
            giveUp("cannot listen on " + this->name);
        sockaddr_in bound {};
        socklen_t length = sizeof bound;
        getsockname(listening, reinterpret_cast<sockaddr*>(&bound), &length);
        this->name = this->name.substr(0, this->name.find(':')) + ":" + std::to_string(ntohs(bound.sin_port));
        std::lock_guard lock(this->mutex);
        this->socket = listening;
        std::thread([this, listening] { this->run(listening); }).detach();
    }

private:
    void run(int listening)
    {
        while (true) {
            int client = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0)
                break;
            {
                std::lock_guard lock(this->mutex);
                this->clients.insert(client);
            }
            std::thread([this, client] {
                int one = 1;
                setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                Reader reader(client);
                while (auto request = reader.read(60'000)) {
                    auto response = this->handler(*request);
                    if (!response || !writeAll(client, *response))
                        break;
                }
                std::lock_guard lock(this->mutex);
                this->clients.erase(client);
                close(client);
            }).detach();
        }
        close(listening);
    }

    Handler handler;
    std::mutex mutex;
    std::string name;
    std::set<int> clients;
    std::atomic<int> lives = 0;
    int socket = -1;
};

inline std::string answer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

// The platform's metadata store.
class Store {
public:
    explicit Store(const std::string& address)
        : server(address, [this](const Message& request) { return this->handle(request); })
    {
    }

    const std::string& address() const { return this->server.address(); }

    void put(const std::string& table, const std::string& key, const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        ++this->version;
        this->change(table, key, base64(text), false);
    }

    void remove(const std::string& table, const std::string& key)
    {
        std::lock_guard lock(this->mutex);
        ++this->version;
        this->change(table, key, "", true);
    }

    // Bytes of the largest row that a call has brought for a table.
    std::size_t largestRow(const std::string& table)
    {
        std::lock_guard lock(this->mutex);
        return this->largest[table];
    }

    // Calls that were refused for a row of more than `row_bytes`.
    int rowsRefused()
    {
        std::lock_guard lock(this->mutex);
        return this->refusedRows;
    }

    static constexpr std::size_t rowBytes = 65536; // `row_bytes` of the settings that the pages print

private:
    struct Row {
        std::string value;
        long long version = 0;
    };
    struct Change {
        long long version;
        std::string key, value;
        bool removed;
    };

    void change(const std::string& table, const std::string& key, const std::string& value, bool removed)
    {
        if (removed)
            this->rows[table].erase(key);
        else
            this->rows[table][key] = { value, this->version };
        this->history[table].push_back({ this->version, key, value, removed });
        this->changed.notify_all();
    }

    static std::map<std::string, std::string> query(const std::string& target)
    {
        std::map<std::string, std::string> result;
        auto at = target.find('?');
        std::istringstream in(at == std::string::npos ? "" : target.substr(at + 1));
        std::string part;
        while (std::getline(in, part, '&')) {
            auto equals = part.find('=');
            std::string value;
            for (std::size_t i = equals + 1; equals != std::string::npos && i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else
                    value += part[i];
            }
            result[part.substr(0, equals)] = value;
        }
        return result;
    }

    std::string reply(int status, Json body) const
    {
        body["ver"] = this->version;
        body["now_ms"] = now() + 5000;
        return answer(status, "Content-Type: application/json\r\n", body.dump());
    }

    std::optional<std::string> handle(const Message& request)
    {
        auto target = request.word(1);
        auto path = target.substr(0, target.find('?'));
        auto arguments = query(target);
        std::unique_lock lock(this->mutex);
        if (path == "/v1/rows-get") {
            Json found = Json::array();
            auto limit = arguments["limit"].empty() ? 500 : std::min(500, atoi(arguments["limit"].c_str()));
            bool more = false;
            for (const auto& [key, row] : this->rows[arguments["table"]]) {
                if (key < arguments["from"])
                    continue;
                if (static_cast<int>(found.size()) == limit) {
                    more = true;
                    break;
                }
                found.push_back({ { "table", arguments["table"] }, { "part", "" }, { "key", key },
                    { "value", row.value }, { "ver", row.version } });
            }
            return this->reply(200, { { "rows", found }, { "has_more", more } });
        }
        if (path == "/v1/rows-feed") {
            auto after = atoll(arguments["after"].c_str());
            auto end = Clock::now() + Millis(std::min(30'000, atoi(arguments["wait_ms"].c_str())));
            while (true) {
                Json found = Json::array();
                for (const auto& entry : this->history[arguments["table"]]) {
                    if (entry.version <= after)
                        continue;
                    Json row { { "table", arguments["table"] }, { "part", "" }, { "key", entry.key },
                        { "ver", entry.version } };
                    if (entry.removed)
                        row["deleted"] = true;
                    else
                        row["value"] = entry.value;
                    found.push_back(row);
                }
                if (!found.empty() || Clock::now() >= end)
                    return this->reply(200, { { "rows", found } });
                this->changed.wait_until(lock, end);
            }
        }
        if (path != "/v1/rows-tx")
            return this->reply(404, Json::object());
        auto body = Json::parse(request.body);
        for (const auto& row : body["writes"]) {
            auto bytes = row["value"].get<std::string>().size() / 4 * 3;
            auto& largest = this->largest[row["table"].get<std::string>()];
            largest = std::max(largest, bytes);
            if (bytes > rowBytes + 2) {
                if (this->refusedRows++ % 20 == 0)
                    record("store: a row of table %s with %zu bytes is refused, the limit is %zu",
                        row["table"].get<std::string>().c_str(), bytes, rowBytes);
                return this->reply(400, Json::object());
            }
        }
        Json conflicts = Json::array();
        bool conflict = false;
        for (const auto& row : body["expected"]) {
            auto& table = this->rows[row["table"].get<std::string>()];
            auto found = table.find(row["key"].get<std::string>());
            auto present = found == table.end() ? 0 : found->second.version;
            conflict = conflict || present != row["ver"].get<long long>();
            if (found != table.end())
                conflicts.push_back({ { "table", row["table"] }, { "part", "" }, { "key", row["key"] },
                    { "value", found->second.value }, { "ver", present } });
        }
        if (conflict)
            return this->reply(412, { { "rows", conflicts } });
        ++this->version;
        for (const auto& row : body["writes"])
            this->change(row["table"], row["key"], row["value"], false);
        for (const auto& row : body["remove"])
            this->change(row["table"], row["key"], "", true);
        return this->reply(200, Json::object());
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Row>> rows;
    std::map<std::string, std::vector<Change>> history; // by table
    std::map<std::string, std::size_t> largest;
    int refusedRows = 0;
    long long version = 0;
    Server server;
};

// A sound instance. It takes at most `slots` requests at once and rejects others.
class Instance {
public:
    Instance(Store& rows, std::string ownId, std::string ownService, const std::string& address, int ownSlots,
        int ownWorkMillis, bool isKeyed = false)
        : store(rows)
        , id(std::move(ownId))
        , service(std::move(ownService))
        , slots(ownSlots)
        , workMillis(ownWorkMillis)
        , keyed(isKeyed)
        , born(unixMillis())
        , fences(isKeyed ? 65536 : 0)
        , ends(isKeyed ? 65536 : 0)
        , server(address, [this](const Message& request) { return this->handle(request); })
    {
        this->writeEntry();
        std::thread([this] {
            while (true) {
                pause(870);
                std::lock_guard lock(this->mutex);
                if (this->up)
                    this->writeEntry();
            }
        }).detach();
    }

    // Is killed; its entry is removed after three heartbeats.
    void crash()
    {
        {
            std::lock_guard lock(this->mutex);
            this->up = false;
            record("%s: crashed with %d requests", this->id.c_str(), this->running);
            this->running = 0;
        }
        this->server.crash();
        std::thread([this] {
            pause(3 * 870);
            std::lock_guard lock(this->mutex);
            if (!this->up)
                this->store.remove("servers", this->id);
        }).detach();
    }

    // Starts again under its id. It holds nothing of before.
    void start()
    {
        std::lock_guard lock(this->mutex);
        this->up = true;
        this->sequence = 0;
        this->born = unixMillis();
        std::fill(this->fences.begin(), this->fences.end(), 0);
        std::fill(this->ends.begin(), this->ends.end(), 0);
        this->server.start();
        this->writeEntry();
        record("%s: started again", this->id.c_str());
    }

    std::size_t answerBytes = 0; // length of answers; 0: a short text

    // Runs by request id.
    std::map<std::string, int> runs()
    {
        std::lock_guard lock(this->mutex);
        return this->runCounts;
    }

private:
    void writeEntry()
    {
        Json entry { { "service", this->service }, { "address", this->server.address() }, { "zone", "zone-a" },
            { "version", "v1" }, { "max_concurrency", this->slots }, { "state", "ready" }, { "warmup_left_ms", 0 },
            { "sequence", ++this->sequence }, { "born", this->born } };
        this->store.put("servers", this->id, entry.dump());
    }

    std::string refuse(const Message& request, int status) const
    {
        return answer(status,
            "X-Sequoiashift-Not-Executed: 1\r\nX-Sequoiashift-Request-Id: " + request.field("X-Sequoiashift-Request-Id")
                + "\r\n",
            "");
    }

    std::optional<std::string> handle(const Message& request)
    {
        auto expected = request.field("X-Sequoiashift-Expect-Instance");
        auto path = request.word(1);
        if (!expected.empty() && expected != this->id)
            return this->refuse(request, 421);
        if (path == "/healthz")
            return answer(200, "X-Sequoiashift-Instance-Id: " + this->id + "\r\n", "");
        if (path == "/v1/grant" || path == "/v1/release")
            return this->order(path == "/v1/grant", Json::parse(request.body));
        auto requestId = request.field("X-Sequoiashift-Request-Id");
        {
            std::lock_guard lock(this->mutex);
            if (this->keyed) {
                auto key = static_cast<std::size_t>(atoi(request.field("X-Sequoiashift-Shard-Key").c_str())) & 65535U;
                if (this->ends[key] <= now())
                    return this->refuse(request, 421);
            }
            if (this->running >= this->slots)
                return this->refuse(request, 503);
            ++this->running;
            ++this->runCounts[requestId];
        }
        int life = this->server.life();
        pause(this->workMillis);
        std::lock_guard lock(this->mutex);
        if (life != this->server.life())
            return std::nullopt;
        --this->running;
        return answer(200,
            "X-Sequoiashift-Request-Id: " + requestId + "\r\nX-Sequoiashift-Server-Signature: " + this->id
                + "\r\nKeep-Alive: timeout=10\r\n",
            this->answerBytes > 0 ? std::string(this->answerBytes, 'z') : "answer to " + requestId);
    }

    std::string order(bool grant, const Json& body)
    {
        std::lock_guard lock(this->mutex);
        auto first = body["from"].get<std::size_t>();
        auto last = body["target"].get<std::size_t>();
        auto fence = body["fence"].get<long long>();
        for (auto key = first; grant && key <= last; ++key)
            if (this->fences[key] > fence)
                return answer(409, "", "");
        for (auto key = first; key <= last; ++key) {
            this->fences[key] = std::max(this->fences[key], fence);
            this->ends[key] = grant ? now() + body["hold_ms"].get<long long>() : 0;
        }
        return answer(200, grant ? "" : "X-Sequoiashift-Handover: 00\r\n", "");
    }

    Store& store;
    std::string id, service;
    int slots, workMillis;
    bool keyed;
    long long born;
    long long sequence = 0;
    std::mutex mutex;
    bool up = true;
    int running = 0;
    std::map<std::string, int> runCounts;
    std::vector<long long> fences, ends;
    Server server;
};

inline Json service(const std::string& name, bool keyed = false)
{
    Json result { { "name", name }, { "health_path", "/healthz" }, { "max_conns", 120 }, { "protocol", "h1" },
        { "tls", false } };
    if (keyed) {
        result["sharded"] = true;
        result["warm_s"] = 5.0;
        result["grants"] = "call";
    }
    return result;
}

inline Json route(const std::string& name, const std::string& kind, const std::string& service, int timeoutMillis)
{
    return { { "name", name }, { "hostname", name + ".example" }, { "prefix", "/" + name + "/" }, { "kind", kind },
        { "timeout_ms", timeoutMillis }, { "target_latency_ms", 600 }, { "priority", 1 }, { "service", service },
        { "max_attempts", 2 } };
}

inline std::string configuration(int version, const std::vector<Json>& routes, const std::vector<Json>& services)
{
    // The limits of the example that `fleetbench wire` prints.
    return Json {
        { "version", "r" + std::to_string(version) }, { "routes", routes }, { "services", services },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } }
    }.dump();
}

// A machine's process of the deploy file, with settings from the template.
class Node {
public:
    Node(std::string nodeName, std::string ownIp, const std::string& storeAddress, int ownMegabytes, int ownDescriptors,
        std::string ownFolder)
        : name(std::move(nodeName))
        , ip(std::move(ownIp))
        , megabytes(ownMegabytes)
        , descriptors(ownDescriptors)
        , folder(std::move(ownFolder))
    {
        std::map<std::string, std::string> values { { "node_name", this->name }, { "zone", "zone-a" },
            { "region", "region-a" }, { "ip", this->ip }, { "limits.cpu_share", "0.15" },
            { "limits.link_mbps", "750.0" }, { "limits.memory_mb", std::to_string(this->megabytes) },
            { "limits.max_fds", std::to_string(this->descriptors) }, { "listen.front", this->front() },
            { "listen.ready", this->ready() }, { "bounds.grace_s", "6" }, { "internal_ports.0", "7540" },
            { "provider.address", storeAddress }, { "bounds.hold_max_ms", "10000" },
            { "bounds.retry_budget_ratio", "0.2" }, { "bounds.retry_budget_slack", "60" },
            { "bounds.budget_window_s", "10" }, { "bounds.drain_ms", "2000" } };
        std::ifstream in("deploy/node.ini");
        std::ofstream out(this->settings());
        std::string line;
        bool skipping = false;
        while (std::getline(in, line)) {
            auto section = line.find("{{#");
            if (section != std::string::npos) {
                auto end = line.find("}}", section);
                skipping = !values.contains(line.substr(section + 3, end - section - 3));
                continue;
            }
            if (line.find("{{/") != std::string::npos) {
                skipping = false;
                continue;
            }
            if (skipping)
                continue;
            for (std::size_t at; (at = line.find("{{")) != std::string::npos;) {
                auto end = line.find("}}", at);
                auto value = values.find(line.substr(at + 2, end - at - 2));
                line.replace(at, end + 2 - at, value == values.end() ? "" : value->second);
            }
            out << line << "\n";
        }
    }

    ~Node() { this->kill(); }

    std::string front() const { return this->ip + ":8548"; }
    std::string ready() const { return this->ip + ":8542"; }
    std::string settings() const { return this->folder + "/" + this->name + ".ini"; }

    void start()
    {
        auto log = this->folder + "/" + this->name + ".log";
        auto argument = "--settings=" + this->settings();
        auto limit = static_cast<rlim_t>(this->descriptors);
        this->process = fork();
        if (this->process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            rlimit files { limit, limit };
            setrlimit(RLIMIT_NOFILE, &files);
            execl("target/bin/sequoia-node", "sequoia-node", argument.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        record("%s: started", this->name.c_str());
    }

    // Whether it runs; notes the end otherwise.
    bool runs()
    {
        if (this->process <= 0)
            return false;
        int status = 0;
        if (waitpid(this->process, &status, WNOHANG) == 0)
            return true;
        record("%s: ended by itself, status %d", this->name.c_str(), status);
        this->process = 0;
        return false;
    }

    void signal(int number) const
    {
        if (this->process > 0)
            ::kill(this->process, number);
    }

    void kill()
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }

    // Resident memory in bytes, the figure `field` of the kernel's status of the process.
    long long memory(const char* field = "VmRSS:") const
    {
        std::ifstream in("/proc/" + std::to_string(this->process) + "/status");
        std::string line;
        while (std::getline(in, line))
            if (line.starts_with(field))
                return atoll(line.c_str() + strlen(field)) * 1024;
        return 0;
    }

    bool isReady() const
    {
        int socket = dial(this->ready());
        if (socket < 0)
            return false;
        writeAll(socket, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        auto response = Reader(socket).read(1000);
        close(socket);
        return response && response->status() == 200;
    }

    void waitUntilReady()
    {
        for (int i = 0; i < 200; ++i) {
            if (this->isReady())
                return;
            pause(50);
        }
        giveUp(this->name + " does not become ready");
    }

    std::string name, ip;
    int megabytes, descriptors;

private:
    std::string folder;
    pid_t process = 0;
};

// One client attempt on a new connection. Returns nothing if the connection ends or the time is over.
inline std::optional<Message> ask(const std::string& address, const std::string& route, const std::string& id,
    const std::string& method, const std::string& body, int deadlineMillis, const std::string& fields = "")
{
    int socket = dial(address);
    if (socket < 0)
        return std::nullopt;
    auto text = method + " /" + route + "/1 HTTP/1.1\r\nHost: " + route + ".example\r\nX-Sequoiashift-Request-Id: " + id
        + "\r\nX-Sequoiashift-Deadline-Ms: " + std::to_string(deadlineMillis) + "\r\n" + fields;
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    writeAll(socket, text + "\r\n" + body);
    auto response = Reader(socket).read(deadlineMillis);
    close(socket);
    return response;
}

// A loopback network of its own for one run.
inline std::string subnet()
{
    for (int i = 0; i < 100; ++i) {
        auto prefix
            = "127." + std::to_string(20 + (getpid() + i) % 200) + "." + std::to_string(1 + getpid() / 200 % 250);
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = parse(prefix + ".1:8548");
        bool isFree = bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(socket);
        if (isFree)
            return prefix;
    }
    giveUp("no free loopback addresses");
}

inline std::string temporaryFolder()
{
    auto path = (std::filesystem::temp_directory_path() / "sequoia-review-XXXXXX").string();
    if (!mkdtemp(path.data()))
        giveUp("no temporary folder");
    return path;
}

inline bool isTrouble()
{
    const char* text = getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

}
