// Callers on kept connections with a small receive window pause while they read an answer.
#include "kit.h"

#include <utility>

using namespace kit;

namespace {

constexpr std::size_t bodyBytes = 30'000; // the largest of the sheet
constexpr int windowBytes = 4096;
constexpr long long pauseMillis = 6500;
constexpr int deadlineMillis = 8000;
constexpr int callers = 6;
constexpr int lostThatBreakTheRule = 4; // more than three times

// Reads an answer, with a pause after its first bytes. Returns the length of its body, or nothing if the connection ends
// or the deadline passes before it is complete.
std::optional<std::size_t> readAnswer(int socket, bool pauses, long long end, std::string& text, bool& ended)
{
    std::size_t length = 0;
    std::size_t head = std::string::npos;
    while (now() < end) {
        pollfd entry { socket, POLLIN, 0 };
        if (poll(&entry, 1, 50) <= 0)
            continue;
        char bytes[2048];
        ssize_t count = recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            ended = true;
            return std::nullopt;
        }
        text.append(bytes, static_cast<std::size_t>(count));
        if (head == std::string::npos && (head = text.find("\r\n\r\n")) != std::string::npos) {
            auto field = lower(text).find("content-length: ");
            length = strtoull(text.c_str() + field + strlen("content-length: "), nullptr, 10);
        }
        if (head != std::string::npos && text.size() == head + 4 + length)
            return length;
        if (std::exchange(pauses, false))
            pause(pauseMillis);
    }
    return std::nullopt;
}

// Whether the second answer on a kept connection was cut.
bool isLost(const Node& node, int number, bool pauses)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof windowBytes);
    auto target = parse(node.front());
    if (connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0)
        giveUp("a caller cannot connect");
    bool ended = false;
    for (int request = 0; request < 2; ++request) {
        auto id = (request == 0 ? "first-" : "slow-") + std::to_string(number);
        auto sent = now();
        writeAll(socket,
            "GET /lookup/1 HTTP/1.1\r\nHost: lookup.example\r\nX-Sequoiashift-Request-Id: " + id
                + "\r\nX-Sequoiashift-Deadline-Ms: " + std::to_string(deadlineMillis) + "\r\n\r\n");
        std::string text;
        auto length = readAnswer(socket, pauses && request == 1, sent + deadlineMillis, text, ended);
        record("%s: %s, %zu bytes after %lld ms%s", id.c_str(), length ? "complete" : "INCOMPLETE", text.size(),
            now() - sent, ended ? ", connection ended" : "");
        if (request == 0 && !length)
            giveUp("the first request of a kept connection is not served");
    }
    close(socket);
    return ended;
}

}

int main(int argc, char** argv)
{
    record.open(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    auto folder = temporaryFolder();
    auto net = subnet();
    Store store(net + ".200:8541");
    store.put("op", "config", configuration(1, { route("lookup", "safe", "planning", 8000) }, { service("planning") }));
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < 4; ++i) {
        instances.push_back(std::make_unique<Instance>(
            store, "planning-" + std::to_string(i), "planning", net + "." + std::to_string(100 + i) + ":0", 6, 100));
        instances.back()->answerBytes = bodyBytes;
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 2; ++i) {
        nodes.push_back(std::make_unique<Node>(
            "edge-" + std::to_string(i), net + "." + std::to_string(1 + i), store.address(), 160, 4100, folder));
        nodes.back()->start();
    }
    for (auto& node : nodes)
        node->waitUntilReady();
    pause(4000);
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([&, i] { lost += isLost(*nodes[i % 2], i, isTrouble()) ? 1 : 0; });
    for (auto& thread : threads)
        thread.join();
    bool isBroken = lost >= lostThatBreakTheRule;
    record("%d of %d answers were cut", lost.load(), callers);
    record(isBroken ? "rule broken: LOST" : "rule held");
    nodes.clear();
    std::filesystem::remove_all(folder);
    _exit(isBroken ? 1 : 0);
}
