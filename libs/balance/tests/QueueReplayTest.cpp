#include "QueueReplay.h"

#include <iostream>

using namespace sequoia;
using namespace sequoia::balance;

namespace {

// Capacity of 10 servers: 60 slots, some 200 jobs of 300 ms a second. The last figure is the least part of today's
// answers on time that the planned order must give. In loads on single owners it gives fewer on time, since less urgent
// jobs get their share and late ones are not held until they can no longer be served.
const std::vector<ReplayLoad> loads {
    { "burst of the less urgent kind", false, 10, 0, 0,
        { { 0, 250, 1000, 6000, 90, 90 }, { 2, 300, 3000, 10000, 70, 250 } }, 1 },
    { "burst of all kinds", false, 10, 0, 0,
        { { 0, 250, 1000, 6000, 60, 130 }, { 1, 320, 1200, 8000, 40, 90 }, { 2, 300, 3000, 10000, 40, 100 } }, 1 },
    { "burst of all kinds, keyed", true, 10, 0, 0, { { 1, 290, 1000, 4000, 60, 140 }, { 2, 220, 800, 3000, 80, 180 } },
        0.95 },
    { "hot key", true, 10, 0, 0.4, { { 0, 250, 1000, 6000, 70, 90 }, { 1, 320, 1200, 8000, 50, 60 } }, 0.95 },
    { "slow third of the servers", true, 12, 0.34, 0,
        { { 0, 250, 1000, 6000, 70, 90 }, { 1, 320, 1200, 8000, 50, 60 } }, 1 },
};

//! By how much a kind, listed after more urgent ones, is served more often than one of those.
double worstDisadvantage(const std::vector<ReplayCount>& kinds)
{
    double worst = 0;
    for (std::size_t i = 1; i < kinds.size(); ++i) {
        for (std::size_t urgent = 0; urgent < i; ++urgent)
            worst = std::max(worst, kinds[i].served() - kinds[urgent].served());
    }
    return worst;
}

}

// Load patterns: bursts, a hot key, slow servers. Guards against a more urgent kind that is served less often than a
// less urgent one, a kind that is starved, refusals of jobs that idle servers would answer, and fewer answers on time
// than with the order for services where no priorities compete.
TEST_CASE("replayed overload: the callers for whom delay is most costly are served first, and no kind is starved")
{
    for (const auto& load : loads) {
        SUBCASE(load.name)
        {
            QueueReplay today(load, {});
            QueueReplay planned(load, { "service" });
            auto before = today.run();
            auto after = planned.run();
            int onTimeBefore = 0;
            int onTimeAfter = 0;
            double servedByAll = 0;
            for (std::size_t i = 0; i < after.size(); ++i) {
                auto print = [&](const char* order, const ReplayCount& count) {
                    std::cout << load.name << ": priority " << load.kinds[i].priority << ' ' << order << " offered "
                              << count.offered << " on time " << count.onTime << " late " << count.late << " refused "
                              << count.refused << '\n';
                };
                print("today", before[i]);
                print("planned", after[i]);
                onTimeBefore += before[i].onTime;
                onTimeAfter += after[i].onTime;
                servedByAll += after[i].served() / double(after.size());
            }
            CHECK(onTimeAfter >= load.minOnTimeRatio * onTimeBefore);
            CHECK(planned.refusedWhileIdle == 0);
            CHECK(worstDisadvantage(after) <= 0.05);
            for (const auto& count : after) {
                CHECK(count.served() >= servedByAll / 4);
                CHECK(count.unanswered() <= count.offered / 100);
            }
        }
    }
}

// Load pattern: a long burst of the urgent kind alone. Guards against urgent jobs that are late, and therefore go after
// all less urgent ones that are not, until they miss their deadlines. Listed in KNOWN-RED.txt.
TEST_CASE("in a burst of the urgent kind, it is served as often as a less urgent one" * doctest::should_fail())
{
    ReplayLoad load { "burst of the urgent kind", false, 10, 0, 0,
        { { 0, 250, 1000, 6000, 90, 320 }, { 2, 300, 3000, 10000, 40, 40 } }, 1 };
    QueueReplay planned(load, { "service" });
    CHECK(worstDisadvantage(planned.run()) <= 0.05);
}

// Guards against changed decisions for services in which no callers of different priority compete.
TEST_CASE("the order of planQueue() for one service leaves the decisions for others as they are")
{
    for (const auto& load : loads) {
        SUBCASE(load.name)
        {
            QueueReplay without(load, {});
            QueueReplay with(load, { "other" });
            without.run();
            with.run();
            CHECK(without.decisions == with.decisions);
        }
    }
}
