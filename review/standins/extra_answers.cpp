// Case "extra answers": servers send some of their answers a second time, late, and turn requests away for a while.
// Variant bytes: rejections bear ids, no server turns requests away, and the extra bytes are a rejection without an id.
// Usage: extra_answers REPOSITORY RECORD TROUBLE SEED [copy|bytes]
#include "server.h"

using namespace standins;

namespace {

constexpr int hostCount = 3;
constexpr int serverCount = 7;
constexpr int clientCount = 16;
constexpr int deadlineMillis = 1200;
constexpr std::int64_t loadMillis = 75'000;
// The largest dose in the site file: 3 % of the answers of 0.6 of the servers for 5 s; all servers of a service turn
// away 0.55 of the requests for 8.5 s.
constexpr double extraShare = 0.03;
constexpr double garbledServers = 0.6;
constexpr double shedShare = 0.55;
constexpr std::int64_t extraMillis = 5000;
constexpr std::int64_t shedMillis = 6500;
constexpr std::int64_t pauseMillis = 4000;

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
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < serverCount; ++i) {
        ServerOptions options;
        options.id = "i-desk-" + std::to_string(i);
        options.service = "order-desk";
        options.zone = "zone-a";
        options.echoesAlways = bytes;
        options.extraBytes = bytes ? rejection(503) : "";
        servers.push_back(std::make_unique<Server>(options, oracle, seed * 100 + static_cast<std::uint64_t>(i)));
    }
    Json config { { "version", "r1" },
        { "services",
            Json::array({ { { "name", "order-desk" }, { "max_conns", 56 }, { "health_path", "/healthz" } } }) },
        { "routes",
            Json::array({ { { "name", "order" }, { "hostname", "shop.example" }, { "prefix", "/order/" },
                { "service", "order-desk" }, { "kind", "unsafe" }, { "timeout_ms", 1200 },
                { "target_latency_ms", 300 }, { "priority", 1 }, { "max_attempts", 3 } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 1000000 }, { "header_timeout_ms", 5000 },
                { "idle_timeout_ms", 10000 } } } };
    store.put("op", "config", config.dump());
    std::atomic<bool> stopping { false };
    std::thread beats([&] {
        while (!stopping) {
            for (auto& server : servers)
                store.put("servers", server->id(), server->entry("ready"));
            sleepMillis(870);
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
                    record.line("sent " + id);
                    auto status = request(nodes[random() % nodes.size()]->front(), "POST", "shop.example",
                        "/order/" + id, id, deadlineMillis, -1, "pay " + id);
                    oracle.onAnswer(id, status, false);
                    answered += status == 200 ? 1 : 0;
                    sleepMillis(20 + static_cast<std::int64_t>(random() % 40));
                }
            });
        auto until = nowMillis() + loadMillis;
        while (nowMillis() < until) {
            sleepMillis(pauseMillis);
            if (!trouble)
                continue;
            for (auto& server : servers)
                server->shedShare = bytes ? 0 : shedShare;
            for (std::size_t i = 0; i < static_cast<std::size_t>(serverCount * garbledServers); ++i)
                servers[i]->extraShare = extraShare;
            record.line("disruption begins");
            sleepMillis(extraMillis);
            for (auto& server : servers)
                server->extraShare = 0;
            sleepMillis(shedMillis - extraMillis);
            for (auto& server : servers)
                server->shedShare = 0;
            record.line("disruption ends");
        }
        loading = false;
        for (auto& client : clients)
            client.join();
        result = oracle.count("TWICE") > 0 ? 1 : 0;
        if (answered == 0)
            result = 2;
    }
    for (auto& node : nodes)
        node->end();
    stopping = true;
    beats.join();
    int extras = 0;
    for (auto& server : servers)
        extras += server->extras;
    auto summary = "TWICE " + std::to_string(oracle.count("TWICE")) + " REFUSED "
        + std::to_string(oracle.count("REFUSED")) + " sent " + std::to_string(sent) + " succeeded "
        + std::to_string(answered) + " extra answers " + std::to_string(extras) + " exit " + std::to_string(result);
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    std::fflush(stdout);
    std::filesystem::remove_all(folder);
    // The threads of open connections still wait for requests.
    std::_Exit(result);
}
