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
