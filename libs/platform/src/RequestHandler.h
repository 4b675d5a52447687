#pragma once

#include "platform/PlatformModel.h"

#include <map>
#include <optional>
#include <string>

namespace sequoia::platform {

//! A complete request; the path and the query are decoded.
struct ServedRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::optional<std::string> ifMatch;
    std::optional<std::string> ifNoneMatch;
    std::string body;
};

struct ServedAnswer {
    unsigned status = 200;
    std::string contentType;
    std::string body;
    std::string etag;
    std::string allow; //!< methods, with status 405
    Duration delay {};
    bool lost = false;
};

//! An answer with a PlatformError in JSON.
ServedAnswer errorAnswer(
    unsigned status, const std::string& code, const std::string& message, const std::string& remedy);

//! Maps requests of the platform's HTTP protocol to the model.
class RequestHandler {
public:
    explicit RequestHandler(PlatformModel& model)
        : model(model)
    {
    }

    ServedAnswer handle(const ServedRequest& request);

private:
    ServedAnswer handleRow(const ServedRequest& request, const std::string& name);
    ServedAnswer writeRow(const ServedRequest& request, const std::string& name);
    ServedAnswer handleObject(const ServedRequest& request, const std::string& name);
    ServedAnswer readHosts(const ServedRequest& request);
    ServedAnswer handleHost(const ServedRequest& request, const std::string& id);
    ServedAnswer putHost(const ServedRequest& request, const std::string& id);
    ServedAnswer putHostState(const ServedRequest& request, const std::string& id);
    ServedAnswer handleFaults(const ServedRequest& request);
    ServedAnswer readStats(const ServedRequest& request);

    PlatformModel& model;
};

}
