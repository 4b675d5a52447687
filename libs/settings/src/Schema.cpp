#include "settings/Schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace sequoia::settings {

namespace {

constexpr double millisecond = 1e3;
constexpr double second = 1e6;
constexpr double minute = 60 * second;
// Longer durations are mistakes, and sums of them would overflow.
constexpr double tenYears = 10 * 365 * 24 * 60 * minute;
constexpr double kibibyte = 1024;
constexpr double mebibyte = 1024 * kibibyte;
constexpr double unbounded = std::numeric_limits<double>::max();

using enum SettingType;
using enum FigurePresence;

constexpr auto specs = std::to_array<SettingSpec>({
    { "host", "id", Text, "", 0, 0, "name of this host in the platform's host list" },
    { "host", "data_centre", Text, "", 0, 0, "data centre of this host" },
    { "host", "region", Text, "", 0, 0, "region of this host" },
    { "platform", "address", Address, "127.0.0.1:7000", 0, 0, "HTTP address of the platform's services" },
    { "platform", "timeout", Duration, "1s", 10 * millisecond, minute, "time limit of one call to the platform" },
    { "platform", "poll_interval", Duration, "1s", 50 * millisecond, minute, "time between reads of the host list" },
    { "platform_standin", "listen", Address, "127.0.0.1:7000", 0, 0, "HTTP address of the stand-in for the platform" },
    { "platform_standin", "host_list_lag", Duration, "500ms", 0, 10 * minute,
        "time until a change of the host list becomes visible" },
    { "platform_standin", "seed", Number, "0", 0, 2147483647,
        "seed of the random faults; 0 takes one from the operating system" },
    { "router", "listen", Address, "127.0.0.1:8080", 0, 0, "address for callers' HTTP" },
    { "router", "control_listen", Address, "127.0.0.1:8081", 0, 0, "gRPC address for diagnostics" },
    { "router", "workers", Number, "2", 1, 64, "worker threads, each with its own connections" },
    { "router", "controllers", List, "127.0.0.1:8091", 0, 0,
        "gRPC addresses of controllers to fetch routes from; the first is the one of this host" },
    { "router", "default_deadline", Duration, "5s", millisecond, 10 * minute, "deadline of requests that name none" },
    { "router", "attempt_timeout", Duration, "2s", millisecond, 10 * minute,
        "time limit of one attempt of a repeatable request" },
    { "router", "retry_budget", Real, "0.1", 0, 1, "retries allowed per request received, averaged" },
    { "router", "queue_limit", Number, "256", 0, 100000, "requests that may wait for a slot of one backend server" },
    { "router", "route_validity", Duration, "3s", 100 * millisecond, minute,
        "time that routes may be used for servers that do not check orders" },
    { "router", "shutdown_limit", Duration, "10min", second, 60 * minute,
        "time after which a graceful stop reports the requests that it still waits for" },
    { "controller", "listen", Address, "127.0.0.1:8091", 0, 0, "gRPC address of this controller" },
    { "controller", "peers", List, "", 0, 0, "gRPC addresses of other controllers, used until the host list is read" },
    { "ownership", "controller_lease", Duration, "800ms", 50 * millisecond, minute, "length of a controller's lease" },
    { "ownership", "controller_renew", Duration, "200ms", 10 * millisecond, minute,
        "time between renewals of a controller's lease" },
    { "ownership", "server_lease", Duration, "2s", 100 * millisecond, minute, "length of a backend server's lease" },
    { "ownership", "server_renew", Duration, "400ms", 10 * millisecond, minute,
        "time between grants to a backend server" },
    { "ownership", "clock_rate_bound", Real, "0.001", 0, 0.1, "largest relative difference of two hosts' clock rates" },
    { "ownership", "witnesses", Number, "5", 1, 15, "witnesses of a partition" },
    { "ownership", "slices_per_server", Number, "16", 1, 1024, "slices that a backend server starts with" },
    { "ownership", "leave_bound", Duration, "3s", 100 * millisecond, minute,
        "time after which a leaving backend server receives no new requests" },
    { "placement", "weight_imbalance", Real, "1", 0, 1000, "weight of imbalance in the placement objective" },
    { "placement", "weight_churn", Real, "1", 0, 1000, "weight of churn in the placement objective" },
    { "placement", "weight_unavailable", Real, "1", 0, 1000, "weight of unavailable time in the placement objective" },
    { "placement", "interval", Duration, "10s", 100 * millisecond, 60 * minute, "time between placement decisions" },
    { "placement", "move_budget", Number, "4", 0, 10000, "slices that one placement decision may move" },
    { "placement", "hysteresis", Real, "0.1", 0, 10, "least relative gain of the objective that justifies a move" },
    { "placement", "band_start", Real, "1.08", 1, 10, "imbalance (maximum over mean) above which moves start" },
    { "placement", "band_end", Real, "1.04", 1, 10, "imbalance below which moves end" },
    { "placement", "ramp", Duration, "60s", 0, 60 * minute,
        "time over which a returned server gets its full share; four times as long after each recent loss" },
    { "config", "contact_bound", Duration, "10s", second, 10 * minute,
        "time without contact to platform and peers after which a host takes no new requests" },
    { "edge", "listen", Address, "127.0.0.1:8180", 0, 0, "address for callers' HTTP of sequoia-node" },
    { "edge", "ready_listen", Address, "127.0.0.1:8181", 0, 0, "address at which the platform asks for readiness" },
    { "edge", "grace", Duration, "6s", 0, tenYears, "time from SIGTERM until the process is killed", Optional },
    { "metrics", "listen", Address, "127.0.0.1:9464", 0, 0, "address of the metrics page of sequoia-node" },
    { "peers", "listen", Address, "127.0.0.1:8190", 0, 0, "UDP address for messages between hosts" },
    { "store", "address", Address, "127.0.0.1:7100", 0, 0, "HTTP address of the platform's store" },
    { "store", "call_timeout", Duration, "1200ms", 10 * millisecond, minute, "time limit of one call to the store" },
    { "node", "processor_share", Real, "1", 1e-6, 1e6, "processor cores that this host has", Optional },
    { "node", "link_megabits", Real, "100", 1e-3, 1e9, "bandwidth of this host's network link in Mbit/s", Optional },
    { "node", "memory_megabytes", Real, "0", 0, 1e9,
        "memory of this host in MB, from which the ceiling for callers follows; 0: no ceiling", Optional },
    { "node", "descriptors", Real, "0", 0, 1e9,
        "file descriptors of this host, from which the limit of callers' connections follows; 0: no limit", Optional },
    { "grants", "longest_hold", Duration, "10s", 1, tenYears, "longest time for which backend servers take a grant",
        Optional },
    { "repeats", "ratio", Real, "0.2", 0, 1e6, "repeated requests allowed per request", Optional },
    { "repeats", "slack", Real, "60", 0, 1e12, "repeated requests allowed besides, per window", Optional },
    { "repeats", "window", Duration, "10s", 1, tenYears, "window in which repeated requests are counted", Optional },
    { "evacuation", "bound", Duration, "0s", 0, tenYears,
        "time within which the servers of an evacuated data centre get no more requests; 0: evacuations are not used",
        Optional },
    { "servers", "drain_bound", Duration, "2s", 1, tenYears,
        "time within which a leaving backend server gets no more requests", Optional },
    { "cold_servers", "rate_factor", Real, "0", 0, 1e6,
        "a cold server may get this many times the rate of requests that its service states; 0: not limited",
        Optional },
    { "cold_servers", "slack", Real, "0", 0, 1e9, "requests that a cold server may get besides in any second",
        Optional },
    { "log", "level", Text, "info", 0, 0, "least severity of log lines: debug, info, warn or error" },
    { "log", "event_buffer", Number, "4096", 16, 1000000, "events kept in memory for the time line" },
    { "server_standin", "listen", Address, "127.0.0.1:8100", 0, 0, "HTTP address of the backend server stand-in" },
    { "server_standin", "service", Text, "", 0, 0, "service that the stand-in registers for" },
    { "server_standin", "checks_orders", Flag, "true", 0, 0, "whether it refuses grants of a stale controller" },
    { "server_standin", "serve_without_grant", Flag, "false", 0, 0, "serves all keys at any time, for baselines" },
    { "server_standin", "register", Flag, "false", 0, 0, "registers itself at the platform stand-in" },
    { "server_standin", "leave_wait", Duration, "5s", 0, 10 * minute,
        "longest wait for a grant without slices after SIGTERM, before requests are refused" },
    { "server_standin", "journal", Text, "", 0, 0, "file to which each executed write is appended" },
    { "server_standin", "seed", Number, "1", 0, unbounded, "seed of service times and random faults" },
    { "server_standin", "slots", Number, "2", 1, 10000, "requests run at once" },
    { "server_standin", "queue", Number, "16", 0, 100000, "requests that may wait for a slot" },
    { "server_standin", "service_time", Duration, "2ms", 0, minute, "time that a request takes" },
    { "server_standin", "spread", Real, "0", 0, 1, "relative variation of the service time in both directions" },
    { "server_standin", "speed", Real, "1", 0.001, 1000, "relative speed; divides the service time" },
    { "server_standin", "connections", Number, "55", 1, 100000, "connections accepted" },
    { "server_standin", "connection_cost", Duration, "0ms", 0, minute, "delay before a new connection is served" },
    { "server_standin", "cold_requests", Number, "0", 0, 1000000, "requests after the start that are slower" },
    { "server_standin", "cold_time", Duration, "0ms", 0, 10 * minute, "time after the start when requests are slower" },
    { "server_standin", "cold_factor", Real, "1", 1, 1000, "factor of the service time while cold" },
    { "server_standin", "cancel_on_close", Flag, "true", 0, 0, "stops a request when the caller's connection closes" },
    { "server_standin", "obey_deadline", Flag, "true", 0, 0, "stops a request when its deadline passes" },
    { "server_standin", "poison", Text, "", 0, 0, "a path or body that contains this text crashes the process" },
    { "server_standin", "health_lag", Duration, "0ms", 0, 10 * minute, "age of the health report" },
    { "server_standin", "misleading_health", Flag, "false", 0, 0, "reports a healthy server without load" },
    { "service", "kind", Text, "keyed", 0, 0, "keyed, or upload for large bodies" },
    { "service", "instances", Number, "1", 1, 100000, "backend servers that the deployment runs" },
    { "service", "slots", Number, "2", 1, 10000, "requests that a backend server runs at once" },
    { "service", "connections", Number, "55", 1, 100000, "connections that a backend server accepts" },
    { "service", "connections_per_router", Number, "4", 1, 10000, "connections of one router to one backend server" },
    { "service", "max_body", Size, "64MiB", 1, unbounded, "largest request body" },
});

std::string_view schemaSection(std::string_view section)
{
    constexpr std::string_view servicePrefix = "service ";
    if (section.starts_with(servicePrefix) && section.size() > servicePrefix.size())
        return "service";
    return section == "service" ? std::string_view() : section;
}

struct Unit {
    std::string_view name;
    double factor;
};

constexpr std::array<Unit, 4> durationUnits { { { "us", 1 }, { "ms", millisecond }, { "s", second },
    { "min", minute } } };
constexpr std::array<Unit, 3> sizeUnits { { { "B", 1 }, { "KiB", kibibyte }, { "MiB", mebibyte } } };

enum class Amount { Whole, Decimal };

Result<double> parseWithUnit(
    std::span<const Unit> units, Amount kind, const std::string& value, const std::string& remedy)
{
    double amount = 0;
    auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), amount);
    std::string_view unit(end, value.data() + value.size() - end);
    if (status != std::errc() || !std::isfinite(amount) || (kind == Amount::Whole && amount != std::floor(amount)))
        return Error { ErrorKind::InvalidSettings, "\"" + value + "\" has no valid amount", remedy };
    for (const auto& candidate : units) {
        if (candidate.name == unit)
            return amount * candidate.factor;
    }
    return Error { ErrorKind::InvalidSettings, "\"" + value + "\" has no valid unit", remedy };
}

Result<double> parsePlain(const std::string& value, bool whole)
{
    double number = 0;
    auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (status != std::errc() || end != value.data() + value.size() || !std::isfinite(number)
        || (whole && number != std::floor(number)))
        return Error { ErrorKind::InvalidSettings, "\"" + value + "\" is not a number",
            whole ? "write a whole number without a unit" : "write a decimal number without a unit" };
    return number;
}

Result<Success> checkAddress(const std::string& value)
{
    auto colon = value.rfind(':');
    unsigned port = 0;
    bool valid = colon != std::string::npos && colon > 0;
    if (valid) {
        const char* first = value.data() + colon + 1;
        const char* last = value.data() + value.size();
        auto [end, status] = std::from_chars(first, last, port);
        valid = status == std::errc() && end == last && port <= 65535;
        valid = valid && value.find_first_not_of("0123456789.abcdefABCDEF:[]") == std::string::npos;
    }
    if (!valid)
        return Error { ErrorKind::InvalidSettings, "\"" + value + "\" is not an address",
            "write IP:port, for example 127.0.0.1:8080" };
    return Success {};
}

std::string rangeText(const SettingSpec& spec)
{
    auto plain = [](double number) {
        std::array<char, 32> buffer {};
        auto [end, status] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
        return status == std::errc() ? std::string(buffer.data(), end) : std::string("?");
    };
    std::string unit;
    double factor = 1;
    if (spec.type == Duration) {
        unit = "ms";
        factor = millisecond;
    } else if (spec.type == Size)
        unit = "B";
    if (spec.maximum == unbounded)
        return "at least " + plain(spec.minimum / factor) + unit;
    return "from " + plain(spec.minimum / factor) + unit + " to " + plain(spec.maximum / factor) + unit;
}

Result<Success> checkRange(const SettingSpec& spec, const std::string& value, const Result<double>& parsed)
{
    if (!succeeded(parsed))
        return errorOf(parsed);
    double amount = valueOf(parsed);
    if (amount < spec.minimum || amount > spec.maximum)
        return Error { ErrorKind::InvalidSettings, "\"" + value + "\" is out of range",
            "write a value " + rangeText(spec) };
    return Success {};
}

}

std::span<const SettingSpec> schema()
{
    return specs;
}

const SettingSpec* findSetting(std::string_view section, std::string_view key)
{
    auto declared = schemaSection(section);
    for (const auto& spec : specs) {
        if (spec.section == declared && spec.key == key)
            return &spec;
    }
    return nullptr;
}

bool isDeclaredSection(std::string_view section)
{
    auto declared = schemaSection(section);
    for (const auto& spec : specs) {
        if (spec.section == declared)
            return true;
    }
    return false;
}

Result<double> parseQuantity(SettingType type, const std::string& value)
{
    if (type == Duration)
        return parseWithUnit(durationUnits, Amount::Decimal, value,
            "write a number with the unit us, ms, s or min, for example 800ms or 6.5s");
    if (type == Size)
        return parseWithUnit(
            sizeUnits, Amount::Whole, value, "write a whole number with the unit B, KiB or MiB, for example 64MiB");
    return parsePlain(value, type == Number);
}

bool lacksFigure(const SettingSpec& spec, std::string_view value)
{
    if (spec.presence == Required)
        return false;
    // A placeholder of the template that was not filled says as little as an empty value.
    auto isAbsent = [](std::string_view text) {
        bool isPlaceholder = text.starts_with("{{") && text.ends_with("}}");
        return text.empty() || text == "true" || text == "false" || isPlaceholder;
    };
    if (isAbsent(value))
        return true;
    return spec.type == Duration && std::any_of(durationUnits.begin(), durationUnits.end(), [&](const Unit& unit) {
        return value.ends_with(unit.name) && isAbsent(value.substr(0, value.size() - unit.name.size()));
    });
}

Result<Success> checkValue(const SettingSpec& spec, const std::string& value)
{
    if (lacksFigure(spec, value))
        return Success {};
    switch (spec.type) {
    case Text:
    case List:
        return Success {};
    case Address:
        return checkAddress(value);
    case Flag:
        if (value == "true" || value == "false")
            return Success {};
        return Error { ErrorKind::InvalidSettings, "\"" + value + "\" is not a flag", "write true or false" };
    case Number:
    case Real:
    case Duration:
    case Size:
        return checkRange(spec, value, parseQuantity(spec.type, value));
    }
    return Error { ErrorKind::Internal, "setting of unknown type", "report this" };
}

}
