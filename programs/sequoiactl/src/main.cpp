#include "Commands.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace sequoia;
    auto invocation = operatorcli::parseCommandLine({ argv + 1, argv + argc });
    if (!succeeded(invocation)) {
        std::cerr << "sequoiactl: " << errorOf(invocation).toString() << '\n';
        return runtime::toInt(runtime::ExitCode::InvalidArguments);
    }
    return runtime::toInt(ctl::runCommand(valueOf(invocation)));
}
