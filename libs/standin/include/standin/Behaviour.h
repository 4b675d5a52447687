#pragma once

#include "core/Error.h"
#include "settings/Settings.h"

#include <standin.pb.h>
#include <string>

namespace sequoia::standin {

//! Identity of one stand-in and what does not change while it runs.
struct StandInOptions {
    std::string id;
    std::string dataCentre;
    std::string region;
    std::string incarnation;
    std::string listen;
    std::string service;
    std::string platform;
    std::string journal;
    bool checksOrders = true;
    bool serveWithoutGrant = false;
    bool registers = false;
    Duration leaveWait {};
    std::uint64_t seed = 1;
    wire::ServerFaults behaviour; //!< all fields set
};

StandInOptions optionsFrom(const settings::Settings& settings, const std::string& incarnation);

//! `base` with the fields of `faults` that are set; the error names the field and its range.
Result<wire::ServerFaults> withFaults(const wire::ServerFaults& base, const wire::ServerFaults& faults);

}
