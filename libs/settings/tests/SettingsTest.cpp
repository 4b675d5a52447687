#include "settings/Settings.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoia;
using settings::Settings;

namespace {

std::string messageOf(const std::string& text, const std::string& overrides = "")
{
    auto result = Settings::parse(text, "test.ini", overrides);
    return succeeded(result) ? std::string() : errorOf(result).toString();
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

}

TEST_CASE("defaults apply and overrides go before the file")
{
    auto result = Settings::parse("[router]\nworkers=3\n[service booking]\nslots=4\n", "test.ini", "router.workers=5");
    REQUIRE(succeeded(result));
    const auto& loaded = valueOf(result);
    CHECK(loaded.number("router", "workers") == 5);
    CHECK(loaded.duration("ownership", "server_lease") == std::chrono::seconds(2));
    CHECK(loaded.services() == std::vector<std::string> { "booking" });
    CHECK(loaded.number("service booking", "slots") == 4);
    CHECK(loaded.number("service booking", "max_body") == 64 * 1024 * 1024);
}

// Guards against a start with settings that mean something else than the operator thinks.
TEST_CASE("each kind of mistake names file, section, key and remedy")
{
    CHECK(contains(
        messageOf("[router]\nworker=3\n"), "test.ini: [router] worker: unknown key; remove it or use one of: listen"));
    CHECK(contains(messageOf("[routr]\nworkers=3\n"), "[routr]: unknown section"));
    CHECK(contains(messageOf("[router]\nworkers=0\n"), "out of range; write a value from 1 to 64"));
    CHECK(contains(messageOf("[router]\nworkers=2.5\n"), "whole number"));
    CHECK(contains(messageOf("[platform]\ntimeout=5\n"), "no valid unit; write a number with the unit us, ms"));
    CHECK(contains(messageOf("[platform]\ntimeout=5h\n"), "no valid unit"));
    CHECK(contains(messageOf("[platform]\ntimeout=1ms\n"), "from 10ms to 60000ms"));
    CHECK(contains(messageOf("[platform]\naddress=nowhere\n"), "write IP:port"));
    CHECK(contains(messageOf("[service x]\nkind=other\n"), "write keyed or upload"));
    CHECK(contains(messageOf("[log]\nlevel=loud\n"), "write debug, info, warn or error"));
    CHECK(contains(messageOf("[ownership]\nserver_lease=900ms\n"), "twice controller_lease"));
    CHECK(contains(messageOf("no section\n"), "test.ini"));
    CHECK(contains(messageOf("", "router"), "write section.key=value"));
}

// Guards against a host that does not start, or keeps its old settings, because a deployment states a time as a
// fraction.
TEST_CASE("durations may be fractions")
{
    auto microsOf = [](const std::string& text) {
        auto result = Settings::parse("[edge]\ngrace=" + text + "\n", "test.ini", "");
        REQUIRE_MESSAGE(succeeded(result), text);
        return valueOf(result).duration("edge", "grace").count();
    };
    CHECK(microsOf("6.5s") == 6'500'000);
    CHECK(microsOf("6.0s") == 6'000'000);
    CHECK(microsOf("6500.25ms") == 6'500'250);
    CHECK(microsOf("0.1min") == 6'000'000);
    CHECK(microsOf("6.5e0s") == 6'500'000);
    CHECK(microsOf("6.1s") == 6'100'000);
    for (const char* text :
        { "ss", "6.5.1s", "6,5s", "infs", "nans", "0x6s", "1e999s", "six s", "6.5", "6.5 s", "6.5h" })
        CHECK_MESSAGE(contains(messageOf("[edge]\ngrace=" + std::string(text) + "\n"), "[edge] grace: "), text);
    CHECK(contains(messageOf("[edge]\ngrace=-6.5s\n"), "out of range"));
    CHECK(contains(messageOf("[edge]\ngrace=1e300s\n"), "out of range"));
    CHECK(contains(messageOf("[service x]\nmax_body=1.5MiB\n"), "write a whole number with the unit B, KiB or MiB"));
}

// Guards against a host that does not start since its deployment states a bound in another form or size than usual.
TEST_CASE("the bounds of a deployment may have any size, be missing, or be flags")
{
    auto fill = [](const std::string& figure) {
        return "[node]\nprocessor_share=" + figure + "\nlink_megabits=" + figure + "\n[edge]\ngrace=" + figure
            + "s\n[grants]\nlongest_hold=" + figure + "ms\n[repeats]\nratio=" + figure + "\nslack=" + figure
            + "\nwindow=" + figure + "s\n";
    };
    for (const auto* figure : { "1", "1.0", "0.5", "2.75", "1000", "86400", "123456.789", "1e5", "1E2" })
        CHECK_MESSAGE(messageOf(fill(figure)) == "", figure);
    CHECK(messageOf("[repeats]\nratio=0\nslack=0\n[edge]\ngrace=0s\n[node]\nprocessor_share=0.0005\n") == "");
    for (const auto* figure : { "", "true", "false", "{{bounds.figure}}" }) {
        CAPTURE(figure);
        auto result = Settings::parse(fill(figure), "test.ini", "");
        REQUIRE(succeeded(result));
        const auto& loaded = valueOf(result);
        CHECK(loaded.duration("edge", "grace") == std::chrono::seconds(6));
        CHECK(loaded.duration("grants", "longest_hold") == std::chrono::seconds(10));
        CHECK(loaded.duration("repeats", "window") == std::chrono::seconds(10));
        CHECK(loaded.real("repeats", "ratio") == 0.2);
        CHECK(loaded.keysWithoutFigure()
            == std::vector<std::string> { "edge.grace", "node.processor_share", "node.link_megabits",
                "grants.longest_hold", "repeats.ratio", "repeats.slack", "repeats.window" });
    }
    for (const auto* nonsense : { "many", "-1", "1,5", "truest", "nan", "1 2" }) {
        CAPTURE(nonsense);
        auto message = messageOf(fill(nonsense));
        for (const auto* key : { "] grace:", "longest_hold:", "ratio:", "slack:", "window:", "share:", "megabits:" })
            CHECK(contains(message, key));
    }
    CHECK(contains(messageOf("[grants]\nlongest_hold=0ms\n[repeats]\nwindow=0s\n"), "window"));
    CHECK(contains(messageOf("[grants]\nlongest_hold=0ms\n"), "out of range"));
    // Settings that operators write keep their checks.
    CHECK(contains(messageOf("[store]\ncall_timeout=\n"), "no valid amount"));
    CHECK(contains(messageOf("[store]\naddress=\n"), "write IP:port"));
}

TEST_CASE("all mistakes are listed in one run")
{
    auto message = messageOf("[router]\nworker=3\nworkers=99\n[log]\nlevel2=x\n");
    CHECK(contains(message, "worker: unknown key"));
    CHECK(contains(message, "out of range"));
    CHECK(contains(message, "level2"));
}

TEST_CASE("the settings in force can be loaded again")
{
    auto first = Settings::parse("[service booking]\nslots=4\n", "test.ini", "");
    REQUIRE(succeeded(first));
    auto second = Settings::parse(valueOf(first).toIni(), "again.ini", "");
    REQUIRE(succeeded(second));
    CHECK(valueOf(second).toIni() == valueOf(first).toIni());
}

// Guards against a reload that tells the operator a wrong list of what has changed.
TEST_CASE("changed keys are listed, also those of sections that only one of the two has")
{
    auto before = Settings::parse("[router]\nworkers=3\n[service booking]\nslots=4\n", "test.ini", "");
    auto after = Settings::parse("[router]\nworkers=5\n", "test.ini", "");
    REQUIRE(succeeded(before));
    REQUIRE(succeeded(after));
    auto changed = valueOf(after).changedKeys(valueOf(before));
    CHECK(std::find(changed.begin(), changed.end(), "router.workers") != changed.end());
    CHECK(std::find(changed.begin(), changed.end(), "service booking.slots") != changed.end());
    CHECK(std::find(changed.begin(), changed.end(), "edge.grace") == changed.end());
    CHECK(valueOf(before).changedKeys(valueOf(before)).empty());
}
