// Case "fraction in the settings": a bound in the settings becomes a fraction; later all processes are killed.
// Usage: fraction_bound REPOSITORY RECORD TROUBLE SEED
#include "server.h"

using namespace standins;

namespace {

constexpr int hostCount = 3;
constexpr int serverCount = 3;
constexpr int clientCount = 6;
constexpr int deadlineMillis = 1200;
// RECOVER: later than recover_s after the machines are back, a quarter of the requests has to be served.
constexpr std::int64_t recoverMillis = 15'000;
constexpr std::int64_t judgedMillis = 10'000;
constexpr std::int64_t downMillis = 700;

}

int main(int argc, char** argv)
{
    if (argc < 5)
        return 2;
    alarm(maxRunSeconds);
    std::string repository = argv[1];
    bool trouble = std::string(argv[3]) != "0";
    auto seed = static_cast<std::uint64_t>(std::atoll(argv[4]));
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
    if (waitUntilReady(nodes, 15'000)) {
        record.line("hosts ready");
        std::atomic<bool> loading { true };
        std::atomic<int> phase { 0 };
        std::atomic<int> sent[3] {};
        std::atomic<int> served[3] {};
        std::vector<std::thread> clients;
        for (int c = 0; c < clientCount; ++c)
            clients.emplace_back([&, c] {
                std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(c));
                for (int n = 0; loading; ++n) {
                    auto id = "c" + std::to_string(c) + "n" + std::to_string(n);
                    int sentIn = phase;
                    ++sent[sentIn];
                    record.line("sent " + id);
                    auto status = request(nodes[random() % nodes.size()]->front(), "POST", "shop.example",
                        "/order/" + id, id, deadlineMillis, -1, "pay " + id);
                    oracle.onAnswer(id, status, false);
                    served[sentIn] += status == 200 ? 1 : 0;
                    sleepMillis(50);
                }
            });
        sleepMillis(6000);
        for (auto& node : nodes) {
            if (trouble)
                node->set("bounds.grace_s", "6.5");
            node->writeSettings();
            node->signal(SIGHUP);
        }
        record.line(trouble ? "settings: grace_s becomes 6.5, SIGHUP" : "settings unchanged, SIGHUP");
        sleepMillis(5000);
        record.line("all processes are killed");
        for (auto& node : nodes)
            node->end();
        phase = 1;
        sleepMillis(downMillis);
        auto back = nowMillis();
        record.line("all processes are started");
        for (auto& node : nodes)
            node->run();
        int ends = 0;
        while (nowMillis() < back + recoverMillis + judgedMillis) {
            sleepMillis(downMillis);
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                auto status = nodes[i]->ended();
                if (!status)
                    continue;
                ++ends;
                record.line("host " + std::to_string(i) + " has ended by itself with "
                    + std::to_string(WIFEXITED(*status) ? WEXITSTATUS(*status) : -WTERMSIG(*status))
                    + " and is started again");
                nodes[i]->run();
            }
            if (nowMillis() >= back + recoverMillis)
                phase = 2;
        }
        loading = false;
        for (auto& client : clients)
            client.join();
        bool servedBefore = served[0] * 4 >= sent[0] && sent[0] > 0;
        bool recovered = served[2] * 4 >= sent[2];
        auto summary = "before: " + std::to_string(served[0]) + " of " + std::to_string(sent[0])
            + " served; later than 15 s after the start: " + std::to_string(served[2]) + " of "
            + std::to_string(sent[2]) + "; processes that ended by themselves: " + std::to_string(ends);
        result = !servedBefore ? 2 : recovered ? 0 : 1;
        record.line(summary + (result == 1 ? "; BROKEN RECOVER" : ""));
        std::printf("%s exit %d\n", summary.c_str(), result);
        std::fflush(stdout);
    }
    for (auto& node : nodes)
        node->end();
    stopping = true;
    beats.join();
    std::filesystem::remove_all(folder);
    // The threads of open connections still wait for requests.
    std::_Exit(result);
}
