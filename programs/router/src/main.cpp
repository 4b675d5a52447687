#include "RouterService.h"

int main(int argc, char** argv)
{
    return sequoia::runtime::runProgram(argc, argv,
        { "sequoia-router", "router",
            "Routes callers' HTTP requests to the backend servers that own their keys.\n"
            "  sequoia-router --settings FILE [--set section.key=value,...]" },
        sequoia::router::RouterService::create);
}
