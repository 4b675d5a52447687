#pragma once

#include "GlibPointers.h"
#include "core/Clock.h"
#include "runtime/Task.h"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sequoia::platform {

struct HttpRequest {
    std::string method;
    std::string uri;
    std::vector<std::pair<std::string, std::string>> headers;
    std::optional<std::string> body;
    std::size_t maxAnswerBytes = 0;
    //! Whether a success without Content-Length is malformed.
    bool lengthRequired = false;
};

struct HttpAnswer {
    unsigned status = 0;
    std::string etag;
    std::string body;
};

//! How an exchange ended without a complete answer.
struct HttpFailure {
    bool sent = false; //!< whether any byte of the request may have reached the server
    bool malformed = false; //!< whether the answer violates HTTP or its size limit
    std::string message;
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

//! One HTTP exchange on the current task, with a time limit.
class HttpCall final : public std::enable_shared_from_this<HttpCall> {
public:
    using Callback = std::function<void(const std::shared_ptr<HttpCall>&, HttpResult)>;

    HttpCall(HttpRequest request, Callback callback);

    void start(SoupSession* session, Duration timeout);

    const HttpRequest& description() const { return this->request; }

    //! Ends the exchange without running the callback.
    void drop();

private:
    static void onSent(GObject* session, GAsyncResult* result, gpointer data);
    static void onRead(GObject* stream, GAsyncResult* result, gpointer data);

    gpointer retained();
    void readMore();
    void append(GBytes* chunk);
    void fail(const GError& error);
    void fail(bool malformed, std::string message);
    void finish(HttpResult result);

    HttpRequest request;
    Callback callback;
    HttpAnswer answer;
    bool started = false;
    bool timedOut = false;
    ObjectPointer<SoupMessage> message;
    ObjectPointer<GInputStream> stream;
    ObjectPointer<GCancellable> cancellable;
    std::unique_ptr<runtime::Timer> timer;
};

}
