#pragma once

#include "GlibPtr.h"
#include "runtime/Task.h"
#include "standin/Targets.h"

#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoia::standin {

//! Grants each direct server its share of the hash space and renews the grants.
class DirectGrants {
public:
    DirectGrants(const std::vector<DirectServer>& servers, const std::vector<std::string>& services, Duration lease,
        std::uint64_t term);
    ~DirectGrants();

    DirectGrants(const DirectGrants&) = delete;
    DirectGrants& operator=(const DirectGrants&) = delete;

    //! The address of the server that owns a key.
    const std::string& addressFor(const std::string& service, KeyHash hash) const;
    std::string epochFor(const std::string& service, KeyHash hash) const;

    //! Starts to send grants; without this call the servers must serve without a grant.
    void start();
    bool allGranted() const;

private:
    struct Server {
        std::string address;
        std::string partition;
        wire::GrantedSlice slice;
        std::uint64_t sequence = 0;
        std::string incarnation;
        std::int64_t clockEcho = 0;
        bool granted = false;
        ObjectPtr<SoupMessage> message; //!< set while a grant is on its way
        DirectGrants* owner = nullptr;
    };

    const Server& serverFor(const std::string& service, KeyHash hash) const;
    void renew();
    void send(Server& server);
    static void onReply(GObject* session, GAsyncResult* result, gpointer server);
    static bool handleReply(Server& server, GBytes* body);

    std::uint64_t term;
    Duration leaseTime;
    std::vector<std::unique_ptr<Server>> servers;
    std::map<std::string, std::vector<Server*>> byService;
    ObjectPtr<SoupSession> session;
    ObjectPtr<GCancellable> cancellable;
    std::unique_ptr<runtime::Timer> timer;
};

}
