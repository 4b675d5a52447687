#pragma once

#include "GrantTable.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sequoia::lease {

struct AddWitness {
    wire::Process process;
};

struct RemoveWitness {
    std::string incarnation;
};

//! The next step towards a full set of live witnesses, or nothing.
using WitnessStep = std::variant<std::monostate, AddWitness, RemoveWitness>;

struct WitnessPlanInput {
    const WitnessList& witnesses;
    const std::set<std::string>& dead;
    const std::vector<wire::Process>& candidates;
    const std::set<std::string>& excluded; //!< candidates that did not answer lately
    std::size_t witnessCount = 0;
};

//! Grows an odd set by two, replaces dead members by add and remove, and keeps at most a minority of the members in
//! one data centre when there are three or more data centres.
WitnessStep nextWitnessStep(const WitnessPlanInput& input);

}
