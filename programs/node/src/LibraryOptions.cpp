#include "LibraryOptions.h"

#include <algorithm>

namespace sequoia::node {

balance::SchedulerOptions makeSchedulerOptions(const settings::Settings& settings)
{
    balance::SchedulerOptions options;
    options.retryRatio = settings.real("repeats", "ratio");
    options.retrySlack = settings.real("repeats", "slack");
    options.retryWindow = settings.duration("repeats", "window");
    return options;
}

ColdServerBounds makeColdServerBounds(const settings::Settings& settings)
{
    return { settings.real("cold_servers", "rate_factor"), settings.real("cold_servers", "slack") };
}

// Requests are sent at the rate that the servers sustain, with the allowed slack as burst. What the factor allows
// beyond that rate is left for requests that arrive closer together than they were sent.
balance::ColdLimitsByService makeColdLimits(ColdServerBounds bounds, const fleet::Configuration& configuration)
{
    balance::ColdLimitsByService limits;
    if (bounds.rateFactor <= 0)
        return limits;
    for (const auto& [name, service] : configuration.services) {
        if (service.coldRequestsPerSecond > 0)
            limits[name] = { service.coldRequestsPerSecond * std::min(1.0, bounds.rateFactor),
                std::max(1.0, bounds.slack), service.coldPeriod };
    }
    return limits;
}

keyspace::KeyLeaseOptions makeKeyLeaseOptions(const settings::Settings& settings)
{
    return keyspace::KeyLeaseOptions::limitedTo(settings.duration("grants", "longest_hold"));
}

tenure::ElectionOptions makeElectionOptions(const settings::Settings& settings)
{
    tenure::ElectionOptions options;
    options.processorShare = settings.real("node", "processor_share");
    return options;
}

}
