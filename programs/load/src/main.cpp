#include "core/Random.h"
#include "runtime/Program.h"
#include "standin/LoadRunner.h"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <google/protobuf/util/json_util.h>
#include <iostream>
#include <sstream>

DEFINE_string(targets, "", "router addresses, IP:port separated by commas, used in turn");
DEFINE_string(direct, "", "backend servers to use without a router, address or service=address, separated by commas");
DEFINE_bool(direct_grants, true, "send grants to the servers of --direct; else they must serve without a grant");
DEFINE_uint32(direct_lease_ms, 2000, "lease of the grants to the servers of --direct");
DEFINE_string(services, "default", "services, separated by commas; each request takes one at random");
DEFINE_uint64(keys, 1000, "keys per service");
DEFINE_double(zipf, 1.0, "exponent of the Zipf distribution of keys; 0 for equally frequent keys");
DEFINE_double(hot_key_change, 0, "seconds after which other keys become the hot ones; 0 for never");
DEFINE_double(rate, 100, "requests per second, with Poisson arrivals");
DEFINE_double(seconds, 10, "length of the run");
DEFINE_double(write_fraction, 0.2, "share of requests that are writes");
DEFINE_uint64(upload_bytes, 1024, "length of the body of a write");
DEFINE_uint64(read_bytes, 1024, "length of the response to a read");
DEFINE_uint32(deadline_ms, 5000, "deadline of each request, 1 to 600000");
DEFINE_uint32(tenants, 1, "number of tenants; each request takes one at random");
DEFINE_uint64(seed, 1, "seed of arrivals and keys");
DEFINE_uint32(concurrency, 256, "requests in progress at once; further arrivals are counted and not sent");
DEFINE_string(journals, "", "journals of the servers, separated by commas, to check for repeated executions");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(resend_unknown, false, "send a request with unknown outcome once more");

using namespace sequoia;
using namespace sequoia::standin;

namespace {

constexpr double microsPerSecond = 1e6;
constexpr std::uint64_t maxBody = std::uint64_t(1) << 30;
constexpr std::uint32_t maxDeadlineMs = 600'000;
constexpr std::uint32_t maxConcurrency = 10'000;
constexpr std::uint32_t minLeaseMs = 100;

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(std::clamp(seconds, -1.0, 1e6) * microsPerSecond));
}

Error flagError(const std::string& flag, const std::string& remedy)
{
    return { ErrorKind::InvalidArgument, "--" + flag + " is not valid", remedy };
}

Result<Success> checkFlags()
{
    if (FLAGS_targets.empty() == FLAGS_direct.empty())
        return flagError("targets", "give either --targets or --direct");
    if (FLAGS_upload_bytes > maxBody)
        return flagError("upload_bytes", "give at most 1073741824");
    if (FLAGS_read_bytes > maxBody)
        return flagError("read_bytes", "give at most 1073741824");
    if (FLAGS_deadline_ms < 1 || FLAGS_deadline_ms > maxDeadlineMs)
        return flagError("deadline_ms", "give 1 to 600000");
    if (FLAGS_concurrency < 1 || FLAGS_concurrency > maxConcurrency)
        return flagError("concurrency", "give 1 to 10000");
    if (FLAGS_direct_lease_ms < minLeaseMs)
        return flagError("direct_lease_ms", "give at least 100");
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return flagError("output", "give text or json");
    return Success {};
}

Result<Success> checkServers(const LoadOptions& options)
{
    for (const auto& target : options.targets) {
        auto checked = checkLoopback(target);
        if (!succeeded(checked))
            return checked;
    }
    if (options.targets.empty() && options.direct.empty())
        return flagError("targets", "give at least one address");
    for (const auto& service : options.workload.services) {
        bool served = options.direct.empty()
            || std::any_of(options.direct.begin(), options.direct.end(),
                [&](const DirectServer& server) { return server.service.empty() || server.service == service; });
        if (!served)
            return flagError("direct", "name a server for the service \"" + service + "\"");
    }
    return Success {};
}

Result<LoadOptions> optionsFromFlags()
{
    auto checked = checkFlags();
    if (!succeeded(checked))
        return errorOf(checked);
    LoadOptions options;
    options.targets = splitList(FLAGS_targets);
    auto direct = parseDirect(FLAGS_direct);
    if (!succeeded(direct))
        return errorOf(direct);
    options.direct = valueOf(direct);
    options.sendGrants = FLAGS_direct_grants;
    options.grantLease = fromMillis(FLAGS_direct_lease_ms);
    options.workload.services = splitList(FLAGS_services);
    options.workload.keys = FLAGS_keys;
    options.workload.zipf = FLAGS_zipf;
    options.workload.hotKeyChange = fromSeconds(FLAGS_hot_key_change);
    options.workload.rate = FLAGS_rate;
    options.workload.length = fromSeconds(FLAGS_seconds);
    options.workload.writeFraction = FLAGS_write_fraction;
    options.workload.tenants = FLAGS_tenants;
    options.workload.seed = FLAGS_seed;
    options.uploadBytes = FLAGS_upload_bytes;
    options.readBytes = FLAGS_read_bytes;
    options.deadlineMs = FLAGS_deadline_ms;
    options.concurrency = FLAGS_concurrency;
    options.resendUnknown = FLAGS_resend_unknown;
    // The idempotency keys of two runs with the same seed must differ.
    auto engine = systemSeededEngine();
    options.runId = randomId(engine);
    auto workload = checkWorkload(options.workload);
    if (!succeeded(workload))
        return errorOf(workload);
    auto servers = checkServers(options);
    if (!succeeded(servers))
        return errorOf(servers);
    return options;
}

Result<JournalCheck> readJournals()
{
    JournalCheck check;
    for (const auto& path : splitList(FLAGS_journals)) {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return Error { ErrorKind::NotFound, "journal \"" + path + "\" cannot be read",
                "give the files of server_standin.journal" };
        std::ostringstream text;
        text << file.rdbuf();
        check.addJournal(text.str());
    }
    return check;
}

void print(const wire::LoadReport& report)
{
    if (FLAGS_output == "json") {
        google::protobuf::util::JsonPrintOptions printing;
        printing.always_print_primitive_fields = true;
        std::string text;
        [[maybe_unused]] auto status = google::protobuf::util::MessageToJsonString(report, &text, printing);
        std::cout << text << '\n';
    } else
        std::cout << formatReport(report);
    std::cout << formatSummaryLine(report) << std::endl;
}

int fail(const Error& error, runtime::ExitCode code)
{
    std::cerr << "sequoia-load: " << error.toString() << '\n';
    return runtime::toInt(code);
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Sends load to routers or backend servers on this machine and checks every response. "
                            "Exits with 0 only when no response was wrong, no write ran twice, and no write ran that "
                            "was reported as not run.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1)
        return fail(flagError(argv[1], "see --help"), runtime::ExitCode::InvalidArguments);
    auto options = optionsFromFlags();
    if (!succeeded(options))
        return fail(errorOf(options), runtime::ExitCode::InvalidArguments);
    SystemClock clock;
    LoadRunner runner(std::move(valueOf(options)), clock);
    auto done = runner.run();
    if (!succeeded(done))
        return fail(errorOf(done), runtime::ExitCode::Unreachable);
    auto journals = readJournals();
    if (!succeeded(journals))
        return fail(errorOf(journals), runtime::ExitCode::Failure);
    auto report = runner.report(valueOf(journals));
    print(report);
    return runtime::toInt(isClean(report) ? runtime::ExitCode::Success : runtime::ExitCode::Failure);
}
