#include "standin/Workload.h"

#include <cmath>
#include <xxhash.h>

namespace sequoia::standin {

namespace {

// The table of key frequencies takes 16 bytes per key.
constexpr std::uint64_t maxKeys = 10'000'000;
constexpr double maxRequests = 50'000'000;

std::discrete_distribution<std::uint64_t> zipfRanks(std::uint64_t keys, double exponent)
{
    std::vector<double> weights(keys);
    for (std::uint64_t index = 0; index < keys; ++index)
        weights[index] = std::pow(static_cast<double>(index + 1), -exponent);
    return { weights.begin(), weights.end() };
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Error flagError(const std::string& flag, const std::string& range)
{
    return { ErrorKind::InvalidArgument, "--" + flag + " is out of range", "give a value " + range };
}

}

Result<Success> checkWorkload(const WorkloadOptions& options)
{
    if (options.services.empty())
        return flagError("services", "with at least one service");
    if (options.keys < 1 || options.keys > maxKeys)
        return flagError("keys", "from 1 to 10000000");
    if (!(options.zipf >= 0 && options.zipf <= 10))
        return flagError("zipf", "from 0 to 10");
    if (options.hotKeyChange < Duration::zero())
        return flagError("hot_key_change", "of at least 0");
    if (!(options.rate > 0 && options.rate <= 1e6))
        return flagError("rate", "greater than 0, up to 1000000");
    if (options.length <= Duration::zero() || options.length > std::chrono::hours(24))
        return flagError("seconds", "greater than 0, up to 86400");
    if (options.rate * toSeconds(options.length) > maxRequests)
        return flagError("rate", "of which --rate times --seconds is at most 50000000");
    if (!(options.writeFraction >= 0 && options.writeFraction <= 1))
        return flagError("write_fraction", "from 0 to 1");
    if (options.tenants < 1)
        return flagError("tenants", "of at least 1");
    return Success {};
}

Workload::Workload(const WorkloadOptions& workloadOptions)
    : options(workloadOptions)
    , engine(workloadOptions.seed)
    , gap(workloadOptions.rate)
    , rank(zipfRanks(workloadOptions.keys, workloadOptions.zipf))
{
}

std::optional<PlannedRequest> Workload::next()
{
    this->seconds += this->gap(this->engine);
    Duration at(static_cast<Duration::rep>(this->seconds * 1e6));
    if (at >= this->options.length)
        return std::nullopt;
    PlannedRequest request;
    request.at = at;
    request.number = this->nextNumber++;
    std::uniform_int_distribution<std::size_t> service(0, this->options.services.size() - 1);
    request.service = this->options.services[service(this->engine)];
    request.key = "key-" + std::to_string(this->keyIndex(at));
    std::uniform_int_distribution<unsigned> tenant(1, this->options.tenants);
    request.tenant = "tenant-" + std::to_string(tenant(this->engine));
    request.isWrite = std::bernoulli_distribution(this->options.writeFraction)(this->engine);
    return request;
}

std::uint64_t Workload::keyIndex(Duration at)
{
    std::uint64_t index = this->rank(this->engine);
    if (this->options.hotKeyChange <= Duration::zero())
        return index;
    // Each period shifts the ranks by another amount, so that other keys are the hot ones.
    std::int64_t period = at / this->options.hotKeyChange;
    std::uint64_t shift = XXH3_64bits_withSeed(&period, sizeof(period), this->options.seed);
    return (index + shift % this->options.keys) % this->options.keys;
}

}
