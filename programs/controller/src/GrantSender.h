#pragma once

#include "core/Clock.h"
#include "core/Error.h"

#include <backend.pb.h>
#include <functional>
#include <libsoup/soup.h>
#include <string>

namespace sequoia::controller {

//! Sends grants to backend servers over HTTP. Created, used and destroyed on one task.
class GrantSender {
public:
    using Callback = std::function<void(Result<wire::GrantReply>)>;

    explicit GrantSender(Duration timeout);
    //! Ends the calls in progress; their callbacks run with an error.
    ~GrantSender();

    GrantSender(const GrantSender&) = delete;
    GrantSender& operator=(const GrantSender&) = delete;

    void send(const std::string& address, const wire::GrantRequest& request, Callback callback);

private:
    struct Call;
    static void onAnswered(GObject* source, GAsyncResult* result, gpointer data);

    Duration timeout;
    SoupSession* session;
    std::size_t active = 0;
};

}
