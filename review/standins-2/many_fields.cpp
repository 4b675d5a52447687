// Crowds of callers whose heads are inside `max_header_bytes` and consist of many short fields, and whose large bodies
// stop one byte short of their end. They come no faster than the link of the machine carries. A process that exceeds
// the memory of its machine is killed, as on the platform, and started again; the crowd comes again then.
#include "kit.h"

using namespace kit;

namespace {

constexpr int megabytes = 195;
constexpr int descriptors = 3075;
constexpr std::size_t headBytes = 16'000;
constexpr std::size_t bodyBytes = 60'000; // mean of dossier-upload
constexpr long long linkBytesPerSecond = 750'000'000 / 8;
constexpr int callers = 1200; // below 0.4 of the descriptors, at which the program closes connections
constexpr int endsThatBreakTheRule = 3;

std::string crowdRequest(int number)
{
    std::string text = "POST /order/1 HTTP/1.1\r\nHost: order.example\r\nX-Sequoiashift-Request-Id: crowd-"
        + std::to_string(number)
        + "\r\nX-Sequoiashift-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n";
    const std::string letters = "abcdefghijklmnopqrstuvwxyz";
    for (std::size_t i = 0; text.size() + 9 < headBytes; ++i)
        text += std::string { letters[i / 676 % 26], letters[i / 26 % 26], letters[i % 26] } + ":1\r\n";
    return text + "\r\n" + std::string(bodyBytes - 1, 'b');
}

struct Machine {
    std::unique_ptr<Node> node;
    std::vector<int> crowd;
    int ends = 0;
    long long highest = 0;
};

void closeCrowd(Machine& machine)
{
    for (int socket : machine.crowd)
        close(socket);
    machine.crowd.clear();
}

// Looks at the memory of the process, and kills it as the platform does when it is over the limit.
bool isOver(Machine& machine)
{
    auto bytes = machine.node->memory();
    machine.highest = std::max(machine.highest, bytes);
    if (bytes <= megabytes * 1024LL * 1024 && machine.node->runs())
        return false;
    record("%s: %lld MB resident of %d, %zu callers", machine.node->name.c_str(), bytes >> 20, megabytes,
        machine.crowd.size());
    machine.node->kill();
    ++machine.ends;
    return true;
}

bool isServed(const Machine& machine, int number)
{
    auto id = "ordinary-" + machine.node->name + "-" + std::to_string(number);
    auto response = ask(machine.node->front(), "order", id, "POST", std::string(1200, 'o'), 3000);
    record("%s: %s answered %d", machine.node->name.c_str(), id.c_str(), response ? response->status() : 0);
    return response && response->status() == 200;
}

}

int main(int argc, char** argv)
{
    auto recordFile = std::string(argc > 1 ? argv[1] : ".") + "/record.txt";
    record.open(recordFile);
    rlimit files { 8192, 8192 };
    if (setrlimit(RLIMIT_NOFILE, &files) != 0)
        giveUp("too few descriptors");
    auto folder = temporaryFolder();
    auto net = subnet();
    Store store(net + ".200:8541");
    store.put("op", "config", configuration(1, { route("order", "unsafe", "desk", 1500) }, { service("desk") }));
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < 4; ++i)
        instances.push_back(std::make_unique<Instance>(
            store, "i-" + std::to_string(i), "desk", net + "." + std::to_string(100 + i) + ":0", 2, 50));
    std::vector<Machine> machines(2);
    for (std::size_t i = 0; i < machines.size(); ++i) {
        machines[i].node = std::make_unique<Node>("edge-" + std::to_string(i), net + "." + std::to_string(1 + i),
            store.address(), megabytes, descriptors, folder);
        machines[i].node->start();
    }
    for (auto& machine : machines)
        machine.node->waitUntilReady();
    pause(1000);
    for (auto& machine : machines)
        if (!isServed(machine, 0))
            giveUp("an ordinary request is not served before the crowd");
    for (int wave = 1; wave <= endsThatBreakTheRule; ++wave) {
        for (auto& machine : machines) {
            bool over = false;
            auto crowdStart = now();
            for (int i = 0; isTrouble() && i < callers && !over; ++i) {
                int socket = dial(machine.node->front());
                if (socket < 0)
                    break;
                machine.crowd.push_back(socket);
                writeAll(socket, crowdRequest(wave * callers + i));
                auto due
                    = crowdStart + (i + 1) * static_cast<long long>(headBytes + bodyBytes) * 1000 / linkBytesPerSecond;
                if (due > now())
                    pause(due - now());
                over = i % 10 == 0 && isOver(machine);
            }
            for (int i = 0; i < 100 && !over; ++i) {
                pause(20);
                over = isOver(machine);
            }
            closeCrowd(machine);
            if (over) {
                pause(500);
                machine.node->start();
                machine.node->waitUntilReady();
                pause(1000);
            }
            isServed(machine, wave);
        }
    }
    int broken = 0;
    for (auto& machine : machines) {
        record("%s: ended %d times over its memory, highest %lld MB of %d", machine.node->name.c_str(), machine.ends,
            machine.highest >> 20, megabytes);
        broken += machine.ends >= endsThatBreakTheRule ? 1 : 0;
    }
    bool isBroken = broken >= 2;
    record(isBroken ? "rule broken: Fault" : "rule held");
    machines.clear();
    std::filesystem::remove_all(folder);
    _exit(isBroken ? 1 : 0);
}
