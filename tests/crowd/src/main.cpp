#include "Crowds.h"
#include "HostProcess.h"
#include "ProcessFigures.h"
#include "client/HttpClient.h"
#include "platform_adapter/ProtocolNames.h"
#include "platform_standin/ConfigurationEncoder.h"
#include "platform_standin/ServerStandIn.h"
#include "platform_standin/StoreStandIn.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <sys/resource.h>
#include <unistd.h>

DEFINE_string(kind, "head", "what the callers send: see Crowds.cpp");
DEFINE_string(node, "build/bin/sequoia-node", "the program of the host");

namespace {

using namespace sequoia;
using std::chrono::milliseconds;

// Limits of the host, in its settings, and what the process may use of them.
constexpr std::size_t hostMegabytes = 64;
constexpr std::size_t hostDescriptors = 256;
constexpr std::size_t maxKilobytes = hostMegabytes * 1024;
constexpr std::size_t maxDescriptors = 230;
// A process that uses more is ended, to protect the machine.
constexpr std::size_t endKilobytes = std::size_t { 600 } * 1024;
constexpr Duration crowdTime = std::chrono::seconds(6);
constexpr Duration checkInterval = milliseconds(5);
// Time limits of the whole test, for a process that hangs.
constexpr int maxReadinessChecks = 200;
constexpr int maxRequests = 10;

class SilentObserver final : public platform_standin::ServerObserver {
    void onRequestStarted(const platform_standin::ServerStandIn&, const platform_standin::ReceivedRequest&) override { }
    void onKeysGranted(const platform_standin::ServerStandIn&, fleet::KeyRange, fleet::FencingToken) override { }
};

//! One host with a crowd of callers.
class Run {
public:
    explicit Run(std::string folder)
        : directory(std::move(folder))
        , process(FLAGS_node, this->directory + "/host.ini", this->directory + "/host",
              [this](soak::HostProcess&, soak::ProcessEnd end) {
                  this->require(this->stopping, "the process ended, code " + std::to_string(end.code));
              })
    {
    }

    bool execute()
    {
        this->startPlatform();
        if (!this->startHost())
            return false;
        this->playCrowd();
        // The crowd keeps its connections open, but sends nothing more.
        this->require(this->answersRequest(), "an ordinary request is answered");
        this->require(this->process.isRunning(), "the process lives");
        this->require(this->peakKilobytes <= maxKilobytes, "memory stays below the host's");
        this->require(this->peakDescriptors <= maxDescriptors, "descriptors stay below the host's");
        std::printf(
            "crowd kind=%s peak_kilobytes=%zu limit=%zu peak_descriptors=%zu limit=%zu answered=%d failures=%u\n",
            FLAGS_kind.c_str(), this->peakKilobytes, maxKilobytes, this->peakDescriptors, maxDescriptors,
            this->lastStatus, this->failures);
        this->stopping = true;
        return this->failures == 0;
    }

private:
    void require(bool condition, const std::string& what)
    {
        if (condition)
            return;
        ++this->failures;
        std::printf("FAILED: %s\n", what.c_str());
    }

    void pass(Duration time)
    {
        bool over = false;
        this->reactor.scheduleAfter(time, [&over] { over = true; });
        while (!over)
            g_main_context_iteration(g_main_context_default(), TRUE);
    }

    void startPlatform()
    {
        auto any = valueOf(net::SocketAddress::parse("127.0.0.1:0"));
        this->require(succeeded(this->rows.listen(any)), "the store listens");
        using Kind = fleet::RequestKind;
        fleet::Route read { "read", crowd::routeHost, "/read/", Kind::Idempotent, milliseconds(6000), milliseconds(600),
            0, 2, { { "plain", 1 } } };
        fleet::Route upload { "upload", crowd::routeHost, "/upload/", Kind::Upload, milliseconds(10'000),
            milliseconds(3000), 2, 2, { { "plain", 1 } } };
        this->rows.put(std::string(platform_adapter::operatorTable), std::string(platform_adapter::configurationKey),
            platform_standin::encodeConfiguration(1, { read, upload }, { { "plain", 100, false, {} } }));
        for (unsigned i = 0; i < 2; ++i) {
            platform_standin::ServerOptions options;
            options.id = "plain-" + std::to_string(i);
            options.service = "plain";
            options.dataCentre = "dc-0";
            options.meanServiceTime = milliseconds(200);
            auto server
                = std::make_unique<platform_standin::ServerStandIn>(this->reactor, options, i + 1, this->observer);
            this->require(succeeded(server->listen(any)), "the backend server listens");
            this->servers.push_back(std::move(server));
        }
        this->renewEntries();
    }

    void renewEntries()
    {
        for (auto& server : this->servers)
            this->rows.put(std::string(platform_adapter::serverTable), server->options().id,
                server->makeEntry(server->address(), fleet::ServerState::Ready));
        this->reactor.scheduleAfter(milliseconds(870), [this] { this->renewEntries(); });
    }

    bool startHost()
    {
        auto subnet = "127." + std::to_string(10 + getpid() % 200) + ".7.1:";
        this->address = subnet + "7001";
        std::ofstream(this->directory + "/host.ini")
            << "[host]\nid=host-0\ndata_centre=dc-0\n[node]\nmemory_megabytes=" << hostMegabytes
            << "\ndescriptors=" << hostDescriptors << "\n[metrics]\nlisten=" << subnet
            << "7003\n[peers]\nlisten=" << subnet << "7004\n[store]\naddress=" << this->rows.address()
            << "\n[edge]\nlisten=" << this->address << "\nready_listen=" << subnet << "7002\n";
        rlimit own {};
        getrlimit(RLIMIT_NOFILE, &own);
        rlimit host { hostDescriptors, own.rlim_max };
        setrlimit(RLIMIT_NOFILE, &host);
        auto started = this->process.start();
        setrlimit(RLIMIT_NOFILE, &own);
        this->require(succeeded(started), "the process starts");
        for (int i = 0; i < maxReadinessChecks && this->failures == 0; ++i) {
            if (this->get(subnet + "7002", std::string(platform_adapter::readinessPath)) == 200)
                return true;
            this->pass(milliseconds(100));
        }
        this->require(false, "the host becomes ready");
        return false;
    }

    //! Returns the status of the response, 0 without one.
    int get(const std::string& target, const std::string& path)
    {
        client::HttpRequest call { "GET", path, "", "", {} };
        call.headers.add("Host", crowd::routeHost);
        call.headers.add(platform_adapter::headerNames().requestId, "ordinary");
        call.onNewConnection = true;
        std::optional<int> status;
        this->calls.send(target, call, std::chrono::seconds(5), [&status](const Result<client::HttpResponse>& result) {
            status = succeeded(result) ? static_cast<int>(valueOf(result).status) : 0;
        });
        while (!status) {
            this->measure();
            this->pass(checkInterval);
        }
        return *status;
    }

    bool answersRequest()
    {
        for (int i = 0; i < maxRequests && this->process.isRunning(); ++i) {
            this->lastStatus = this->get(this->address, "/read/1");
            if (this->lastStatus == 200)
                return true;
            this->pass(milliseconds(500));
        }
        return false;
    }

    void measure()
    {
        if (!this->process.isRunning())
            return;
        auto figures = crowd::ProcessFigures::read(this->process.identifier());
        this->peakKilobytes = std::max(this->peakKilobytes, figures.peakKilobytes);
        this->peakDescriptors = std::max(this->peakDescriptors, figures.descriptors);
        if (figures.residentKilobytes > endKilobytes)
            this->process.signal(SIGKILL);
    }

    void playCrowd()
    {
        auto target = valueOf(net::SocketAddress::parse(this->address));
        for (std::size_t i = 0; i < this->crowd.callers; ++i)
            this->callers.push_back(std::make_unique<crowd::CrowdCaller>(
                this->reactor, target, this->crowd.variants[i % this->crowd.variants.size()]));
        auto end = this->clock.now() + crowdTime;
        while (this->clock.now() < end && this->process.isRunning()) {
            for (auto& caller : this->callers)
                caller->sendMore();
            this->measure();
            this->pass(checkInterval);
        }
    }

    std::string directory;
    SystemClock clock;
    net::Reactor reactor { g_main_context_default(), this->clock };
    platform_standin::StoreStandIn rows { this->reactor, 1 };
    SilentObserver observer;
    std::vector<std::unique_ptr<platform_standin::ServerStandIn>> servers;
    client::HttpClient calls { this->reactor, std::chrono::seconds(1) };
    std::string address;
    crowd::Crowd crowd = crowd::crowdOfKind(FLAGS_kind);
    std::vector<std::unique_ptr<crowd::CrowdCaller>> callers;
    bool stopping = false;
    unsigned failures = 0;
    int lastStatus = 0;
    std::size_t peakKilobytes = 0;
    std::size_t peakDescriptors = 0;
    soak::HostProcess process;
};

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("plays a crowd of uncontrolled callers on a sequoia-node process and checks its memory");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setvbuf(stdout, nullptr, _IOLBF, 0);
    if (crowd::crowdOfKind(FLAGS_kind).callers == 0) {
        std::fprintf(stderr, "unknown --kind; Crowds.cpp lists them\n");
        return 2;
    }
    auto folder = std::filesystem::temp_directory_path() / ("sequoia-crowd-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    bool passed = Run(folder.string()).execute();
    if (passed)
        std::filesystem::remove_all(folder);
    else
        std::printf("the log of the host is in %s\n", folder.c_str());
    return passed ? 0 : 1;
}
