#pragma once

#include "GlibPtr.h"

#include <libsoup/soup.h>
#include <map>
#include <memory>

namespace sequoia::standin {

//! Closes connections whose caller has closed them between two requests. libsoup 3.2.3 does not: it reads the end,
//! and keeps the descriptor until the server itself ends.
class IdleConnections {
public:
    explicit IdleConnections(SoupServer* soupServer);
    ~IdleConnections();

    IdleConnections(const IdleConnections&) = delete;
    IdleConnections& operator=(const IdleConnections&) = delete;

private:
    struct SourceRemove {
        void operator()(GSource* source) const;
    };

    //! The last message of an idle connection.
    struct Idle {
        ObjectPtr<SoupServerMessage> message;
        std::unique_ptr<GSource, SourceRemove> watch;
    };

    static void onStarted(SoupServer*, SoupServerMessage* message, gpointer self);
    static void onEnded(SoupServer*, SoupServerMessage* message, gpointer self);
    static void onDisconnected(SoupServerMessage* message, gpointer self);
    static gboolean onReadable(GSocket* socket, GIOCondition, gpointer self);
    void forget(GSocket* socket);

    ObjectPtr<SoupServer> server;
    std::map<GSocket*, Idle> idle;
};

}
