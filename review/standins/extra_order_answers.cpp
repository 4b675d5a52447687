// Case "extra answers to orders": servers that hold keys send some of their answers a second time, late, while the
// servers of the service are replaced one after the other.
// Variant bytes: answers to orders bear ids too, and the extra bytes are the answer to a grant without an id.
// Usage: extra_order_answers REPOSITORY RECORD TROUBLE SEED [copy|bytes]
#include "server.h"

using namespace standins;

namespace {

constexpr int hostCount = 3;
constexpr int serverCount = 6;
constexpr int clientCount = 100;
constexpr int slots = 20;
constexpr int deadlineMillis = 1200;
constexpr std::int64_t loadMillis = 92'000;
// The largest dose in the site file: 3 % of the answers of 0.6 of the servers, for 5 s.
constexpr double extraShare = 0.03;
constexpr double garbledServers = 0.6;
constexpr std::int64_t extraMillis = 5000;
constexpr std::int64_t pauseMillis = 1000;
// A new server starts, then the oldest one drains; it serves for longer than drain_ms and leaves.
constexpr std::int64_t replaceMillis = 1500;
constexpr std::int64_t leaveMillis = 3500;

}

int main(int argc, char** argv)
{
    if (argc < 5)
        return 2;
    alarm(maxRunSeconds);
    std::string repository = argv[1];
    bool trouble = std::string(argv[3]) != "0";
    auto seed = static_cast<std::uint64_t>(std::atoll(argv[4]));
    bool bytes = argc > 5 && std::string(argv[5]) == "bytes";
    char folderName[] = "/tmp/sequoia-review-XXXXXX";
    std::string folder = mkdtemp(folderName);
    Record record(argv[2]);
    Oracle oracle(record);
    Store store;
    struct Member {
        std::unique_ptr<Server> server;
        std::int64_t drainsAt = 0; //!< 0 while it is ready
        bool gone = false;
    };
    std::mutex mutex;
    std::vector<Member> members;
    auto up = [&] {
        std::lock_guard lock(mutex);
        std::vector<Server*> result;
        for (auto& member : members) {
            if (!member.gone)
                result.push_back(member.server.get());
        }
        return result;
    };
    auto addServer = [&] {
        std::lock_guard lock(mutex);
        ServerOptions options;
        options.id = "i-view-" + std::to_string(members.size());
        options.service = "ledger-view";
        options.zone = "zone-a";
        options.keyed = true;
        options.echoesAlways = bytes;
        options.extraBytes = bytes ? grantAnswer() : "";
        options.slots = slots;
        options.minWorkMillis = 150;
        options.maxWorkMillis = 450;
        auto server = std::make_unique<Server>(options, oracle, seed * 100 + members.size());
        server->others = up;
        members.push_back({ std::move(server), 0, false });
    };
    for (int i = 0; i < serverCount; ++i)
        addServer();
    Json config { { "version", "r1" },
        { "services",
            Json::array({ { { "name", "ledger-view" }, { "max_conns", 200 }, { "health_path", "/healthz" },
                { "sharded", true }, { "warm_s", 3.0 } } }) },
        { "routes",
            Json::array({ { { "name", "track" }, { "hostname", "shop.example" }, { "prefix", "/track/" },
                { "service", "ledger-view" }, { "kind", "safe" }, { "timeout_ms", 1200 },
                { "target_latency_ms", 300 }, { "priority", 1 }, { "max_attempts", 2 } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 1000000 }, { "header_timeout_ms", 5000 },
                { "idle_timeout_ms", 10000 } } } };
    store.put("op", "config", config.dump());
    std::atomic<bool> stopping { false };
    std::thread beats([&] {
        std::int64_t lastBeat = -10'000;
        while (!stopping) {
            {
                std::lock_guard lock(mutex);
                bool due = nowMillis() - lastBeat >= 870;
                for (auto& member : members) {
                    if (!member.gone && member.drainsAt != 0 && nowMillis() - member.drainsAt >= leaveMillis) {
                        member.gone = true;
                        member.server->ended = true;
                        store.remove("servers", member.server->id());
                        record.line("left " + member.server->id());
                    } else if (!member.gone && due)
                        store.put("servers", member.server->id(),
                            member.server->entry(member.drainsAt != 0 ? "draining" : "ready"));
                }
                if (due)
                    lastBeat = nowMillis();
            }
            sleepMillis(50);
        }
    });
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < hostCount; ++i) {
        nodes.push_back(std::make_unique<Node>(repository, folder, i, store.address(), "zone-a"));
        nodes.back()->writeSettings();
        nodes.back()->run();
    }
    int result = 2;
    std::atomic<int> answered { 0 };
    std::atomic<int> sent { 0 };
    if (waitUntilReady(nodes, 15'000)) {
        record.line("hosts ready");
        std::atomic<bool> loading { true };
        std::vector<std::thread> clients;
        for (int c = 0; c < clientCount; ++c)
            clients.emplace_back([&, c] {
                std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(c));
                for (int n = 0; loading; ++n) {
                    auto id = "c" + std::to_string(c) + "n" + std::to_string(n);
                    ++sent;
                    auto status = request(nodes[random() % nodes.size()]->front(), "GET", "shop.example",
                        "/track/" + id, id, deadlineMillis, static_cast<int>(random() % 65536), "");
                    oracle.onAnswer(id, status, true);
                    answered += status == 200 ? 1 : 0;
                    if (status != 200)
                        sleepMillis(50);
                }
            });
        std::thread replacements([&] {
            sleepMillis(4000);
            std::size_t oldest = 0;
            while (loading) {
                addServer();
                sleepMillis(replaceMillis / 2);
                {
                    std::lock_guard lock(mutex);
                    auto& member = members[oldest++];
                    member.drainsAt = nowMillis();
                    store.put("servers", member.server->id(), member.server->entry("draining"));
                    record.line("draining " + member.server->id());
                }
                sleepMillis(replaceMillis / 2);
            }
        });
        auto until = nowMillis() + loadMillis;
        while (nowMillis() < until) {
            sleepMillis(pauseMillis);
            if (trouble) {
                record.line("disruption begins");
                // By the number of the server, so that 0.6 of those that are up at any time are chosen.
                auto list = up();
                for (auto* server : list)
                    server->extraShare = 0;
                for (std::size_t i = 0; i < static_cast<std::size_t>(static_cast<double>(list.size()) * garbledServers);
                     ++i)
                    list[i]->extraShare = extraShare;
            }
            sleepMillis(extraMillis);
            for (auto* server : up())
                server->extraShare = 0;
            if (trouble)
                record.line("disruption ends");
        }
        loading = false;
        for (auto& client : clients)
            client.join();
        replacements.join();
        result = oracle.count("OWNER") > 0 ? 1 : 0;
        if (answered == 0)
            result = 2;
    }
    for (auto& node : nodes)
        node->end();
    stopping = true;
    beats.join();
    int extras = 0;
    int releases = 0;
    for (auto& member : members) {
        extras += member.server->extras;
        releases += member.server->releases;
    }
    auto summary = "OWNER " + std::to_string(oracle.count("OWNER")) + " sent " + std::to_string(sent) + " succeeded "
        + std::to_string(answered) + " releases " + std::to_string(releases) + " extra answers "
        + std::to_string(extras) + " exit " + std::to_string(result);
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    std::fflush(stdout);
    std::filesystem::remove_all(folder);
    // The threads of open connections still wait for requests.
    std::_Exit(result);
}
