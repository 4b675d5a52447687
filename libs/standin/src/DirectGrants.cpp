#include "DirectGrants.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace sequoia::standin {

namespace {

// Several renewals fit into one lease, so that a single slow reply does not end it.
constexpr int renewalsPerLease = 5;
constexpr guint callTimeoutSeconds = 2;

}

DirectGrants::DirectGrants(const std::vector<DirectServer>& direct, const std::vector<std::string>& services,
    Duration lease, std::uint64_t grantTerm)
    : term(grantTerm)
    , leaseTime(lease)
    , session(soup_session_new_with_options("timeout", callTimeoutSeconds, nullptr))
    , cancellable(g_cancellable_new())
{
    for (const auto& entry : direct) {
        auto server = std::make_unique<Server>();
        server->address = entry.address;
        server->partition = entry.service;
        server->owner = this;
        for (const auto& service : services) {
            if (entry.service.empty() || entry.service == service)
                this->byService[service].push_back(server.get());
        }
        this->servers.push_back(std::move(server));
    }
    for (auto& [service, owners] : this->byService) {
        DirectSlices slices(owners.size());
        for (std::size_t index = 0; index < owners.size(); ++index)
            owners[index]->slice = slices.slice(index, grantTerm);
    }
}

DirectGrants::~DirectGrants()
{
    // The callback of a call in progress sees the cancellation and touches nothing.
    g_cancellable_cancel(this->cancellable.get());
}

const DirectGrants::Server& DirectGrants::serverFor(const std::string& service, KeyHash hash) const
{
    const auto& owners = this->byService.at(service);
    return *owners[DirectSlices(owners.size()).ownerOf(hash)];
}

const std::string& DirectGrants::addressFor(const std::string& service, KeyHash hash) const
{
    return this->serverFor(service, hash).address;
}

std::string DirectGrants::epochFor(const std::string& service, KeyHash hash) const
{
    const auto& epoch = this->serverFor(service, hash).slice.epoch();
    return std::to_string(epoch.term()) + "." + std::to_string(epoch.sequence());
}

void DirectGrants::start()
{
    this->timer = std::make_unique<runtime::Timer>(
        this->leaseTime / renewalsPerLease, runtime::Timer::Repeat::Always, [this] { this->renew(); });
    this->renew();
}

bool DirectGrants::allGranted() const
{
    return std::all_of(this->servers.begin(), this->servers.end(), [](const auto& server) { return server->granted; });
}

void DirectGrants::renew()
{
    for (auto& server : this->servers) {
        if (!server->message)
            this->send(*server);
    }
}

void DirectGrants::send(Server& server)
{
    wire::GrantRequest request;
    request.set_partition(server.partition);
    request.set_term(this->term);
    request.set_sequence(++server.sequence);
    request.set_controller("load");
    // The first contact carries no slices: without a reading of the server's clock it cannot grant a lease.
    if (!server.incarnation.empty()) {
        request.set_incarnation(server.incarnation);
        request.set_clock_echo_ms(server.clockEcho);
        request.set_lease_ms(toMillis(this->leaseTime));
        *request.add_slices() = server.slice;
    }
    std::string body;
    [[maybe_unused]] auto status = google::protobuf::util::MessageToJsonString(request, &body);
    server.message.reset(soup_message_new("POST", ("http://" + server.address + "/control/v1/grant").c_str()));
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(server.message.get(), "application/json", bytes);
    g_bytes_unref(bytes);
    soup_session_send_and_read_async(
        this->session.get(), server.message.get(), G_PRIORITY_HIGH, this->cancellable.get(), onReply, &server);
}

void DirectGrants::onReply(GObject* source, GAsyncResult* result, gpointer data)
{
    GError* error = nullptr;
    GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
    ErrorPtr owned(error);
    if (error && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
        return;
    auto& server = *static_cast<Server*>(data);
    bool sendAgain = body && handleReply(server, body);
    if (body)
        g_bytes_unref(body);
    server.message.reset();
    if (sendAgain)
        server.owner->send(server);
}

bool DirectGrants::handleReply(Server& server, GBytes* body)
{
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
    wire::GrantReply reply;
    if (!google::protobuf::util::JsonStringToMessage(std::string(data, size), &reply).ok())
        return false;
    bool newIncarnation = reply.incarnation() != server.incarnation;
    server.incarnation = reply.incarnation();
    server.clockEcho = reply.clock_ms();
    server.granted = reply.outcome() == wire::GRANT_OUTCOME_ACCEPTED && reply.held_size() > 0;
    return newIncarnation;
}

}
