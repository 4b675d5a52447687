#include "core/Random.h"
#include "platform/PlatformHttpService.h"
#include "platform/PlatformModel.h"
#include "runtime/Program.h"
#include "runtime/Task.h"

namespace sequoia {

namespace {

constexpr std::string_view section = "platform_standin";

RandomEngine engineFromSettings(const settings::Settings& loaded)
{
    auto seed = loaded.number(section, "seed");
    return seed == 0 ? systemSeededEngine() : RandomEngine(static_cast<RandomEngine::result_type>(seed));
}

//! Runs model and HTTP service on a task of their own.
class PlatformStandin final : public runtime::Program {
public:
    explicit PlatformStandin(const runtime::ProgramContext& context)
        : model(
            context.clock, engineFromSettings(context.settings), context.settings.duration(section, "host_list_lag"))
        , task("platform")
    {
    }

    ~PlatformStandin() override
    {
        this->task.run([this] { this->http.reset(); });
    }

    Result<Success> listen(const std::string& address)
    {
        Result<Success> outcome;
        this->task.run([&] {
            auto started = platform::PlatformHttpService::start(address, this->model);
            if (succeeded(started))
                this->http = std::move(valueOf(started));
            else
                outcome = errorOf(started);
        });
        return outcome;
    }

    std::uint16_t port() const { return this->http->port(); }

    void stop(std::function<void()> finished) override
    {
        this->task.post([this, finished = std::move(finished)] {
            this->http.reset();
            finished();
        });
    }

private:
    platform::PlatformModel model;
    std::unique_ptr<platform::PlatformHttpService> http;
    runtime::Task task;
};

Result<std::unique_ptr<runtime::Program>> createStandin(const runtime::ProgramContext& context)
{
    auto standin = std::make_unique<PlatformStandin>(context);
    const auto& address = context.settings.text(section, "listen");
    auto listening = standin->listen(address);
    if (!succeeded(listening))
        return errorOf(listening);
    context.events.record(
        timeline::Severity::Info, "listening", { { "address", address }, { "port", std::to_string(standin->port()) } });
    return standin;
}

}

}

int main(int argc, char** argv)
{
    return sequoia::runtime::runProgram(argc, argv,
        { "sequoia-platform-standin", "platform",
            "Test only: table service, object store and host list in memory, with faults set by PUT /faults." },
        sequoia::createStandin);
}
