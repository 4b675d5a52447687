#include "standin/Behaviour.h"

#include <cmath>

namespace sequoia::standin {

namespace {

std::uint32_t toMicros(Duration duration)
{
    return static_cast<std::uint32_t>(duration.count());
}

wire::ServerFaults behaviourFrom(const settings::Settings& settings)
{
    constexpr std::string_view section = "server_standin";
    auto number = [&](std::string_view key) { return static_cast<std::uint32_t>(settings.number(section, key)); };
    wire::ServerFaults behaviour;
    behaviour.set_slots(number("slots"));
    behaviour.set_queue(number("queue"));
    behaviour.set_service_time_us(toMicros(settings.duration(section, "service_time")));
    behaviour.set_spread(settings.real(section, "spread"));
    behaviour.set_speed(settings.real(section, "speed"));
    behaviour.set_connections(number("connections"));
    behaviour.set_connection_cost_us(toMicros(settings.duration(section, "connection_cost")));
    behaviour.set_cold_requests(number("cold_requests"));
    behaviour.set_cold_ms(static_cast<std::uint32_t>(toMillis(settings.duration(section, "cold_time"))));
    behaviour.set_cold_factor(settings.real(section, "cold_factor"));
    behaviour.set_drain(false);
    behaviour.set_shed_fraction(0);
    behaviour.set_cancel_on_close(settings.flag(section, "cancel_on_close"));
    behaviour.set_obey_deadline(settings.flag(section, "obey_deadline"));
    behaviour.set_answer(wire::ANSWER_FAULT_NONE);
    behaviour.set_answer_fraction(1);
    behaviour.set_poison(settings.text(section, "poison"));
    behaviour.set_health_lag_ms(static_cast<std::uint32_t>(toMillis(settings.duration(section, "health_lag"))));
    behaviour.set_misleading_health(settings.flag(section, "misleading_health"));
    behaviour.set_grant_delay_ms(0);
    return behaviour;
}

Error rangeError(const std::string& field, const std::string& range)
{
    return { ErrorKind::InvalidArgument, field + " is out of range", "send a value " + range };
}

bool isFraction(double value)
{
    return value >= 0 && value <= 1;
}

}

StandInOptions optionsFrom(const settings::Settings& settings, const std::string& incarnation)
{
    constexpr std::string_view section = "server_standin";
    StandInOptions options;
    options.id = settings.text("host", "id");
    options.dataCentre = settings.text("host", "data_centre");
    options.region = settings.text("host", "region");
    options.incarnation = incarnation;
    options.listen = settings.text(section, "listen");
    options.service = settings.text(section, "service");
    options.platform = settings.text("platform", "address");
    options.journal = settings.text(section, "journal");
    options.checksOrders = settings.flag(section, "checks_orders");
    options.serveWithoutGrant = settings.flag(section, "serve_without_grant");
    options.registers = settings.flag(section, "register");
    options.leaveWait = settings.duration(section, "leave_wait");
    options.seed = static_cast<std::uint64_t>(settings.number(section, "seed"));
    options.behaviour = behaviourFrom(settings);
    return options;
}

Result<wire::ServerFaults> withFaults(const wire::ServerFaults& base, const wire::ServerFaults& faults)
{
    wire::ServerFaults merged = base;
    merged.MergeFrom(faults);
    if (merged.slots() < 1)
        return rangeError("slots", "of at least 1");
    if (!isFraction(merged.spread()))
        return rangeError("spread", "from 0 to 1");
    if (!std::isfinite(merged.speed()) || merged.speed() <= 0)
        return rangeError("speed", "greater than 0");
    if (!std::isfinite(merged.cold_factor()) || merged.cold_factor() < 1)
        return rangeError("cold_factor", "of at least 1");
    if (!isFraction(merged.shed_fraction()))
        return rangeError("shed_fraction", "from 0 to 1");
    if (!isFraction(merged.answer_fraction()))
        return rangeError("answer_fraction", "from 0 to 1");
    return merged;
}

}
