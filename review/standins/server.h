// A small stand-in of the users' instances, after PROTOCOL.md.
#pragma once

#include "standins.h"

namespace standins {

struct ServerOptions {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 2;
    int queue = 8;
    int minWorkMillis = 20;
    int maxWorkMillis = 40;
    bool keyed = false;
    //! Rejections and answers to orders bear the id of the request too, if it has one.
    bool echoesAlways = false;
    //! Sent late after some answers; a second copy of the answer when empty.
    std::string extraBytes;
};

class Server;

//! What the servers have done, and the checks of the rules.
class Oracle {
public:
    explicit Oracle(Record& events)
        : record(events)
    {
    }

    void onRun(const std::string& server, const std::string& id, bool idempotent);
    void onAnswer(const std::string& id, int status, bool idempotent);
    void violated(const std::string& rule, const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        ++this->breaks[rule];
        this->record.line("BROKEN " + rule + " " + text);
    }
    int count(const std::string& rule)
    {
        std::lock_guard lock(this->mutex);
        return this->breaks[rule];
    }

    Record& record;

private:
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs; //!< servers by request id
    std::map<std::string, int> breaks;
};

inline void Oracle::onRun(const std::string& server, const std::string& id, bool idempotent)
{
    bool again = false;
    std::string text;
    {
        std::lock_guard lock(this->mutex);
        auto& list = this->runs[id];
        list.push_back(server);
        again = list.size() > 1 && !idempotent;
        for (const auto& entry : list)
            text += entry + " ";
    }
    this->record.line("run " + id + " at " + server);
    if (again)
        this->violated("TWICE", "request " + id + " has run at " + text);
}

inline void Oracle::onAnswer(const std::string& id, int status, bool idempotent)
{
    this->record.line("answered " + id + " " + std::to_string(status));
    bool promise = status == 429 || status == 503 || status == 408 || status == 421;
    bool hasRun = false;
    {
        std::lock_guard lock(this->mutex);
        hasRun = this->runs.contains(id);
    }
    if (promise && hasRun && !idempotent)
        this->violated("REFUSED", "request " + id + " was answered " + std::to_string(status) + " and has run");
}

//! The answer of a server that does not run a request, as `fleetbench wire` shows it.
inline std::string rejection(int status)
{
    return answer(status, "X-Sequoiashift-Not-Executed: 1\r\n", "");
}

//! The answer to a grant, as PROTOCOL.md shows it.
inline std::string grantAnswer()
{
    return answer(200, "Content-Type: application/json\r\n", "{}");
}

class Server {
public:
    Server(ServerOptions serverOptions, Oracle& promises, std::uint64_t seed)
        : options(std::move(serverOptions))
        , oracle(promises)
        , random(seed)
        , keys(options.keyed ? 65536 : 0)
        , http([this](Connection& connection, const Message& message, std::string& late) {
            return this->handle(connection, message, late);
        })
    {
        this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                         .count();
    }

    std::string entry(const std::string& state)
    {
        Json json { { "service", this->options.service }, { "address", this->http.address() },
            { "zone", this->options.zone }, { "version", "v1" }, { "max_concurrency", this->options.slots },
            { "state", state }, { "warmup_left_ms", 0 }, { "sequence", ++this->sequence }, { "born", this->born } };
        return json.dump();
    }

    const std::string& id() const { return this->options.id; }

    //! Whether a running request for one of the keys would lose its keys, which this server may still hold.
    bool isAtWork(int first, int last)
    {
        std::lock_guard lock(this->mutex);
        return std::any_of(this->running.begin(), this->running.end(), [&](int key) {
            return key >= first && key <= last && this->keys[static_cast<std::size_t>(key)].holdEnd > nowMillis();
        });
    }

    // Disruptions, set by the test.
    std::atomic<double> extraShare { 0 }; //!< part of the answers that are sent a second time, late
    std::atomic<double> shedShare { 0 }; //!< part of the requests that are turned away
    std::function<std::vector<Server*>()> others; //!< the servers that are up
    std::atomic<bool> ended { false }; //!< the server has left
    std::atomic<int> releases { 0 };
    std::atomic<int> extras { 0 };

private:
    struct KeyState {
        std::int64_t highestFence = 0;
        std::int64_t fence = 0; //!< 0 when not held
        std::int64_t holdEnd = 0; //!< by the last grant, also after a release
    };

    double draw()
    {
        std::lock_guard lock(this->mutex);
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    bool handle(Connection& connection, const Message& message, std::string& late)
    {
        if (this->ended)
            return false;
        // An extra response arrives late, at the point where the next response is expected.
        if (!late.empty()) {
            ++this->extras;
            this->oracle.record.line("extra from " + this->options.id + " before the answer to "
                + (message.header("x-sequoiashift-request-id").empty() ? message.startLine
                                                                       : message.header("x-sequoiashift-request-id")));
            connection.send(late);
            late.clear();
        }
        auto response = this->respond(message);
        auto requestId = message.header("x-sequoiashift-request-id");
        if (this->options.echoesAlways && !requestId.empty()
            && response.find("X-Sequoiashift-Request-Id") == std::string::npos)
            response.insert(response.find("\r\n") + 2, "X-Sequoiashift-Request-Id: " + requestId + "\r\n");
        if (!connection.send(response))
            return false;
        if (this->draw() < this->extraShare)
            late = this->options.extraBytes.empty() ? response : this->options.extraBytes;
        return true;
    }

    std::string respond(const Message& message)
    {
        auto expected = message.header("x-sequoiashift-expect-instance");
        if (!expected.empty() && expected != this->options.id)
            return answer(421, "X-Sequoiashift-Instance-Id: " + this->options.id + "\r\n", "");
        auto target = message.word(1);
        if (target == "/healthz")
            return answer(200, "X-Sequoiashift-Instance-Id: " + this->options.id + "\r\n", "");
        if (target == "/v1/grant")
            return this->grant(Json::parse(message.body));
        if (target == "/v1/release")
            return this->release(Json::parse(message.body));
        return this->run(message);
    }

    std::string run(const Message& message)
    {
        auto id = message.header("x-sequoiashift-request-id");
        if (id.empty())
            return rejection(400);
        bool idempotent = message.word(0) == "GET";
        int key = this->options.keyed ? std::atoi(message.header("x-sequoiashift-shard-key").c_str()) : -1;
        if (this->draw() < this->shedShare)
            return rejection(503);
        int work = 0;
        {
            std::unique_lock lock(this->mutex);
            auto holds = [&] {
                return key < 0
                    || (this->keys[static_cast<std::size_t>(key)].fence != 0
                        && this->keys[static_cast<std::size_t>(key)].holdEnd > nowMillis());
            };
            if (!holds())
                return rejection(421);
            if (static_cast<int>(this->running.size()) >= this->options.slots) {
                if (this->waiting >= this->options.queue)
                    return rejection(503);
                ++this->waiting;
                this->changed.wait(
                    lock, [this] { return static_cast<int>(this->running.size()) < this->options.slots; });
                --this->waiting;
                if (!holds())
                    return rejection(421);
            }
            this->running.push_back(key);
            work = std::uniform_int_distribution<int>(
                this->options.minWorkMillis, this->options.maxWorkMillis)(this->random);
        }
        this->oracle.onRun(this->options.id + (key < 0 ? "" : " key " + std::to_string(key)), id, idempotent);
        sleepMillis(work);
        {
            std::lock_guard lock(this->mutex);
            this->running.erase(std::find(this->running.begin(), this->running.end(), key));
            this->changed.notify_all();
        }
        return answer(200,
            "X-Sequoiashift-Request-Id: " + id + "\r\nX-Sequoiashift-Server-Signature: " + this->options.id + "." + id
                + "\r\n",
            "done " + id);
    }

    std::string grant(const Json& order)
    {
        int first = order["from"];
        int last = order["target"];
        std::int64_t fence = order["fence"];
        std::int64_t hold = order["hold_ms"];
        bool isNew = false;
        {
            std::lock_guard lock(this->mutex);
            for (int key = first; key <= last; ++key) {
                if (this->keys[static_cast<std::size_t>(key)].highestFence > fence)
                    return answer(409, "", "");
            }
            for (int key = first; key <= last; ++key) {
                auto& state = this->keys[static_cast<std::size_t>(key)];
                isNew = isNew || state.fence == 0 || state.holdEnd <= nowMillis();
                state = { fence, fence, nowMillis() + hold };
            }
        }
        if (isNew) {
            auto range = std::to_string(first) + "-" + std::to_string(last);
            this->oracle.record.line(
                "granted " + range + " fence " + std::to_string(fence) + " to " + this->options.id);
            for (auto* other : this->others()) {
                if (other != this && other->isAtWork(first, last))
                    this->oracle.violated("OWNER",
                        this->options.id + " is given keys " + range + " on which " + other->id()
                            + " is still at work, before its hold would have run out");
            }
        }
        return grantAnswer();
    }

    std::string release(const Json& order)
    {
        int first = order["from"];
        int last = order["target"];
        std::int64_t fence = order["fence"];
        std::unique_lock lock(this->mutex);
        ++this->releases;
        for (int key = first; key <= last; ++key) {
            auto& state = this->keys[static_cast<std::size_t>(key)];
            state.highestFence = std::max(state.highestFence, fence);
            state.fence = 0;
        }
        this->changed.notify_all();
        this->oracle.record.line("release " + std::to_string(first) + "-" + std::to_string(last) + " fence "
            + std::to_string(fence) + " reaches " + this->options.id);
        this->changed.wait(lock, [&] {
            return std::none_of(
                this->running.begin(), this->running.end(), [&](int key) { return key >= first && key <= last; });
        });
        this->oracle.record.line(
            "released " + std::to_string(first) + "-" + std::to_string(last) + " by " + this->options.id);
        return answer(200,
            "Content-Type: application/json\r\nX-Sequoiashift-Handover: h" + std::to_string(fence) + "\r\n", "{}");
    }

    ServerOptions options;
    Oracle& oracle;
    std::mutex mutex;
    std::condition_variable changed;
    std::mt19937_64 random;
    std::vector<KeyState> keys;
    std::vector<int> running; //!< keys of the running requests; -1 without one
    int waiting = 0;
    int sequence = 0;
    std::int64_t born = 0;
    HttpServer http;
};

//! Sends one request on a new connection and returns the status, or 0 without a complete answer.
inline int request(int port, const std::string& method, const std::string& host, const std::string& path,
    const std::string& id, int deadlineMillis, int key, const std::string& body)
{
    auto connection = Connection::open(port);
    if (!connection)
        return 0;
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Sequoiashift-Request-Id: " + id
        + "\r\nX-Sequoiashift-Deadline-Ms: " + std::to_string(deadlineMillis) + "\r\n";
    if (key >= 0)
        text += "X-Sequoiashift-Shard-Key: " + std::to_string(key) + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!connection->send(text + "\r\n" + body))
        return 0;
    auto message = connection->read(deadlineMillis, true);
    return message.complete ? message.status() : 0;
}

}
