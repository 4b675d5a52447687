#include "operatorcli/Views.h"

#include "timeline/EventLog.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>
#include <iomanip>
#include <sstream>

namespace sequoia::operatorcli {

namespace {

using Rows = std::vector<std::vector<std::string>>;

//! Rows as left-aligned columns; the first row is the heading.
std::string tableOf(const Rows& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + 2, ' ');
        }
        text.append(line, 0, line.find_last_not_of(' ') + 1).append("\n");
    }
    return text;
}

std::string orDash(const std::string& value)
{
    return value.empty() ? "-" : value;
}

std::string textOf(const wire::Epoch& epoch)
{
    return std::to_string(epoch.term()) + "." + std::to_string(epoch.sequence());
}

//! Strips the prefix of an enum value and puts the rest in lower case, for example HOST_STATE_LIVE to live.
std::string plain(const std::string& name, std::size_t prefix)
{
    auto text = name.substr(std::min(prefix, name.size()));
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
    return text;
}

std::string nameOfState(wire::RouteState state)
{
    return plain(wire::RouteState_Name(state), std::string_view("ROUTE_STATE_").size());
}

std::string nameOf(const wire::Process& process)
{
    if (process.address().empty())
        return "-";
    return process.host().empty() ? process.address() : process.host() + " (" + process.address() + ")";
}

std::string timeOf(std::int64_t wallMillis)
{
    constexpr std::int64_t millisPerSecond = 1000;
    std::time_t seconds = wallMillis / millisPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
         << wallMillis % millisPerSecond << 'Z';
    return text.str();
}

std::string unreachableText(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return "";
    std::string text = "\nnot reachable, so not included:\n";
    for (const auto& address : addresses)
        text += "  " + address + "\n";
    return text;
}

google::protobuf::Value valueOfMessage(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions print;
    print.always_print_primitive_fields = true;
    std::string json;
    google::protobuf::Value value;
    if (google::protobuf::util::MessageToJsonString(message, &json, print).ok())
        (void)google::protobuf::util::JsonStringToMessage(json, value.mutable_struct_value());
    return value;
}

template <typename Messages> google::protobuf::Value listOf(const Messages& messages)
{
    google::protobuf::Value value;
    value.mutable_list_value();
    for (const auto& message : messages)
        *value.mutable_list_value()->add_values() = valueOfMessage(message);
    return value;
}

google::protobuf::Value listOf(const std::vector<std::string>& texts)
{
    google::protobuf::Value value;
    value.mutable_list_value();
    for (const auto& text : texts)
        value.mutable_list_value()->add_values()->set_string_value(text);
    return value;
}

std::string jsonOf(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions print;
    print.add_whitespace = true;
    print.always_print_primitive_fields = true;
    std::string json;
    (void)google::protobuf::util::MessageToJsonString(message, &json, print);
    return json;
}

}

std::string hexOf(KeyHash hash)
{
    constexpr int digits = 16;
    std::ostringstream text;
    text << std::hex << std::setw(digits) << std::setfill('0') << hash;
    return text.str();
}

std::string lineOf(const wire::Event& event)
{
    // The part of the log line from the process on; the event carries no severity.
    auto line = timeline::formatEvent("-", event);
    auto process = line.find(" process=");
    return timeOf(event.time().wall_ms()) + "/" + std::to_string(event.time().counter()) + line.substr(process);
}

std::string toText(const StatusView& view)
{
    Rows processes { { "PROCESS", "HOST", "DATA CENTRE", "PROGRAM", "STATE" } };
    Rows partitions { { "SERVICE", "REPORTED BY", "ROLE", "TERM", "HOLDER", "RECORD", "ROUTES", "SLICES", "UNAVAILABLE",
        "WITNESSES" } };
    for (const auto& status : view.processes) {
        const auto& process = status.process();
        processes.push_back({ process.address(), orDash(process.host()), orDash(process.data_centre()),
            status.program(), status.state() });
        for (const auto& partition : status.partitions())
            partitions.push_back(
                { partition.partition(), process.address(), partition.role(), std::to_string(partition.term()),
                    nameOf(partition.holder()), std::to_string(partition.record_version()),
                    std::to_string(partition.route_version()), std::to_string(partition.slices()),
                    std::to_string(partition.unavailable_slices()), std::to_string(partition.witnesses_size()) });
    }
    std::sort(partitions.begin() + 1, partitions.end());
    return tableOf(processes) + "\n" + tableOf(partitions) + unreachableText(view.unreachable);
}

std::string toText(const wire::HostList& hosts)
{
    Rows rows { { "ID", "KIND", "STATE", "ADDRESS", "DATA CENTRE", "SERVICE", "SLOTS", "CHECKS ORDERS" } };
    for (const auto& host : hosts.hosts()) {
        bool server = host.kind() == wire::HOST_KIND_BACKEND_SERVER;
        rows.push_back({ host.id(), plain(wire::HostKind_Name(host.kind()), std::string_view("HOST_KIND_").size()),
            plain(wire::HostState_Name(host.state()), std::string_view("HOST_STATE_").size()), host.address(),
            orDash(host.data_centre()), orDash(host.service()), server ? std::to_string(host.slots()) : "-",
            server ? (host.checks_orders() ? "yes" : "no") : "-" });
    }
    return tableOf(rows);
}

std::string toText(const RoutesView& view)
{
    Rows rows { { "FIRST", "LAST", "SERVER", "ADDRESS", "EPOCH", "STATE" } };
    for (const auto& route : view.table.routes())
        rows.push_back({ hexOf(route.first()), hexOf(route.last()), orDash(route.server()), orDash(route.address()),
            textOf(route.epoch()), nameOfState(route.state()) });
    auto text = "service " + view.table.partition() + ", term " + std::to_string(view.table.term()) + ", version "
        + std::to_string(view.table.version()) + ", published by " + nameOf(view.table.holder()) + "\n";
    if (!view.fromHolder)
        text += "no holder answers now: this is the newest table that another controller relays\n";
    return text + tableOf(rows);
}

std::string toText(const OwnerView& view)
{
    std::string text
        = "service    " + view.service + "\nkey        " + view.key + "\nhash       " + hexOf(view.hash) + "\n";
    if (!view.slice)
        return text + "owner      none: no slice is assigned yet\n" + unreachableText(view.unreachable);
    const auto& slice = *view.slice;
    text += "owner      " + orDash(slice.owner());
    if (view.route)
        text += " at " + orDash(view.route->address()) + ", " + nameOfState(view.route->state());
    text += "\nsince      " + (view.since ? timeOf(*view.since) : "before the oldest event that is still kept")
        + "\nepoch      " + textOf(slice.epoch()) + "\nslice      " + hexOf(slice.first()) + " to "
        + hexOf(slice.last()) + "\nsuccessor  " + orDash(slice.successor());
    if (!slice.successor().empty())
        text += ", reserved epoch " + textOf(slice.successor_epoch());
    text += "\n";
    if (!slice.move_target().empty())
        text += "moving to  " + slice.move_target() + ", epoch " + textOf(slice.move_epoch()) + "\n";
    if (!view.fromHolder)
        text += "note       no holder answers now: this is the newest record that another controller knows\n";
    text += "why        ";
    if (view.events.empty())
        text += "no event about this slice is kept any more\n";
    for (const auto& event : view.events)
        text += (&event == &view.events.front() ? "" : "           ") + lineOf(event) + "\n";
    return text + unreachableText(view.unreachable);
}

std::string toText(const TimelineView& view)
{
    std::string text;
    for (const auto& event : view.events)
        text += lineOf(event) + "\n";
    for (const auto& process : view.incomplete)
        text += "note: " + process + "\n";
    return text + unreachableText(view.unreachable);
}

std::string toJson(const StatusView& view)
{
    google::protobuf::Struct object;
    (*object.mutable_fields())["processes"] = listOf(view.processes);
    (*object.mutable_fields())["unreachable"] = listOf(view.unreachable);
    return jsonOf(object);
}

std::string toJson(const wire::HostList& hosts)
{
    return jsonOf(hosts);
}

std::string toJson(const RoutesView& view)
{
    google::protobuf::Struct object;
    (*object.mutable_fields())["table"] = valueOfMessage(view.table);
    (*object.mutable_fields())["fromHolder"].set_bool_value(view.fromHolder);
    return jsonOf(object);
}

std::string toJson(const OwnerView& view)
{
    google::protobuf::Struct object;
    auto& fields = *object.mutable_fields();
    fields["service"].set_string_value(view.service);
    fields["key"].set_string_value(view.key);
    fields["hash"].set_string_value(hexOf(view.hash));
    if (view.slice)
        fields["slice"] = valueOfMessage(*view.slice);
    if (view.route)
        fields["route"] = valueOfMessage(*view.route);
    if (view.since)
        fields["sinceMs"].set_string_value(std::to_string(*view.since));
    fields["fromHolder"].set_bool_value(view.fromHolder);
    fields["events"] = listOf(view.events);
    fields["unreachable"] = listOf(view.unreachable);
    return jsonOf(object);
}

std::string toJson(const TimelineView& view)
{
    google::protobuf::Struct object;
    (*object.mutable_fields())["events"] = listOf(view.events);
    (*object.mutable_fields())["incomplete"] = listOf(view.incomplete);
    (*object.mutable_fields())["unreachable"] = listOf(view.unreachable);
    return jsonOf(object);
}

std::string toJson(const wire::OperatorReply& reply)
{
    return jsonOf(reply);
}

}
