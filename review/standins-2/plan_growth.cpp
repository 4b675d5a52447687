// A keyed service of 300 instances is released again and again, at the pace of its sheet, while hot keys wander. Then
// all processes are killed and started again. The store takes rows of `row_bytes` at most, as the pages say.
#include "kit.h"

#include <deque>
#include <random>
#include <sys/epoll.h>

using namespace kit;

namespace {

constexpr int firstInstances = 300; // creneaux of the sheet
constexpr double addedShare = 0.3; // scale_out, twice
constexpr int releasedAtOnce = 18; // release, x 18
constexpr long long releaseGapMillis = 900; // gap 0.9 s
constexpr int slots = 2;
constexpr int queueLength = 8;
constexpr int machines = 3;
constexpr double requestsPerSecond = 1554; // slot-lookup of the sheet
constexpr double hotShare = 0.41; // hot_key, of all requests
constexpr int hotKeys = 200;
constexpr long long hotMillis = 5500;
constexpr int deadlineMillis = 4000;
constexpr long long drainMillis = 3000;
constexpr long long beatMillis = 870;
constexpr long long recoverMillis = 15'000; // recover_s
// Times since the start of traffic.
constexpr long long releaseStart = 3000;
constexpr long long secondScaleOut = 30'000;
// The releases end when the plan in the store is this large, so that the service is whole until the final fault.
constexpr std::size_t planBytes = 56'000;
constexpr long long releaseEnd = 84'000;
constexpr long long downMillis = 700;
constexpr long long judgedMillis = 7000; // before the final fault, and after the recovery

std::mt19937_64 randomBits(20261207);

double unit()
{
    return std::uniform_real_distribution<double>(0, 1)(randomBits);
}

// Sockets and timers of one thread.
class Loop {
public:
    using Handler = std::function<void(std::uint32_t)>;

    Loop()
        : descriptor(epoll_create1(EPOLL_CLOEXEC))
    {
    }

    void watch(int socket, std::uint32_t events, Handler handler)
    {
        epoll_event event {};
        event.events = events;
        event.data.fd = socket;
        epoll_ctl(this->descriptor, this->handlers.contains(socket) ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
        this->handlers[socket] = std::make_shared<Handler>(std::move(handler));
    }

    void close(int socket)
    {
        this->handlers.erase(socket);
        ::close(socket);
    }

    void at(long long time, std::function<void()> action) { this->timers.emplace(time, std::move(action)); }

    void run(const std::atomic<bool>& running)
    {
        std::array<epoll_event, 256> events {};
        while (running) {
            auto wait = this->timers.empty() ? 20 : std::clamp(this->timers.begin()->first - now(), 0LL, 20LL);
            int count = epoll_wait(this->descriptor, events.data(), events.size(), static_cast<int>(wait));
            for (int i = 0; i < count; ++i) {
                auto found = this->handlers.find(events[i].data.fd);
                if (found == this->handlers.end())
                    continue;
                auto handler = found->second;
                (*handler)(events[i].events);
            }
            while (!this->timers.empty() && this->timers.begin()->first <= now()) {
                auto timer = this->timers.extract(this->timers.begin());
                timer.mapped()();
            }
        }
    }

private:
    int descriptor;
    std::map<int, std::shared_ptr<Handler>> handlers;
    std::multimap<long long, std::function<void()>> timers;
};

// Reads a message from the start of the buffer; nothing if it is not complete.
std::optional<Message> takeMessage(std::string& buffer)
{
    auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    Message message;
    auto lineEnd = buffer.find("\r\n");
    message.first = buffer.substr(0, lineEnd);
    for (auto at = lineEnd + 2; at < end;) {
        auto stop = buffer.find("\r\n", at);
        auto colon = buffer.find(": ", at);
        if (colon < stop)
            message.fields[lower(buffer.substr(at, colon - at))] = buffer.substr(colon + 2, stop - colon - 2);
        at = stop + 2;
    }
    auto length = strtoull(message.field("content-length").c_str(), nullptr, 10);
    if (buffer.size() < end + 4 + length)
        return std::nullopt;
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return message;
}

// A value for each key, in pieces.
class KeyMap {
public:
    KeyMap() { this->starts[0] = 0; }

    void assign(long long first, long long last, long long value)
    {
        auto after = std::prev(this->starts.upper_bound(last + 1))->second;
        auto before = this->starts.lower_bound(first);
        this->starts.erase(before, this->starts.upper_bound(last + 1));
        this->starts[first] = value;
        if (last < 65535)
            this->starts[last + 1] = after;
    }

    long long at(long long key) const { return std::prev(this->starts.upper_bound(key))->second; }

    long long largest(long long first, long long last) const
    {
        auto result = this->at(first);
        for (auto piece = this->starts.upper_bound(first); piece != this->starts.end() && piece->first <= last; ++piece)
            result = std::max(result, piece->second);
        return result;
    }

    // Raises the values that are lower.
    void raise(long long first, long long last, long long value)
    {
        std::vector<std::pair<long long, long long>> pieces;
        for (auto at = first; at <= last;) {
            auto next = this->starts.upper_bound(at);
            auto end = next == this->starts.end() ? last : std::min(last, next->first - 1);
            if (this->at(at) < value)
                pieces.emplace_back(at, end);
            at = end + 1;
        }
        for (auto [begin, end] : pieces)
            this->assign(begin, end, value);
    }

private:
    std::map<long long, long long> starts;
};

// A sound instance of the keyed service. All of them share one thread.
class KeyedInstance {
public:
    KeyedInstance(Loop& ownLoop, Store& rows, int number, const std::string& ip)
        : loop(ownLoop)
        , store(rows)
        , born(unixMillis())
    {
        char text[32];
        snprintf(text, sizeof text, "i-%010llx", static_cast<unsigned long long>(randomBits()) & 0xffffffffffULL);
        this->id = text;
        this->listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto target = parse(ip + ":0");
        if (bind(this->listening, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0
            || listen(this->listening, 128) != 0)
            giveUp("cannot listen for instance " + std::to_string(number));
        sockaddr_in bound {};
        socklen_t length = sizeof bound;
        getsockname(this->listening, reinterpret_cast<sockaddr*>(&bound), &length);
        this->address = ip + ":" + std::to_string(ntohs(bound.sin_port));
        this->loop.watch(this->listening, EPOLLIN, [this](std::uint32_t) { this->accept(); });
        this->beat();
    }

    void drain()
    {
        this->state = "draining";
        this->writeEntry();
        this->loop.at(now() + drainMillis + 300, [this] { this->leave(); });
    }

    std::string id;

private:
    struct Client {
        std::string input;
    };
    struct Job {
        int socket = -1;
        long long client = 0;
        std::string request;
        long long key = 0;
    };
    struct Release {
        int socket = -1;
        long long client = 0;
        std::string request;
        long long first = 0, last = 0;
    };

    void beat()
    {
        if (this->ended)
            return;
        this->writeEntry();
        this->loop.at(now() + beatMillis, [this] { this->beat(); });
    }

    void writeEntry()
    {
        this->store.put("servers", this->id,
            Json { { "service", "creneaux" }, { "address", this->address }, { "zone", "zone-a" }, { "version", "v1" },
                { "max_concurrency", slots }, { "state", this->state }, { "warmup_left_ms", 0 },
                { "sequence", ++this->sequence }, { "born", this->born } }
                .dump());
    }

    // Exits once its work has ended.
    void leave()
    {
        if (this->running > 0) {
            this->loop.at(now() + 100, [this] { this->leave(); });
            return;
        }
        this->ended = true;
        this->store.remove("servers", this->id);
        this->loop.close(this->listening);
        for (const auto& [socket, client] : this->clients)
            this->loop.close(socket);
        this->clients.clear();
    }

    void accept()
    {
        int socket = accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket < 0)
            return;
        int one = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        this->clients[socket] = {};
        this->numbers[socket] = ++this->lastClient;
        this->loop.watch(socket, EPOLLIN, [this, socket](std::uint32_t) { this->read(socket); });
    }

    void read(int socket)
    {
        char bytes[16384];
        ssize_t count = recv(socket, bytes, sizeof bytes, 0);
        if (count < 0 && errno == EAGAIN)
            return;
        if (count <= 0) {
            this->clients.erase(socket);
            this->loop.close(socket);
            return;
        }
        auto& input = this->clients[socket].input;
        input.append(bytes, static_cast<std::size_t>(count));
        while (auto request = takeMessage(input))
            this->handle(socket, *request);
    }

    void reply(int socket, long long client, const std::string& text)
    {
        if (this->clients.contains(socket) && this->numbers[socket] == client)
            writeAll(socket, text);
    }

    void refuse(int socket, const Message& request, int status)
    {
        this->reply(socket, this->numbers[socket],
            answer(status,
                "X-Sequoiashift-Not-Executed: 1\r\nX-Sequoiashift-Request-Id: "
                    + request.field("X-Sequoiashift-Request-Id") + "\r\n",
                ""));
    }

    void handle(int socket, const Message& request)
    {
        auto expected = request.field("X-Sequoiashift-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return this->refuse(socket, request, 421);
        auto requestId = request.field("X-Sequoiashift-Request-Id");
        auto path = request.word(1);
        if (path == "/v1/grant" || path == "/v1/release")
            return this->order(socket, path == "/v1/grant", requestId, Json::parse(request.body));
        auto key = atoll(request.field("X-Sequoiashift-Shard-Key").c_str());
        if (this->holds.at(key) <= now())
            return this->refuse(socket, request, 421);
        Job job { socket, this->numbers[socket], requestId, key };
        if (this->running < slots)
            this->start(job);
        else if (this->waiting.size() < queueLength)
            this->waiting.push_back(job);
        else
            this->refuse(socket, request, 503);
    }

    void start(const Job& job)
    {
        ++this->running;
        this->runningKeys.insert(job.key);
        auto work = 100 + static_cast<long long>(260 * unit()); // 230 ms on average
        this->loop.at(now() + work, [this, job] { this->finish(job); });
    }

    void finish(const Job& job)
    {
        --this->running;
        this->runningKeys.erase(this->runningKeys.find(job.key));
        this->reply(job.socket, job.client,
            answer(200,
                "X-Sequoiashift-Request-Id: " + job.request + "\r\nX-Sequoiashift-Server-Signature: " + this->id
                    + "\r\nKeep-Alive: timeout=10\r\n",
                "answer to " + job.request));
        while (this->running < slots && !this->waiting.empty()) {
            auto next = this->waiting.front();
            this->waiting.pop_front();
            if (this->holds.at(next.key) > now())
                this->start(next);
            else
                this->reply(next.socket, next.client,
                    answer(421, "X-Sequoiashift-Not-Executed: 1\r\nX-Sequoiashift-Request-Id: " + next.request + "\r\n",
                        ""));
        }
        this->answerReleases();
    }

    void order(int socket, bool isGrant, const std::string& requestId, const Json& body)
    {
        auto first = body["from"].get<long long>();
        auto last = body["target"].get<long long>();
        auto fence = body["fence"].get<long long>();
        auto idField = "X-Sequoiashift-Request-Id: " + requestId + "\r\n";
        if (isGrant && this->fences.largest(first, last) > fence)
            return this->reply(socket, this->numbers[socket], answer(409, idField, ""));
        this->fences.raise(first, last, fence);
        this->holds.assign(first, last, isGrant ? now() + body["hold_ms"].get<long long>() : 0);
        if (isGrant)
            return this->reply(socket, this->numbers[socket], answer(200, idField, ""));
        this->releases.push_back({ socket, this->numbers[socket], requestId, first, last });
        this->answerReleases();
    }

    // A release is answered when the work on its keys has ended.
    void answerReleases()
    {
        std::erase_if(this->releases, [this](const Release& release) {
            auto key = this->runningKeys.lower_bound(release.first);
            if (key != this->runningKeys.end() && *key <= release.last)
                return false;
            this->reply(release.socket, release.client,
                answer(200,
                    "X-Sequoiashift-Request-Id: " + release.request + "\r\nX-Sequoiashift-Handover: " + this->id
                        + "\r\n",
                    ""));
            return true;
        });
    }

    Loop& loop;
    Store& store;
    long long born;
    long long sequence = 0;
    std::string state = "ready", address;
    bool ended = false;
    int listening = -1;
    std::map<int, Client> clients;
    std::map<int, long long> numbers; // of the connection that has the descriptor
    long long lastClient = 0;
    int running = 0;
    std::multiset<long long> runningKeys;
    std::deque<Job> waiting;
    std::vector<Release> releases;
    KeyMap holds, fences; // end of the hold, highest fence
};

struct Counts {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    double share() const { return this->sent == 0 ? 0 : static_cast<double>(this->served) / this->sent; }
};

// Requests at a fixed rate, over connections that are kept. Each is counted in the period in which it is sent.
class Load {
public:
    Load(Loop& ownLoop, std::vector<std::string> fronts)
        : loop(ownLoop)
        , addresses(std::move(fronts))
        , idle(this->addresses.size())
    {
    }

    void start()
    {
        this->startTime = this->nextSend = now();
        this->send();
    }

    long long time() const { return now() - this->startTime; }

    Counts seconds[130];

private:
    struct Connection {
        int socket;
        std::size_t machine;
        std::string input, output;
        Counts* counts = nullptr;
        long long end = 0;
    };

    void send()
    {
        for (; this->nextSend <= now(); this->nextSend += 10)
            for (int i = std::poisson_distribution<int>(requestsPerSecond / 100)(randomBits); i > 0; --i)
                this->sendOne();
        for (auto entry = this->busy.begin(); entry != this->busy.end();) {
            auto connection = *entry++;
            if (now() > connection->end)
                this->drop(connection);
        }
        this->loop.at(this->nextSend, [this] { this->send(); });
    }

    long long chooseKey()
    {
        if (!isTrouble() || unit() >= hotShare)
            return static_cast<long long>(65536 * unit());
        auto first = this->time() / hotMillis * 40'503 % 65'300;
        return first + static_cast<long long>(hotKeys * unit());
    }

    void sendOne()
    {
        auto machine = this->requests % this->addresses.size();
        auto text = "GET /slots/1 HTTP/1.1\r\nHost: slots.example\r\nX-Sequoiashift-Request-Id: r"
            + std::to_string(++this->requests) + "\r\nX-Sequoiashift-Deadline-Ms: " + std::to_string(deadlineMillis)
            + "\r\nX-Sequoiashift-Shard-Key: " + std::to_string(this->chooseKey()) + "\r\n\r\n";
        auto& counts = this->seconds[std::min(this->time() / 1000, 129LL)];
        ++counts.sent;
        std::shared_ptr<Connection> connection;
        if (!this->idle[machine].empty()) {
            connection = this->idle[machine].back();
            this->idle[machine].pop_back();
        } else {
            int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            auto target = parse(this->addresses[machine]);
            if (connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 && errno != EINPROGRESS) {
                ::close(socket);
                return;
            }
            int one = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            connection = std::make_shared<Connection>(Connection { socket, machine, "", "", nullptr, 0 });
        }
        connection->counts = &counts;
        connection->end = now() + deadlineMillis;
        connection->output = text;
        this->busy.insert(connection);
        this->watch(connection, EPOLLIN | EPOLLOUT);
    }

    void watch(const std::shared_ptr<Connection>& connection, std::uint32_t events)
    {
        this->loop.watch(
            connection->socket, events, [this, connection](std::uint32_t ready) { this->onReady(connection, ready); });
    }

    void drop(const std::shared_ptr<Connection>& connection)
    {
        this->busy.erase(connection);
        std::erase(this->idle[connection->machine], connection);
        this->loop.close(connection->socket);
    }

    void onReady(const std::shared_ptr<Connection>& connection, std::uint32_t ready)
    {
        if ((ready & EPOLLOUT) && !connection->output.empty()) {
            if (::send(connection->socket, connection->output.data(), connection->output.size(), MSG_NOSIGNAL)
                != static_cast<ssize_t>(connection->output.size()))
                return this->drop(connection);
            connection->output.clear();
            this->watch(connection, EPOLLIN);
        }
        if (!(ready & (EPOLLIN | EPOLLHUP | EPOLLERR)))
            return;
        char bytes[4096];
        ssize_t count = recv(connection->socket, bytes, sizeof bytes, 0);
        if (count < 0 && errno == EAGAIN)
            return;
        if (count <= 0)
            return this->drop(connection);
        connection->input.append(bytes, static_cast<std::size_t>(count));
        auto response = takeMessage(connection->input);
        if (!response || !connection->counts)
            return;
        bool served = response->status() == 200 && !response->field("X-Sequoiashift-Server-Signature").empty();
        connection->counts->served += served ? 1 : 0;
        connection->counts = nullptr;
        if (response->field("Connection") == "close")
            return this->drop(connection);
        this->busy.erase(connection);
        this->idle[connection->machine].push_back(connection);
    }

    Loop& loop;
    std::vector<std::string> addresses;
    std::vector<std::vector<std::shared_ptr<Connection>>> idle;
    std::set<std::shared_ptr<Connection>> busy;
    long long startTime = 0, nextSend = 0;
    unsigned long long requests = 0;
};

double shareOf(const Load& load, long long fromMillis, long long toMillis, int& sent, int& served)
{
    sent = served = 0;
    for (auto second = fromMillis / 1000; second < toMillis / 1000; ++second) {
        sent += load.seconds[second].sent;
        served += load.seconds[second].served;
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
}

}

int main(int argc, char** argv)
{
    record.open(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    rlimit files {};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 16'384);
    if (setrlimit(RLIMIT_NOFILE, &files) != 0)
        giveUp("too few descriptors");
    auto folder = temporaryFolder();
    auto net = subnet();
    Store store(net + ".200:8541");
    store.put(
        "op", "config", configuration(1, { route("slots", "safe", "creneaux", 2000) }, { service("creneaux", true) }));
    std::atomic<bool> running = true;
    Loop serverLoop;
    std::deque<std::unique_ptr<KeyedInstance>> instances;
    std::size_t oldest = 0;
    int replaced = 0;
    auto add = [&] {
        auto number = static_cast<int>(instances.size());
        instances.push_back(
            std::make_unique<KeyedInstance>(serverLoop, store, number, net + "." + std::to_string(100 + number % 20)));
    };
    for (int i = 0; i < firstInstances; ++i)
        add();
    std::atomic<bool> added = false, releasing = false;
    // The new instances start first, and the old ones drain.
    std::function<void()> release = [&] {
        if (added.exchange(false))
            for (auto i = static_cast<int>(addedShare * static_cast<double>(instances.size() - oldest)); i > 0; --i)
                add();
        for (int i = 0; releasing && i < releasedAtOnce; ++i, ++replaced)
            add();
        for (int i = 0; releasing && i < releasedAtOnce; ++i)
            instances[oldest++]->drain();
        serverLoop.at(now() + releaseGapMillis, release);
    };
    release();
    std::thread serverThread([&] { serverLoop.run(running); });
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::string> fronts;
    for (int i = 0; i < machines; ++i) {
        nodes.push_back(std::make_unique<Node>(
            "edge-" + std::to_string(i), net + "." + std::to_string(1 + i), store.address(), 512, 8192, folder));
        fronts.push_back(nodes.back()->front());
        nodes.back()->start();
    }
    for (auto& node : nodes)
        node->waitUntilReady();
    Loop clientLoop;
    Load load(clientLoop, fronts);
    load.start();
    std::thread clientThread([&] { clientLoop.run(running); });
    int lastRecorded = -1;
    auto waitUntil = [&](long long time) {
        for (; load.time() < time; pause(20)) {
            auto second = static_cast<int>(load.time() / 1000);
            if (second == lastRecorded || second < 6)
                continue;
            lastRecorded = second;
            const auto& counts = load.seconds[second - 5];
            record("second %d: %d of %d requests served; replaced %d instances; largest plan %zu bytes, refused %d",
                second - 5, counts.served.load(), counts.sent.load(), replaced, store.largestRow("sequoia-plans"),
                store.rowsRefused());
        }
    };
    waitUntil(releaseStart);
    added = isTrouble();
    releasing = isTrouble();
    waitUntil(secondScaleOut);
    added = isTrouble();
    while (load.time() < releaseEnd && (!isTrouble() || store.largestRow("sequoia-plans") < planBytes))
        waitUntil(load.time() + 500);
    releasing = false;
    waitUntil(load.time() + 1000);
    auto finalFault = load.time() / 1000 * 1000;
    record("final fault: all processes are killed");
    for (auto& node : nodes)
        node->kill();
    pause(downMillis);
    for (auto& node : nodes)
        node->start();
    auto back = load.time();
    record("all machines are back");
    auto judgedFrom = (back + recoverMillis + 999) / 1000 * 1000;
    waitUntil(judgedFrom + judgedMillis + deadlineMillis);
    running = false;
    serverThread.join();
    clientThread.join();
    int sent = 0, served = 0;
    double before = shareOf(load, finalFault - judgedMillis - 1000, finalFault - 1000, sent, served);
    record("before the final fault: %d of %d requests served", served, sent);
    double after = shareOf(load, judgedFrom, judgedFrom + judgedMillis, sent, served);
    record("later than recover_s: %d of %d requests served", served, sent);
    record("largest plan %zu bytes, %d calls refused for rows over %zu bytes", store.largestRow("sequoia-plans"),
        store.rowsRefused(), Store::rowBytes);
    if (before < 0.25)
        giveUp("less than a quarter is served before the final fault");
    bool isBroken = after < 0.25;
    record(isBroken ? "rule broken: RECOVER" : "rule held");
    for (auto& node : nodes)
        node->kill();
    std::filesystem::remove_all(folder);
    _exit(isBroken ? 1 : 0);
}
