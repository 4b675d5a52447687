#include "IdleConnections.h"

#include <cerrno>
#include <sys/socket.h>

namespace sequoia::standin {

IdleConnections::IdleConnections(SoupServer* soupServer)
    : server(takeReference(soupServer))
{
    g_signal_connect(soupServer, "request-started", G_CALLBACK(onStarted), this);
    g_signal_connect(soupServer, "request-finished", G_CALLBACK(onEnded), this);
    g_signal_connect(soupServer, "request-aborted", G_CALLBACK(onEnded), this);
}

IdleConnections::~IdleConnections()
{
    g_signal_handlers_disconnect_by_data(this->server.get(), this);
    while (!this->idle.empty())
        this->forget(this->idle.begin()->first);
}

void IdleConnections::SourceRemove::operator()(GSource* source) const
{
    g_source_destroy(source);
    g_source_unref(source);
}

void IdleConnections::onStarted(SoupServer*, SoupServerMessage* message, gpointer self)
{
    static_cast<IdleConnections*>(self)->forget(soup_server_message_get_socket(message));
}

void IdleConnections::onEnded(SoupServer*, SoupServerMessage* message, gpointer self)
{
    auto* socket = soup_server_message_get_socket(message);
    if (!socket || g_socket_is_closed(socket))
        return;
    auto* connections = static_cast<IdleConnections*>(self);
    connections->forget(socket);
    g_signal_connect(message, "disconnected", G_CALLBACK(onDisconnected), self);
    GSource* watch = g_socket_create_source(socket, G_IO_IN, nullptr);
    GSocketSourceFunc readable = onReadable;
    g_source_set_callback(watch, G_SOURCE_FUNC(readable), self, nullptr);
    // Before libsoup's own source, which would read the end and leave nothing to see.
    g_source_set_priority(watch, G_PRIORITY_HIGH);
    g_source_attach(watch, g_main_context_get_thread_default());
    Idle entry;
    entry.message = takeReference(message);
    entry.watch.reset(watch);
    connections->idle.insert_or_assign(socket, std::move(entry));
}

void IdleConnections::onDisconnected(SoupServerMessage* message, gpointer self)
{
    static_cast<IdleConnections*>(self)->forget(soup_server_message_get_socket(message));
}

gboolean IdleConnections::onReadable(GSocket* socket, GIOCondition, gpointer self)
{
    auto* connections = static_cast<IdleConnections*>(self);
    auto found = connections->idle.find(socket);
    if (found == connections->idle.end())
        return G_SOURCE_REMOVE;
    char byte = 0;
    auto count = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool nothingYet = count < 0 && (errno == EAGAIN || errno == EINTR);
    if (nothingYet)
        return G_SOURCE_CONTINUE;
    auto message = std::move(found->second.message);
    g_signal_handlers_disconnect_by_data(message.get(), self);
    connections->idle.erase(found);
    // Taking the connection from libsoup here crashed a process that had been paused, when several events of one
    // connection were pending. Closing the socket lets libsoup see the error by itself.
    if (count <= 0)
        g_socket_close(socket, nullptr);
    return G_SOURCE_REMOVE;
}

void IdleConnections::forget(GSocket* socket)
{
    auto found = this->idle.find(socket);
    if (found == this->idle.end())
        return;
    auto message = std::move(found->second.message);
    g_signal_handlers_disconnect_by_data(message.get(), this);
    this->idle.erase(found);
}

}
