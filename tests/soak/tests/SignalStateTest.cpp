#include "SignalState.h"

#include <csignal>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace sequoia::soak;

// Guards against an excuse by the time since the start: on a busy machine a host took longer than 0.2 s to come to its
// signal handlers (soak seed 811), and a host with handlers must not be excused at any time.
TEST_CASE("a process catches a signal once it has a handler, and a process that cannot be read counts as catching")
{
    CHECK_FALSE(catchesSignal(getpid(), SIGUSR2));
    auto before = std::signal(SIGUSR2, [](int) {});
    CHECK(catchesSignal(getpid(), SIGUSR2));
    std::signal(SIGUSR2, before);
    CHECK_FALSE(catchesSignal(getpid(), SIGUSR2));
    constexpr int noProcess = 1 << 30;
    CHECK(catchesSignal(noProcess, SIGUSR2));
}
