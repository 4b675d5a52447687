#pragma once

#include "balance/Scheduler.h"
#include "keyspace/KeyLeaseManager.h"
#include "settings/Settings.h"
#include "tenure/CoordinatorElection.h"

namespace sequoia::node {

// Options of the libraries, from the settings.
balance::SchedulerOptions makeSchedulerOptions(const settings::Settings& settings);

//! Bounds on the requests that a cold server may get in any second: `rateFactor` times the rate that its service
//! states, and `slack` besides. A factor of zero means that there are none.
struct ColdServerBounds {
    double rateFactor = 0;
    double slack = 0;
};

ColdServerBounds makeColdServerBounds(const settings::Settings& settings);
//! Limits for the services that state a rate for cold servers.
balance::ColdLimitsByService makeColdLimits(ColdServerBounds bounds, const fleet::Configuration& configuration);
keyspace::KeyLeaseOptions makeKeyLeaseOptions(const settings::Settings& settings);
tenure::ElectionOptions makeElectionOptions(const settings::Settings& settings);

}
