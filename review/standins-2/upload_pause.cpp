// Callers send a long body on a kept connection and pause in the middle of it, for less than `idle_timeout_ms` and well
// before their deadline.
#include "kit.h"

using namespace kit;

namespace {

constexpr std::size_t bodyBytes = 360'000; // the largest of the sheet
constexpr std::size_t bytesBeforePause = 300'000;
constexpr long long pauseMillis = 6500; // `idle_timeout_ms` is 15,000
constexpr int deadlineMillis = 10'000;
constexpr int callers = 6;
constexpr int lostThatBreakTheRule = 4; // more than three times

std::string head(const std::string& method, const std::string& route, const std::string& id, std::size_t length)
{
    auto text = method + " /" + route + "/1 HTTP/1.1\r\nHost: " + route + ".example\r\nX-Sequoiashift-Request-Id: " + id
        + "\r\nX-Sequoiashift-Deadline-Ms: " + std::to_string(deadlineMillis) + "\r\n";
    if (length > 0)
        text += "Content-Length: " + std::to_string(length) + "\r\n";
    return text + "\r\n";
}

// Whether the answer to the upload was lost.
bool upload(const Node& node, int number, bool pauses)
{
    auto id = "upload-" + std::to_string(number);
    int socket = dial(node.front());
    Reader reader(socket);
    writeAll(socket, head("GET", "lookup", "first-" + std::to_string(number), 0));
    auto first = reader.read(5000);
    if (!first || first->status() != 200)
        giveUp("the first request of a kept connection is not served");
    auto sent = now();
    writeAll(socket, head("POST", "upload", id, bodyBytes) + std::string(bytesBeforePause, 'u'));
    record("%s: sent %zu of %zu bytes", id.c_str(), bytesBeforePause, bodyBytes);
    if (pauses)
        pause(pauseMillis);
    bool written = writeAll(socket, std::string(bodyBytes - bytesBeforePause, 'v'));
    auto response = reader.read(sent + deadlineMillis - now());
    record("%s: rest %s after %lld ms, answered %d after %lld ms%s", id.c_str(), written ? "sent" : "not taken",
        pauses ? pauseMillis : 0, response ? response->status() : 0, now() - sent,
        !response && !reader.timedOut ? ", connection closed without an answer" : "");
    close(socket);
    return !response && !reader.timedOut;
}

}

int main(int argc, char** argv)
{
    record.open(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    auto folder = temporaryFolder();
    auto net = subnet();
    Store store(net + ".200:8541");
    store.put("op", "config",
        configuration(1, { route("lookup", "safe", "archive", 10'000), route("upload", "upload", "archive", 10'000) },
            { service("archive") }));
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < 4; ++i)
        instances.push_back(std::make_unique<Instance>(
            store, "archive-" + std::to_string(i), "archive", net + "." + std::to_string(100 + i) + ":0", 6, 100));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 2; ++i) {
        nodes.push_back(std::make_unique<Node>(
            "edge-" + std::to_string(i), net + "." + std::to_string(1 + i), store.address(), 120, 3075, folder));
        nodes.back()->start();
    }
    for (auto& node : nodes)
        node->waitUntilReady();
    // All machines are in touch from here on.
    pause(4000);
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([&, i] { lost += upload(*nodes[i % 2], i, isTrouble()) ? 1 : 0; });
    for (auto& thread : threads)
        thread.join();
    bool isBroken = lost >= lostThatBreakTheRule;
    record("%d of %d uploads ended without an answer", lost.load(), callers);
    record(isBroken ? "rule broken: LOST" : "rule held");
    nodes.clear();
    std::filesystem::remove_all(folder);
    _exit(isBroken ? 1 : 0);
}
