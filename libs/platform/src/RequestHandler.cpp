#include "RequestHandler.h"

#include "Protocol.h"
#include "core/EnumTable.h"

#include <google/protobuf/util/json_util.h>
#include <libsoup/soup.h>

namespace sequoia::platform {

namespace {

namespace json = google::protobuf::util;

constexpr unsigned statusTooLarge = 413;
const std::string jsonType = "application/json";
const std::string bytesType = "application/octet-stream";

constexpr EnumTable<wire::HostState, 2> settableStates { {
    { wire::HOST_STATE_LEAVING, "leaving" },
    { wire::HOST_STATE_GONE, "gone" },
} };

ServedAnswer malformed(const std::string& message, const std::string& remedy)
{
    return errorAnswer(SOUP_STATUS_BAD_REQUEST, "malformed", message, remedy);
}

ServedAnswer wrongMethod(const std::string& allowed)
{
    auto answer = errorAnswer(
        SOUP_STATUS_METHOD_NOT_ALLOWED, "method", "the method is not supported here", "use one of: " + allowed);
    answer.allow = allowed;
    return answer;
}

ServedAnswer tooLarge(std::size_t limit)
{
    return errorAnswer(
        statusTooLarge, "too-large", "the body is too large", "send at most " + std::to_string(limit) + " bytes");
}

ServedAnswer answerToError(const Error& error)
{
    switch (error.kind) {
    case ErrorKind::InvalidArgument:
        return malformed(error.message, error.remedy);
    case ErrorKind::NotFound:
        return errorAnswer(SOUP_STATUS_NOT_FOUND, "not-found", error.message, error.remedy);
    case ErrorKind::Conflict:
        return errorAnswer(SOUP_STATUS_PRECONDITION_FAILED, "conflict", error.message, error.remedy);
    case ErrorKind::Unavailable:
        return errorAnswer(SOUP_STATUS_SERVICE_UNAVAILABLE, "unavailable", error.message, error.remedy);
    default:
        return errorAnswer(SOUP_STATUS_INTERNAL_SERVER_ERROR, "internal", error.message, error.remedy);
    }
}

ServedAnswer emptyAnswer()
{
    ServedAnswer answer;
    answer.status = SOUP_STATUS_NO_CONTENT;
    return answer;
}

ServedAnswer jsonAnswer(const google::protobuf::Message& message)
{
    json::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    ServedAnswer answer;
    answer.contentType = jsonType;
    auto status = json::MessageToJsonString(message, &answer.body, options);
    if (!status.ok())
        return errorAnswer(SOUP_STATUS_INTERNAL_SERVER_ERROR, "internal", status.ToString(), "report this");
    return answer;
}

std::optional<ServedAnswer> parseJson(const std::string& body, google::protobuf::Message& message)
{
    auto status = json::JsonStringToMessage(body, &message);
    if (status.ok())
        return std::nullopt;
    return malformed("the body is no JSON of " + message.GetTypeName() + ": " + std::string(status.message()),
        "send the fields of this message in libs/wire/proto");
}

//! Makes an answer from that of the model; `convert` makes it from the value of a success.
template <typename T, typename Convert> ServedAnswer answerFrom(const ModelAnswer<T>& answer, Convert convert)
{
    auto served = succeeded(answer.result) ? convert(valueOf(answer.result)) : answerToError(errorOf(answer.result));
    served.delay = answer.delay;
    served.lost = answer.lost;
    return served;
}

//! The rest of the path after a prefix, when it has that prefix.
std::optional<std::string> after(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return std::nullopt;
    return std::string(path.substr(prefix.size()));
}

}

ServedAnswer errorAnswer(
    unsigned status, const std::string& code, const std::string& message, const std::string& remedy)
{
    wire::PlatformError error;
    error.set_code(code);
    error.set_message(message);
    error.set_remedy(remedy);
    ServedAnswer answer;
    answer.status = status;
    answer.contentType = jsonType;
    auto printed = json::MessageToJsonString(error, &answer.body);
    if (!printed.ok())
        answer.body = "{}";
    return answer;
}

ServedAnswer RequestHandler::handle(const ServedRequest& request)
{
    auto hostId = after(request.path, std::string(hostsPath) + "/");
    if (!request.query.empty() && !(hostId && request.method == "PUT"))
        return malformed("the request has a query", "remove the query");
    for (const auto& [prefix, handler] :
        { std::pair(tablePath, &RequestHandler::handleRow), std::pair(objectsPath, &RequestHandler::handleObject) }) {
        auto name = after(request.path, prefix);
        if (!name)
            continue;
        auto checked = checkName(*name);
        return succeeded(checked) ? (this->*handler)(request, *name) : answerToError(errorOf(checked));
    }
    if (hostId)
        return this->handleHost(request, *hostId);
    if (request.path == hostsPath)
        return this->readHosts(request);
    if (request.path == "/faults")
        return this->handleFaults(request);
    if (request.path == "/stats")
        return this->readStats(request);
    // Not 404: that means that a row or an object does not exist.
    return malformed(
        "the path is unknown", "use /table/<row>, /objects/<name>, /hosts, /hosts/<id>, /faults or /stats");
}

ServedAnswer RequestHandler::handleRow(const ServedRequest& request, const std::string& name)
{
    if (request.method == "PUT")
        return this->writeRow(request, name);
    if (request.method != "GET")
        return wrongMethod("GET, PUT");
    return answerFrom(this->model.readRow(name), [](const Row& row) {
        if (row.version == 0)
            return errorAnswer(
                SOUP_STATUS_NOT_FOUND, "not-found", "the row does not exist", "create it with If-None-Match: *");
        ServedAnswer answer;
        answer.contentType = bytesType;
        answer.body = row.value;
        answer.etag = formatEtag(row.version);
        return answer;
    });
}

ServedAnswer RequestHandler::writeRow(const ServedRequest& request, const std::string& name)
{
    if (request.ifMatch.has_value() == request.ifNoneMatch.has_value())
        return malformed("a row is written under one condition",
            "send either If-Match: \"<version>\" to replace the row, or If-None-Match: * to create it");
    std::optional<std::uint64_t> expected;
    if (request.ifMatch)
        expected = parseEtag(*request.ifMatch);
    else if (*request.ifNoneMatch == "*")
        expected = 0;
    if (!expected)
        return malformed("the condition is not valid",
            "send If-Match with the ETag of the row as read, for example \"12\" with its quotes, or If-None-Match: *");
    if (request.body.size() > maxRowBytes)
        return tooLarge(maxRowBytes);
    return answerFrom(this->model.writeRow(name, request.body, *expected), [](std::uint64_t version) {
        auto answer = emptyAnswer();
        answer.etag = formatEtag(version);
        return answer;
    });
}

ServedAnswer RequestHandler::handleObject(const ServedRequest& request, const std::string& name)
{
    if (request.method == "PUT") {
        if (request.body.size() > maxObjectBytes)
            return tooLarge(maxObjectBytes);
        return answerFrom(this->model.putObject(name, request.body), [](Success) { return emptyAnswer(); });
    }
    if (request.method != "GET")
        return wrongMethod("GET, PUT");
    return answerFrom(this->model.getObject(name), [](const std::string& bytes) {
        ServedAnswer answer;
        answer.contentType = bytesType;
        answer.body = bytes;
        return answer;
    });
}

ServedAnswer RequestHandler::readHosts(const ServedRequest& request)
{
    if (request.method != "GET")
        return wrongMethod("GET");
    return answerFrom(this->model.readHosts(), [](const wire::HostList& hosts) { return jsonAnswer(hosts); });
}

ServedAnswer RequestHandler::handleHost(const ServedRequest& request, const std::string& id)
{
    auto checked = checkName(id);
    if (!succeeded(checked))
        return answerToError(errorOf(checked));
    if (id.find('/') != std::string::npos)
        return malformed("the id of a host contains a slash", "use an id without slashes");
    if (request.method == "PUT")
        return request.query.empty() ? this->putHost(request, id) : this->putHostState(request, id);
    if (request.method != "DELETE")
        return wrongMethod("PUT, DELETE");
    auto removed = this->model.removeHost(id);
    return succeeded(removed) ? emptyAnswer() : answerToError(errorOf(removed));
}

ServedAnswer RequestHandler::putHost(const ServedRequest& request, const std::string& id)
{
    wire::Host host;
    if (auto error = parseJson(request.body, host))
        return *error;
    if (!host.id().empty() && host.id() != id)
        return malformed(
            "the id in the body differs from the one in the path", "send the same id, or none, in the body");
    if (host.kind() == wire::HOST_KIND_UNSPECIFIED)
        return malformed(
            "the host has no kind", "send kind HOST_KIND_ROUTER, HOST_KIND_CONTROLLER or HOST_KIND_BACKEND_SERVER");
    if (host.address().empty())
        return malformed("the host has no address", "send address as IP:port");
    host.set_id(id);
    auto registered = this->model.setHost(std::move(host));
    return succeeded(registered) ? emptyAnswer() : answerToError(errorOf(registered));
}

ServedAnswer RequestHandler::putHostState(const ServedRequest& request, const std::string& id)
{
    auto parameter = request.query.find("state");
    if (request.query.size() != 1 || parameter == request.query.end())
        return malformed("the query is unknown", "use ?state=leaving or ?state=gone, or no query");
    auto state = valueNamed(settableStates, parameter->second);
    if (!state)
        return malformed("the state is unknown", "use ?state=leaving or ?state=gone; register the host for live");
    if (!request.body.empty())
        return malformed("a change of state has a body", "send either a body or the query");
    auto changed = this->model.setHostState(id, *state);
    return succeeded(changed) ? emptyAnswer() : answerToError(errorOf(changed));
}

ServedAnswer RequestHandler::handleFaults(const ServedRequest& request)
{
    if (request.method == "GET")
        return jsonAnswer(this->model.faults());
    if (request.method != "PUT")
        return wrongMethod("GET, PUT");
    wire::PlatformFaults faults;
    if (auto error = parseJson(request.body, faults))
        return *error;
    auto changed = this->model.setFaults(faults);
    return succeeded(changed) ? jsonAnswer(this->model.faults()) : answerToError(errorOf(changed));
}

ServedAnswer RequestHandler::readStats(const ServedRequest& request)
{
    return request.method == "GET" ? jsonAnswer(this->model.stats()) : wrongMethod("GET");
}

}
