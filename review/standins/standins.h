// Small stand-ins of the users' store, servers and clients, after PROTOCOL.md. One thread for each connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
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
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standins {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

//! A test that takes longer is ended by the system, and its hosts with it.
constexpr unsigned maxRunSeconds = 119;

inline const Clock::time_point start = Clock::now();

inline std::int64_t nowMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMillis(std::int64_t millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

//! Writes one line for each event, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }

    void line(const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        this->file << nowMillis() << " " << text << "\n";
        this->file.flush();
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers; //!< names in lower case
    std::string body;
    bool complete = false;

    std::string header(const std::string& name) const
    {
        auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
    std::string word(int index) const
    {
        std::istringstream words(this->startLine);
        std::string result;
        for (int i = 0; i <= index; ++i)
            words >> result;
        return result;
    }
    int status() const { return std::atoi(this->word(1).c_str()); }
};

//! A TCP connection with buffered reading.
class Connection {
public:
    explicit Connection(int socketDescriptor)
        : descriptor(socketDescriptor)
    {
        int one = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Connection()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(int port)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    //! Returns a message, incomplete when the connection ended or the time is over.
    Message read(std::int64_t timeoutMillis, bool response)
    {
        Message message;
        auto until = nowMillis() + timeoutMillis;
        std::size_t headEnd = std::string::npos;
        while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until))
                return message;
        }
        std::istringstream lines(this->buffer.substr(0, headEnd));
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (message.startLine.empty()) {
                message.startLine = line;
                continue;
            }
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers[name] = value;
        }
        this->buffer.erase(0, headEnd + 4);
        (void)response;
        auto length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        while (this->buffer.size() < length) {
            if (!this->fill(until))
                return message;
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        message.complete = true;
        return message;
    }

    void shutdown() { ::shutdown(this->descriptor, SHUT_RDWR); }

private:
    bool fill(std::int64_t until)
    {
        pollfd entry { this->descriptor, POLLIN, 0 };
        auto left = until - nowMillis();
        if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        auto count = recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int descriptor;
    std::string buffer;
};

//! Accepts connections on a free port and calls the handler for each request on a thread of the connection.
class HttpServer {
public:
    //! Returns false to close the connection.
    using Handler = std::function<bool(Connection&, const Message&, std::string& late)>;

    explicit HttpServer(Handler requestHandler)
        : handler(std::move(requestHandler))
    {
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
            || listen(this->listener, 512) != 0)
            std::exit(2);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
        this->portNumber = ntohs(address.sin_port);
        std::thread([this] { this->accept(); }).detach();
    }

    int port() const { return this->portNumber; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->portNumber); }

private:
    void accept()
    {
        for (;;) {
            int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            std::thread([this, descriptor] {
                Connection connection(descriptor);
                std::string late;
                for (;;) {
                    auto message = connection.read(60'000, false);
                    if (!message.complete || !this->handler(connection, message, late))
                        return;
                }
            }).detach();
        }
    }

    Handler handler;
    int listener = -1;
    int portNumber = 0;
};

inline std::string answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string base64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16U;
        if (i + 1 < bytes.size())
            value |= static_cast<unsigned>(static_cast<unsigned char>(bytes[i + 1])) << 8U;
        if (i + 2 < bytes.size())
            value |= static_cast<unsigned char>(bytes[i + 2]);
        text += letters[value >> 18U & 63U];
        text += letters[value >> 12U & 63U];
        text += i + 1 < bytes.size() ? letters[value >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? letters[value & 63U] : '=';
    }
    return text;
}

inline std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> result;
    auto at = target.find('?');
    if (at == std::string::npos)
        return result;
    std::istringstream parts(target.substr(at + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        auto equals = part.find('=');
        std::string value;
        for (std::size_t i = equals + 1; equals != std::string::npos && i < part.size(); ++i) {
            if (part[i] == '%' && i + 2 < part.size()) {
                value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else
                value += part[i];
        }
        result[part.substr(0, equals)] = value;
    }
    return result;
}

//! The platform's store: rows, transactions and the feed. It loses nothing and never fails.
class Store {
public:
    Store()
        : server([this](Connection& connection, const Message& message, std::string&) {
            return connection.send(this->handle(message));
        })
    {
    }

    std::string address() const { return this->server.address(); }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(this->mutex);
        this->rows[{ table, key }] = { base64(value), ++this->version, false };
        this->changed.notify_all();
    }

    void remove(const std::string& table, const std::string& key)
    {
        std::lock_guard lock(this->mutex);
        this->rows[{ table, key }] = { "", ++this->version, true };
        this->changed.notify_all();
    }

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    Json rowJson(const std::pair<std::string, std::string>& name, const Row& row) const
    {
        Json json { { "table", name.first }, { "part", "" }, { "key", name.second }, { "ver", row.version } };
        if (row.removed)
            json["deleted"] = true;
        else
            json["value"] = row.value;
        return json;
    }

    std::string ok(Json json) const
    {
        json["ver"] = this->version;
        json["now_ms"] = nowMillis() + 1'000'000;
        return answer(200, "Content-Type: application/json\r\n", json.dump());
    }

    std::string handle(const Message& message)
    {
        auto target = message.word(1);
        auto query = queryOf(target);
        std::unique_lock lock(this->mutex);
        if (target.starts_with("/v1/rows-get")) {
            Json found = Json::array();
            for (const auto& [name, row] : this->rows) {
                if (name.first == query["table"] && !row.removed && name.second >= query["from"])
                    found.push_back(this->rowJson(name, row));
            }
            return this->ok({ { "rows", found }, { "has_more", false } });
        }
        if (target.starts_with("/v1/rows-feed")) {
            auto after = std::stoull("0" + query["after"]);
            auto until = Clock::now() + std::chrono::milliseconds(std::stoll("0" + query["wait_ms"]));
            for (;;) {
                std::map<std::uint64_t, Json> found;
                for (const auto& [name, row] : this->rows) {
                    if (name.first == query["table"] && row.version > after)
                        found[row.version] = this->rowJson(name, row);
                }
                if (!found.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                    Json list = Json::array();
                    for (auto& [version, row] : found)
                        list.push_back(row);
                    return this->ok({ { "rows", list }, { "has_more", false } });
                }
            }
        }
        if (target != "/v1/rows-tx")
            return answer(404, "", "");
        auto body = Json::parse(message.body, nullptr, false);
        Json current = Json::array();
        bool conflict = false;
        for (const auto& expected : body["expected"]) {
            std::pair<std::string, std::string> name { expected["table"], expected["key"] };
            const auto& row = this->rows[name];
            auto version = row.removed ? 0 : row.version;
            conflict = conflict || version != expected["ver"].get<std::uint64_t>();
            if (version != 0)
                current.push_back(this->rowJson(name, row));
        }
        if (conflict)
            return answer(412, "Content-Type: application/json\r\n",
                Json { { "rows", current }, { "ver", this->version }, { "now_ms", nowMillis() + 1'000'000 } }.dump());
        ++this->version;
        for (const auto& write : body["writes"])
            this->rows[{ write["table"], write["key"] }] = { write["value"], this->version, false };
        this->changed.notify_all();
        return this->ok(Json::object());
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Row> rows;
    std::uint64_t version = 1;
    HttpServer server;
};

struct Placeholders {
    std::map<std::string, std::string> values;
};

inline int freePort(int type)
{
    int descriptor = socket(AF_INET, type, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

//! A process of sequoia-node, with settings rendered from the template of the deploy file.
class Node {
public:
    Node(const std::string& repository, const std::string& folder, int number, const std::string& store,
        const std::string& zone)
        : program(repository + "/target/bin/sequoia-node")
        , templatePath(repository + "/deploy/node.ini")
        , settingsPath(folder + "/node-" + std::to_string(number) + ".ini")
        , logPath(folder + "/node-" + std::to_string(number) + ".log")
        , frontPort(freePort(SOCK_STREAM))
        , readyPort(freePort(SOCK_STREAM))
    {
        this->values = { { "node_name", "edge-" + std::to_string(number) }, { "zone", zone }, { "region", "casa-settat" },
            { "limits.cpu_share", "0.5" }, { "limits.link_mbps", "750.0" }, { "ip", "127.0.0.1" },
            { "listen.front", "127.0.0.1:" + std::to_string(this->frontPort) },
            { "listen.ready", "127.0.0.1:" + std::to_string(this->readyPort) },
            { "bounds.grace_s", "6" }, { "internal_ports.0", std::to_string(freePort(SOCK_DGRAM)) },
            { "provider.address", store }, { "bounds.hold_max_ms", "10000" }, { "bounds.retry_budget_ratio", "0.2" },
            { "bounds.retry_budget_slack", "60" }, { "bounds.budget_window_s", "10" } };
        this->metricsPort = freePort(SOCK_STREAM);
    }

    void set(const std::string& name, const std::string& value) { this->values[name] = value; }

    void writeSettings()
    {
        std::ifstream input(this->templatePath);
        std::stringstream text;
        text << input.rdbuf();
        auto result = text.str();
        for (const auto& [name, value] : this->values) {
            auto placeholder = "{{" + name + "}}";
            for (auto at = result.find(placeholder); at != std::string::npos; at = result.find(placeholder))
                result.replace(at, placeholder.size(), value);
        }
        // All hosts of a test share one address, so the metrics port of the template would be taken.
        auto metrics = result.find(":9464");
        if (metrics != std::string::npos)
            result.replace(metrics, 5, ":" + std::to_string(this->metricsPort));
        std::ofstream(this->settingsPath + ".new") << result;
        std::filesystem::rename(this->settingsPath + ".new", this->settingsPath);
    }

    void run()
    {
        auto setting = "--settings=" + this->settingsPath;
        int log = open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        this->process = fork();
        if (this->process == 0) {
            // No host outlives the test, also when the test is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(log, 1);
            dup2(log, 2);
            execl(this->program.c_str(), this->program.c_str(), setting.c_str(), nullptr);
            _exit(127);
        }
        ::close(log);
    }

    void signal(int number) const
    {
        if (this->process > 0)
            kill(this->process, number);
    }

    //! Returns the exit status if the process has ended.
    std::optional<int> ended()
    {
        if (this->process <= 0)
            return 0;
        int status = 0;
        if (waitpid(this->process, &status, WNOHANG) != this->process)
            return std::nullopt;
        this->process = 0;
        return status;
    }

    void end()
    {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        if (this->process > 0)
            waitpid(this->process, nullptr, 0);
        this->process = 0;
    }

    bool isReady() const
    {
        auto connection = Connection::open(this->readyPort);
        return connection && connection->send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            && connection->read(1000, true).status() == 200;
    }

    int front() const { return this->frontPort; }

private:
    std::string program;
    std::string templatePath;
    std::string settingsPath;
    std::string logPath;
    std::map<std::string, std::string> values;
    int frontPort;
    int readyPort;
    int metricsPort = 0;
    pid_t process = 0;
};

inline bool waitUntilReady(std::vector<std::unique_ptr<Node>>& nodes, std::int64_t millis)
{
    auto until = nowMillis() + millis;
    while (nowMillis() < until) {
        if (std::all_of(nodes.begin(), nodes.end(), [](const auto& node) { return node->isReady(); }))
            return true;
        sleepMillis(100);
    }
    return false;
}

}
