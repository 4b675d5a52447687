#include "runtime/Program.h"
#include "standin/HttpStandIn.h"

using namespace sequoia;

namespace {

class StandInService final : public runtime::Program {
public:
    explicit StandInService(std::unique_ptr<standin::HttpStandIn> started)
        : standIn(std::move(started))
    {
    }

    void stop(std::function<void()> finished) override { this->standIn->stop(std::move(finished)); }

private:
    std::unique_ptr<standin::HttpStandIn> standIn;
};

}

int main(int argc, char** argv)
{
    runtime::ProgramDescription description { "sequoia-server-standin", "server",
        "Backend server for tests and trials, with fault injection. Settings: sections host, platform and "
        "server_standin." };
    return runtime::runProgram(argc, argv, description,
        [](const runtime::ProgramContext& context) -> Result<std::unique_ptr<runtime::Program>> {
            auto started = standin::HttpStandIn::start(
                standin::optionsFrom(context.settings, context.incarnation), context.clock, context.events);
            if (!succeeded(started))
                return errorOf(started);
            return std::make_unique<StandInService>(std::move(valueOf(started)));
        });
}
