#include "Callers.h"
#include "FaultSchedule.h"

#include <cstdio>
#include <filesystem>
#include <gflags/gflags.h>
#include <random>
#include <unistd.h>

DEFINE_uint64(seed, 0, "seed of the faults and of the load; 0 draws one");
DEFINE_int32(seconds, 30, "time with faults, 5 to 3600; about 25 seconds are added at start and end");
DEFINE_uint32(hosts, 5, "hosts, 2 to 50");
DEFINE_string(mix, "all",
    "faults: all, planned (stops, reloads, drains and changes of the configuration only), or restarts (hosts end in "
    "series and are back at once)");
DEFINE_string(node, "build/bin/sequoia-node", "the program of the hosts");
DEFINE_string(directory, "", "folder for settings and logs; a temporary one by default, removed after a clean run");

namespace {

using namespace sequoia;

// From the start of all hosts to the first fault.
constexpr Duration warmupTime = std::chrono::seconds(4);
// The users' bound until requests are served again after the loss of all hosts.
constexpr Duration recoveryTime = std::chrono::seconds(15);
constexpr Duration measuredTime = std::chrono::seconds(4);
constexpr Duration stopLimit = std::chrono::seconds(8);
// Part of the requests that is served when nothing is wrong any more; the backend servers have room for all.
constexpr double leastServed = 0.95;

soak::FleetOptions makeFleetOptions(std::uint64_t seed, soak::FaultMix mix, std::string folder)
{
    soak::FleetOptions options;
    options.node = FLAGS_node;
    options.directory = std::move(folder);
    options.seed = seed;
    options.hosts = FLAGS_hosts;
    options.subnet = static_cast<unsigned>(10 + getpid() % 200);
    if (mix == soak::FaultMix::Restarts) {
        options.shortestRestartPause = std::chrono::milliseconds(20);
        options.longestRestartPause = std::chrono::milliseconds(300);
    }
    return options;
}

//! One run from its start to its verdict.
class Run {
public:
    Run(std::uint64_t chosenSeed, soak::FaultMix mix, std::string folder)
        : seed(chosenSeed)
        , fleet(this->reactor, makeFleetOptions(chosenSeed, mix, std::move(folder)), this->oracle,
              [this](const auto& promise, const auto& details) { this->violated(promise, details); })
        , callers(
              this->reactor, this->fleet, this->oracle,
              [this](const auto& promise, const auto& details) { this->violated(promise, details); }, chosenSeed + 1)
        , schedule(this->reactor, this->fleet, this->oracle, chosenSeed + 2, mix,
              [this](const std::string& line) { this->print(line); })
    {
        if (mix == soak::FaultMix::Planned)
            this->callers.requireAnswers();
    }

    int execute()
    {
        auto started = this->fleet.start();
        if (!succeeded(started)) {
            std::fprintf(stderr, "%s\n", errorOf(started).toString().c_str());
            return 1;
        }
        this->pass(warmupTime);
        this->callers.start();
        this->pass(std::chrono::seconds(1));
        this->schedule.start();
        this->pass(std::chrono::seconds(FLAGS_seconds));
        this->schedule.stop();
        this->print("event=quiet");
        this->pass(recoveryTime);
        this->callers.resetCounts();
        this->pass(measuredTime);
        this->callers.stop();
        this->pass(std::chrono::milliseconds(3200));
        auto served = static_cast<double>(this->callers.served());
        auto total = static_cast<double>(this->callers.total());
        if (total == 0 || served < leastServed * total)
            this->violated("recovery",
                "served=" + std::to_string(this->callers.served()) + " of=" + std::to_string(this->callers.total()));
        this->fleet.stopAll();
        auto limit = this->clock.now() + stopLimit;
        while (!this->fleet.allEnded() && this->clock.now() < limit)
            this->pass(std::chrono::milliseconds(50));
        if (!this->fleet.allEnded())
            this->violated("stop", "reason=\"a host did not end within its grace time\"");
        std::printf("soak seed=%llu mix=%s hosts=%u faults=%zu runs=%zu served=%.3f violations=%zu\n",
            static_cast<unsigned long long>(this->seed), FLAGS_mix.c_str(), FLAGS_hosts, this->schedule.count(),
            this->oracle.runs(), total > 0 ? served / total : 0, this->violations);
        return this->violations == 0 ? 0 : 1;
    }

private:
    void pass(Duration time)
    {
        bool over = false;
        this->reactor.scheduleAfter(time, [&over] { over = true; });
        while (!over)
            g_main_context_iteration(g_main_context_default(), TRUE);
    }

    void print(const std::string& line)
    {
        std::printf("time_ms=%lld %s\n", static_cast<long long>(this->clock.wallNow()), line.c_str());
    }

    void violated(const std::string& promise, const std::string& details)
    {
        ++this->violations;
        this->print("event=violation promise=" + promise + " " + details);
    }

    std::uint64_t seed;
    SystemClock clock;
    net::Reactor reactor { g_main_context_default(), this->clock };
    std::size_t violations = 0;
    soak::Oracle oracle { this->clock,
        [this](const auto& promise, const auto& details) { this->violated(promise, details); } };
    soak::Fleet fleet;
    soak::Callers callers;
    soak::FaultSchedule schedule;
};

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("plays random faults on real sequoia-node processes and checks the promises");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto mix = valueNamed(soak::faultMixNames, FLAGS_mix);
    if (!mix || FLAGS_seconds < 5 || FLAGS_seconds > 3600 || FLAGS_hosts < 2 || FLAGS_hosts > 50) {
        std::fprintf(stderr, "--seconds is 5 to 3600, --hosts 2 to 50, --mix all, planned or restarts\n");
        return 2;
    }
    setvbuf(stdout, nullptr, _IOLBF, 0);
    auto seed = FLAGS_seed != 0 ? FLAGS_seed : std::random_device()();
    bool temporary = FLAGS_directory.empty();
    auto folder = temporary ? std::filesystem::temp_directory_path() / ("sequoia-soak-" + std::to_string(getpid()))
                            : std::filesystem::path(FLAGS_directory);
    std::filesystem::create_directories(folder);
    int code = Run(seed, *mix, folder.string()).execute();
    if (code == 0 && temporary)
        std::filesystem::remove_all(folder);
    else
        std::printf("the hosts' logs are in %s\n", folder.c_str());
    return code;
}
