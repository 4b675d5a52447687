// A small crowd of callers whose heads are inside `max_header_bytes` and hold many fields and a long list in the field
// Connection. Without the disruption the crowd sends heads of the same length with one long field.
#include "kit.h"

using namespace kit;

namespace {

constexpr std::size_t headBytes = 15'900;
constexpr int crowdCallers = 100;
constexpr int ordinaryCallers = 8;
constexpr long long runMillis = 30'000;
constexpr int timeoutMillis = 1200; // of the route
constexpr int deadlineMillis = 2500;
constexpr int slackMillis = 500;
constexpr int unansweredThatBreakTheRule = 8;

std::string crowdFields()
{
    std::string text;
    if (!isTrouble())
        return "Note: " + std::string(headBytes - 200, 'n') + "\r\n";
    while (text.size() < headBytes / 2)
        text += "ab:1\r\n";
    text += "Connection: a";
    while (text.size() + 204 < headBytes)
        text += ",a";
    return text + "\r\n";
}

}

int main(int argc, char** argv)
{
    record.open(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    auto folder = temporaryFolder();
    auto net = subnet();
    Store store(net + ".200:8541");
    store.put(
        "op", "config", configuration(1, { route("lookup", "safe", "rooms", timeoutMillis) }, { service("rooms") }));
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < 20; ++i)
        instances.push_back(std::make_unique<Instance>(
            store, "room-" + std::to_string(i), "rooms", net + "." + std::to_string(100 + i) + ":0", 6, 100));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 2; ++i) {
        nodes.push_back(std::make_unique<Node>(
            "edge-" + std::to_string(i), net + "." + std::to_string(1 + i), store.address(), 195, 3075, folder));
        nodes.back()->start();
    }
    for (auto& node : nodes)
        node->waitUntilReady();
    // The machines are in touch from here on.
    pause(4000);
    auto begin = now();
    std::atomic<int> crowdSent = 0, crowdAnswered = 0, sent = 0, atTimeout = 0, unanswered = 0, served = 0;
    std::vector<std::thread> threads;
    auto fields = crowdFields();
    for (int caller = 0; caller < crowdCallers; ++caller)
        threads.emplace_back([&, caller] {
            for (int number = 0; now() - begin < runMillis; ++number) {
                auto id = "crowd-" + std::to_string(caller) + "-" + std::to_string(number);
                ++crowdSent;
                crowdAnswered += ask(nodes[0]->front(), "lookup", id, "GET", "", deadlineMillis, fields) ? 1 : 0;
            }
        });
    for (int caller = 0; caller < ordinaryCallers; ++caller)
        threads.emplace_back([&, caller] {
            pause(1000);
            for (int number = 0; now() - begin < runMillis; ++number) {
                auto id = "ordinary-" + std::to_string(caller) + "-" + std::to_string(number);
                auto start = now();
                auto response = ask(nodes[0]->front(), "lookup", id, "GET", "", deadlineMillis);
                auto waited = now() - start;
                ++sent;
                served += response && response->status() == 200 ? 1 : 0;
                atTimeout += waited >= timeoutMillis ? 1 : 0;
                unanswered += waited > timeoutMillis + slackMillis ? 1 : 0;
                record("%s: answered %d after %lld ms", id.c_str(), response ? response->status() : 0, waited);
                pause(300);
            }
        });
    threads.emplace_back([&] {
        while (now() - begin < runMillis) {
            record("edge-0: ready %d; edge-1: ready %d", nodes[0]->isReady(), nodes[1]->isReady());
            pause(1000);
        }
    });
    for (auto& thread : threads)
        thread.join();
    record("crowd: %d sent in %lld s, %d answered", crowdSent.load(), runMillis / 1000, crowdAnswered.load());
    record("ordinary: %d sent, %d served, %d unanswered at the timeout of the route, %d of them 0.5 s later",
        sent.load(), served.load(), atTimeout.load(), unanswered.load());
    bool isBroken = unanswered >= unansweredThatBreakTheRule && unanswered * 4 > atTimeout;
    record(isBroken ? "rule broken: CONFIG" : "rule held");
    nodes.clear();
    std::filesystem::remove_all(folder);
    _exit(isBroken ? 1 : 0);
}
