#pragma once

#include "GlibPtr.h"
#include "runtime/Task.h"
#include "standin/Behaviour.h"
#include "timeline/EventLog.h"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>

namespace sequoia::standin {

//! Keeps the stand-in's entry in the host list of the platform stand-in; repeats each call until it succeeds.
class Registration {
public:
    Registration(const StandInOptions& options, const std::string& address, timeline::EventLog& events);
    ~Registration();

    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    //! Sets the host to leaving; calls `done` when the platform has confirmed.
    void leave(std::function<void()> done);

private:
    void put(const std::string& url, const std::string& body);
    void finished();

    timeline::EventLog& events;
    std::string url;
    ObjectPtr<SoupSession> session;
    ObjectPtr<GCancellable> cancellable;
    ObjectPtr<SoupMessage> message;
    std::unique_ptr<runtime::Timer> retry;
    std::function<void()> onSuccess;
    std::string currentUrl;
    std::string currentBody;
};

}
