#include "platform/HttpPlatformClient.h"

#include "HttpCall.h"
#include "Protocol.h"

#include <cassert>
#include <google/protobuf/util/json_util.h>
#include <set>

namespace sequoia::platform {

namespace {

// The table service has a few hundred rows and the callers write them one at a time each; more connections
// would only queue at the platform.
constexpr int maxConnections = 32;
// The list of the design size, 500 nodes, has about 150 KiB.
constexpr std::size_t maxHostListBytes = 16 << 20;

// Covers an error in JSON.
constexpr std::size_t maxWriteAnswerBytes = 64 << 10;

constexpr unsigned statusTooManyRequests = 429;

Result<Success> checkWrite(std::string_view name, std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() > maxBytes)
        return Error { ErrorKind::InvalidArgument,
            std::to_string(bytes.size()) + " bytes are too many for " + std::string(name),
            "write at most " + std::to_string(maxBytes) + " bytes" };
    return checkName(name);
}

std::string escaped(std::string_view name)
{
    TextPointer text(g_uri_escape_string(std::string(name).c_str(), "/", FALSE));
    return text.get();
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

bool isClientError(unsigned status)
{
    return status >= 400 && status < 500;
}

//! The platform answers these only when it has done nothing.
bool isRefusal(unsigned status)
{
    return status == SOUP_STATUS_SERVICE_UNAVAILABLE || status == statusTooManyRequests;
}

std::string describe(const HttpRequest& request, const HttpAnswer& answer)
{
    return request.method + " " + request.uri + " was answered with status " + std::to_string(answer.status);
}

Error unavailable(std::string message)
{
    return { ErrorKind::Unavailable, std::move(message), "try again; check [platform] address and the platform" };
}

Error outcomeUnknown(std::string message)
{
    return { ErrorKind::OutcomeUnknown, std::move(message), "read to find out whether it was done" };
}

Error malformed(std::string message)
{
    return { ErrorKind::MalformedMessage, std::move(message), "check that [platform] address names the platform" };
}

Error invalidArgument(std::string message)
{
    return { ErrorKind::InvalidArgument, std::move(message), "check name and size of what is written or read" };
}

//! The error of an exchange that failed or was not answered with a success; nothing for a success.
std::optional<Error> errorOfRead(const HttpRequest& request, const HttpResult& result)
{
    if (const auto* failure = std::get_if<HttpFailure>(&result)) {
        auto text = request.method + " " + request.uri + ": " + failure->message;
        return failure->malformed ? malformed(text) : unavailable(text);
    }
    const auto& answer = std::get<HttpAnswer>(result);
    if (isSuccess(answer.status))
        return std::nullopt;
    if (isRefusal(answer.status) || answer.status >= 500)
        return unavailable(describe(request, answer));
    if (isClientError(answer.status))
        return invalidArgument(describe(request, answer));
    return malformed(describe(request, answer));
}

//! As errorOfRead(), for writes: whatever does not prove that nothing was done is OutcomeUnknown.
std::optional<Error> errorOfWrite(const HttpRequest& request, const HttpResult& result)
{
    if (const auto* failure = std::get_if<HttpFailure>(&result)) {
        auto text = request.method + " " + request.uri + ": " + failure->message;
        return failure->sent ? outcomeUnknown(text) : unavailable(text);
    }
    const auto& answer = std::get<HttpAnswer>(result);
    if (isSuccess(answer.status))
        return std::nullopt;
    if (isRefusal(answer.status))
        return unavailable(describe(request, answer));
    if (answer.status == SOUP_STATUS_PRECONDITION_FAILED)
        return Error { ErrorKind::Conflict, request.uri + " has another version than expected",
            "read it again and decide anew" };
    // 408 is sent by servers that lost patience, possibly with the request already passed on.
    if (isClientError(answer.status) && answer.status != SOUP_STATUS_REQUEST_TIMEOUT)
        return invalidArgument(describe(request, answer));
    return outcomeUnknown(describe(request, answer));
}

bool isNotFound(const HttpResult& result)
{
    const auto* answer = std::get_if<HttpAnswer>(&result);
    return answer && answer->status == SOUP_STATUS_NOT_FOUND;
}

Result<Row> toRow(const HttpRequest& request, HttpResult result)
{
    if (isNotFound(result))
        return Row {};
    if (auto error = errorOfRead(request, result))
        return *error;
    auto& answer = std::get<HttpAnswer>(result);
    auto version = parseEtag(answer.etag);
    if (!version)
        return malformed(request.uri + " was answered without a valid ETag");
    return Row { std::move(answer.body), *version };
}

Result<std::uint64_t> toVersion(const HttpRequest& request, const HttpResult& result)
{
    if (auto error = errorOfWrite(request, result))
        return *error;
    auto version = parseEtag(std::get<HttpAnswer>(result).etag);
    if (!version)
        return outcomeUnknown(request.uri + " was written, but the answer has no valid ETag");
    return *version;
}

Result<Success> toDone(const HttpRequest& request, const HttpResult& result)
{
    if (auto error = errorOfWrite(request, result))
        return *error;
    return Success {};
}

Result<std::string> toObject(const HttpRequest& request, HttpResult result)
{
    if (isNotFound(result))
        return Error { ErrorKind::NotFound, request.uri + " does not exist", "put the object first" };
    if (auto error = errorOfRead(request, result))
        return *error;
    return std::move(std::get<HttpAnswer>(result).body);
}

Result<wire::HostList> toHosts(const HttpRequest& request, const HttpResult& result)
{
    if (auto error = errorOfRead(request, result))
        return *error;
    wire::HostList hosts;
    google::protobuf::util::JsonParseOptions options;
    // A platform of a later version may send fields that this program does not know.
    options.ignore_unknown_fields = true;
    const auto& body = std::get<HttpAnswer>(result).body;
    auto status = google::protobuf::util::JsonStringToMessage(body, &hosts, options);
    if (!status.ok())
        return malformed(request.uri + " is no host list: " + status.ToString());
    return hosts;
}

}

HttpPlatformOptions HttpPlatformOptions::fromSettings(const settings::Settings& loaded)
{
    return { loaded.text("platform", "address"), loaded.duration("platform", "timeout") };
}

class HttpPlatformClient::Impl {
public:
    explicit Impl(HttpPlatformOptions options)
        : options(std::move(options))
        , context(g_main_context_ref_thread_default())
        , session(soup_session_new_with_options(
              "max-conns", maxConnections, "max-conns-per-host", maxConnections, "timeout", 0, nullptr))
    {
        // Proxies from the environment and content decoding would change what is sent and received.
        soup_session_set_proxy_resolver(this->session.get(), nullptr);
        soup_session_remove_feature_by_type(this->session.get(), SOUP_TYPE_CONTENT_DECODER);
    }

    ~Impl()
    {
        assert(g_main_context_is_owner(this->context));
        for (const auto& call : this->calls)
            call->drop();
        soup_session_abort(this->session.get());
        g_main_context_unref(this->context);
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    HttpRequest request(const char* method, std::string_view path, std::string_view name = {}) const
    {
        HttpRequest request;
        request.method = method;
        request.uri = "http://" + this->options.address + std::string(path) + escaped(name);
        return request;
    }

    template <typename T, typename Convert> void call(HttpRequest request, Convert convert, Callback<T> callback)
    {
        assert(g_main_context_is_owner(this->context));
        auto call = std::make_shared<HttpCall>(std::move(request),
            [this, convert, callback = std::move(callback)](
                const std::shared_ptr<HttpCall>& finished, HttpResult result) {
                // The callback may destroy the client, and this object with it.
                this->calls.erase(finished);
                callback(convert(finished->description(), std::move(result)));
            });
        this->calls.insert(call);
        call->start(this->session.get(), this->options.timeout);
    }

    //! Fails a call that is not sent, after it has returned.
    template <typename T> void reject(const Error& error, Callback<T> callback)
    {
        auto run = [alive = std::weak_ptr<bool>(this->alive), callback = std::move(callback), error] {
            if (!alive.expired())
                callback(error);
        };
        using Rejection = decltype(run);
        GSource* source = g_idle_source_new();
        g_source_set_priority(source, G_PRIORITY_DEFAULT);
        g_source_set_callback(
            source,
            [](gpointer data) -> gboolean {
                (*static_cast<Rejection*>(data))();
                return G_SOURCE_REMOVE;
            },
            new Rejection(std::move(run)), [](gpointer data) { delete static_cast<Rejection*>(data); });
        g_source_attach(source, this->context);
        g_source_unref(source);
    }

private:
    HttpPlatformOptions options;
    GMainContext* context;
    ObjectPointer<SoupSession> session;
    std::set<std::shared_ptr<HttpCall>> calls;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

HttpPlatformClient::HttpPlatformClient(HttpPlatformOptions options)
    : impl(std::make_unique<Impl>(std::move(options)))
{
}

HttpPlatformClient::~HttpPlatformClient() = default;

void HttpPlatformClient::readRow(const std::string& name, Callback<Row> callback)
{
    if (auto checked = checkName(name); !succeeded(checked)) {
        this->impl->reject(errorOf(checked), std::move(callback));
        return;
    }
    auto request = this->impl->request("GET", tablePath, name);
    request.maxAnswerBytes = maxRowBytes;
    request.lengthRequired = true;
    this->impl->call(std::move(request), toRow, std::move(callback));
}

void HttpPlatformClient::writeRow(
    const std::string& name, const std::string& value, std::uint64_t expectedVersion, Callback<std::uint64_t> callback)
{
    if (auto checked = checkWrite(name, value, maxRowBytes); !succeeded(checked)) {
        this->impl->reject(errorOf(checked), std::move(callback));
        return;
    }
    auto request = this->impl->request("PUT", tablePath, name);
    request.maxAnswerBytes = maxWriteAnswerBytes;
    request.body = value;
    if (expectedVersion == 0)
        request.headers.emplace_back("If-None-Match", "*");
    else
        request.headers.emplace_back("If-Match", formatEtag(expectedVersion));
    this->impl->call(std::move(request), toVersion, std::move(callback));
}

void HttpPlatformClient::putObject(const std::string& name, const std::string& bytes, Callback<Success> callback)
{
    if (auto checked = checkWrite(name, bytes, maxObjectBytes); !succeeded(checked)) {
        this->impl->reject(errorOf(checked), std::move(callback));
        return;
    }
    auto request = this->impl->request("PUT", objectsPath, name);
    request.maxAnswerBytes = maxWriteAnswerBytes;
    request.body = bytes;
    this->impl->call(std::move(request), toDone, std::move(callback));
}

void HttpPlatformClient::getObject(const std::string& name, Callback<std::string> callback)
{
    if (auto checked = checkName(name); !succeeded(checked)) {
        this->impl->reject(errorOf(checked), std::move(callback));
        return;
    }
    auto request = this->impl->request("GET", objectsPath, name);
    request.maxAnswerBytes = maxObjectBytes;
    request.lengthRequired = true;
    this->impl->call(std::move(request), toObject, std::move(callback));
}

void HttpPlatformClient::readHosts(Callback<wire::HostList> callback)
{
    auto request = this->impl->request("GET", hostsPath);
    request.maxAnswerBytes = maxHostListBytes;
    this->impl->call(std::move(request), toHosts, std::move(callback));
}

}
