#include "LibraryOptions.h"

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

balance::ColdLimitsByService makeColdLimits(ColdServerBounds bounds, const fleet::Configuration& configuration)
{
    balance::ColdLimitsByService limits;
    if (bounds.rateFactor <= 0)
        return limits;
    for (const auto& [name, service] : configuration.services) {
        if (service.coldRequestsPerSecond > 0)
            limits[name] = balance::ColdLimits::within(
                service.coldRequestsPerSecond, bounds.rateFactor, bounds.slack, service.coldPeriod);
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
