#include "ControllerService.h"

int main(int argc, char** argv)
{
    sequoia::runtime::ProgramDescription description { "sequoia-controller", "controller",
        "Decides which backend server owns which keys, for the partitions whose lease it holds, is witness for "
        "others, and relays routes to the router on its host.\n\n"
        "  sequoia-controller --settings FILE [--set section.key=value,...]\n\n"
        "One partition per section [service NAME] of the settings. SIGTERM hands its leases over and exits." };
    return sequoia::runtime::runProgram(argc, argv, description, sequoia::controller::ControllerService::start);
}
