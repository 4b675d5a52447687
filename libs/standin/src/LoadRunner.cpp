#include "standin/LoadRunner.h"

#include "LoadRun.h"

namespace sequoia::standin {

LoadRunner::LoadRunner(LoadOptions options, const Clock& clock)
    : state(std::make_unique<LoadRun>(std::move(options), clock))
{
}

LoadRunner::~LoadRunner() = default;

Result<Success> LoadRunner::run()
{
    return this->state->run();
}

wire::LoadReport LoadRunner::report(const JournalCheck& journals) const
{
    return this->state->report(journals);
}

}
