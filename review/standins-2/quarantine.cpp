// Orders of different callers have the same path, as in an ordinary interface for orders. Instances of their service
// crash, as instances do, and are back after some seconds.
#include "kit.h"

#include <random>

using namespace kit;

namespace {

constexpr long long dayMillis = 80'000;
constexpr int orderInstances = 7; // one of them is 0.143, less than the largest share of `srv_crash`, 0.15
constexpr int slots = 4;
constexpr int workMillis = 97;
constexpr double meanGapMillis = 5; // between two requests of a kind
constexpr int deadlineMillis = 1200;
constexpr long long firstCrash = 3000;
constexpr int crashes = 3;
constexpr long long downMillis = 4500;

struct Kind {
    const char* route;
    const char* method;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> servedLate = 0; // in the last half of the day
    std::atomic<int> sentLate = 0;
    std::atomic<int> refused = 0;
    double share() const { return this->sent == 0 ? 0 : static_cast<double>(this->served) / this->sent; }
};

// One request with one retry, as the clients of the sheets: after a promise, at the time that the answer names.
bool isServed(const std::vector<std::unique_ptr<Node>>& nodes, Kind& kind, int number)
{
    auto id = std::string(kind.route) + "-" + std::to_string(number);
    auto end = now() + deadlineMillis;
    for (int attempt = 0; attempt < 2; ++attempt) {
        auto left = end - now();
        auto body = kind.method == std::string("GET") ? "" : "order of caller " + id;
        auto response = ask(nodes[(number + attempt) % nodes.size()]->front(), kind.route,
            id + "-" + std::to_string(attempt), kind.method, body, static_cast<int>(left));
        if (response && response->status() == 200)
            return true;
        kind.refused += response && response->status() == 503 ? 1 : 0;
        if (number % 500 == 0)
            record("%s attempt %d: answered %d, %s", id.c_str(), attempt, response ? response->status() : 0,
                response ? response->body.substr(0, response->body.find('\n')).c_str() : "connection ended");
        if (!response || (response->status() != 503 && response->status() != 429))
            return false;
        auto wait = std::min(1000 * atof(response->field("Retry-After").c_str()), static_cast<double>(end - now()) / 3);
        pause(static_cast<long long>(std::max(0.0, wait)));
    }
    return false;
}

}

int main(int argc, char** argv)
{
    auto recordFile = std::string(argc > 1 ? argv[1] : ".") + "/record.txt";
    record.open(recordFile);
    auto folder = temporaryFolder();
    auto net = subnet();
    Store store(net + ".200:8541");
    store.put("op", "config",
        configuration(1, { route("order", "unsafe", "desk", 1200), route("status", "safe", "view", 1000) },
            { service("desk"), service("view") }));
    std::vector<std::unique_ptr<Instance>> desks;
    std::vector<std::unique_ptr<Instance>> views;
    for (int i = 0; i < orderInstances; ++i) {
        desks.push_back(std::make_unique<Instance>(
            store, "desk-" + std::to_string(i), "desk", net + "." + std::to_string(100 + i) + ":0", slots, workMillis));
        views.push_back(std::make_unique<Instance>(
            store, "view-" + std::to_string(i), "view", net + "." + std::to_string(120 + i) + ":0", slots, 75));
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<Node>(
            "edge-" + std::to_string(i), net + "." + std::to_string(1 + i), store.address(), 195, 3075, folder));
        nodes.back()->start();
    }
    for (auto& node : nodes)
        node->waitUntilReady();
    pause(2000);
    Kind orders { "order", "POST" };
    Kind statuses { "status", "GET" };
    auto begin = now();
    std::atomic<int> running = 0;
    std::thread traffic([&] {
        std::mt19937 random(1);
        std::exponential_distribution<double> gap(1 / meanGapMillis);
        double next = 0;
        for (int number = 0; now() - begin < dayMillis; ++number) {
            bool late = now() - begin > dayMillis / 2;
            for (auto* kind : { &orders, &statuses }) {
                ++running;
                std::thread([&, kind, number, late] {
                    bool served = isServed(nodes, *kind, number);
                    ++kind->sent;
                    kind->sentLate += late ? 1 : 0;
                    kind->served += served ? 1 : 0;
                    kind->servedLate += late && served ? 1 : 0;
                    --running;
                }).detach();
            }
            next += gap(random);
            pause(std::max(0LL, begin + static_cast<long long>(next) - now()));
        }
    });
    // `srv_crash`: one instance of seven at a time, back after 4.5 s.
    pause(firstCrash);
    for (int i = 0; isTrouble() && i < crashes; ++i) {
        desks[i]->crash();
        pause(downMillis);
        desks[i]->start();
        pause(500);
    }
    traffic.join();
    while (running > 0)
        pause(20);
    double all = static_cast<double>(orders.served + statuses.served) / (orders.sent + statuses.sent);
    for (auto* kind : { &orders, &statuses })
        record("%s: %d sent, %d served (%.3f); in the last half of the day %d sent, %d served; %d answers 503",
            kind->route, kind->sent.load(), kind->served.load(), kind->share(), kind->sentLate.load(),
            kind->servedLate.load(), kind->refused.load());
    bool isBroken = orders.share() < all / 4;
    record("all requests: %.3f served; a quarter of it is %.3f", all, all / 4);
    record(isBroken ? "rule broken: Starved" : "rule held");
    nodes.clear();
    std::filesystem::remove_all(folder);
    _exit(isBroken ? 1 : 0);
}
