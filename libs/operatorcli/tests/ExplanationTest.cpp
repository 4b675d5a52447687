#include "operatorcli/Explanation.h"

#include "timeline/EventLog.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::operatorcli;

namespace {

// Lines of a played day, with and without the prefix that the users' bench adds.
constexpr const char* log[] = {
    "time_ms=1000.0 severity=info process=node@a event=server server=s1 change=gone service=x address=10.0.0.1:80 "
    "born_ms=1",
    "  7.1 b time_ms=2000.0 severity=info process=node@b event=keys_move first=100 last=200 from=s1 to=s2 fence=8 "
    "reason=\"owner gone\" term=3",
    "time_ms=2100.0 severity=info process=node@b event=keys_move first=300 last=400 from=s1 to=s3 fence=9 "
    "reason=\"owner gone\" term=3",
    "time_ms=2200.5 severity=info process=node@a event=request request=r1 outcome=own-answer status=503 "
    "reason=no-owner route=read config=4 service=x key=150 server=\"\" attempts=0 age_ms=700 left_ms=300",
    "time_ms=2200.6 severity=info process=node@a event=request request=r2 outcome=own-answer status=502 "
    "reason=\"connection reset\" route=book config=4 service=y key=\"\" server=s1 attempts=1 age_ms=70 left_ms=900",
    "time_ms=2300.0 severity=warn process=node@b event=store_lost watch=servers reason=late remedy=wait",
    "no line of this program",
};

std::vector<wire::Event> parsed()
{
    std::vector<wire::Event> events;
    for (const auto* line : log) {
        if (auto event = timeline::parseEvent(line))
            events.push_back(std::move(*event));
    }
    return events;
}

std::vector<std::string> kinds(const Explanation& explanation)
{
    std::vector<std::string> result;
    for (const auto& event : explanation.story)
        result.push_back(event.kind());
    return result;
}

}

TEST_CASE("a line that was written is read again, and others are none")
{
    CHECK(parsed().size() == std::size(log) - 1);
    wire::Event event;
    event.mutable_time()->set_wall_ms(5);
    event.mutable_time()->set_counter(2);
    event.set_process("node@a b");
    event.set_kind("k");
    for (const char* value : { "plain", "", "with \"quotes\" and \\", "a=b" }) {
        auto* field = event.add_fields();
        field->set_key("f" + std::to_string(event.fields_size()));
        field->set_value(value);
    }
    auto again = timeline::parseEvent(timeline::formatEvent("info", event));
    REQUIRE(again);
    CHECK(again->SerializeAsString() == event.SerializeAsString());
}

// Guards against an explanation that shows moves of other keys, or hides the one that matters.
TEST_CASE("a request for a key without an owner is explained by the move of that key")
{
    auto explanation = explainRequest("r1", parsed());
    CHECK(explanation.found);
    CHECK(kinds(explanation) == std::vector<std::string> { "keys_move", "request" });
    CHECK(explanation.conclusion.find("has not run") != std::string::npos);
    CHECK(explanation.conclusion.find("keys_move") != std::string::npos);
}

TEST_CASE("a request with an unknown outcome is explained by what became of its server")
{
    auto explanation = explainRequest("r2", parsed());
    CHECK(kinds(explanation) == std::vector<std::string> { "server", "request" });
    CHECK(explanation.conclusion.find("may have run") != std::string::npos);
    CHECK(explanation.conclusion.find("s1") != std::string::npos);
}

TEST_CASE("a request without a line is not found")
{
    CHECK(!explainRequest("r9", parsed()).found);
}
