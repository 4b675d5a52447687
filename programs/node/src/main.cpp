#include "NodeService.h"

int main(int argc, char** argv)
{
    return sequoia::runtime::runProgram(argc, argv,
        { "sequoia-node", "node",
            "Routes callers' requests to backend servers on the platform, and coordinates the hosts in turn.\n"
            "  sequoia-node --settings FILE [--set section.key=value,...]",
            sequoia::timeline::LogTarget::StandardOutput },
        sequoia::node::NodeService::create);
}
