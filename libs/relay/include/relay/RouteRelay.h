#pragma once

#include "core/Clock.h"
#include "lease/LeaseMessages.h"

#include <control.pb.h>
#include <map>
#include <vector>

namespace sequoia::relay {

//! Number of a fetch request, chosen by the caller of RouteRelay.
using RequestId = std::uint64_t;

struct RelayReply {
    RequestId request = 0;
    wire::FetchRoutesReply reply;
};
using RelayReplies = std::vector<RelayReply>;

//! The newest route table of one partition that a controller knows, and the requests that wait for a newer one.
//! Pure: no socket and no clock of its own. A table is never replaced by a lower (term, version).
class RouteRelay {
public:
    explicit RouteRelay(Duration routeValidity);

    //! Answers at once when the table is newer than the one known to the requester, else after its wait_ms.
    RelayReplies onRequest(RequestId id, const wire::FetchRoutesRequest& request, TimePoint now);

    //! A table published by this process while it is the holder.
    RelayReplies onPublished(const wire::RouteTable& table, TimePoint now);

    //! The reply of another controller to `request`, which was sent at `askedAt`.
    RelayReplies onFetched(
        const wire::FetchRoutesRequest& request, const wire::FetchRoutesReply& reply, TimePoint askedAt, TimePoint now);

    //! Answers the requests whose wait has ended.
    RelayReplies onTick(TimePoint now);

    //! Answers all waiting requests; later ones are answered at once.
    RelayReplies onStop(TimePoint now);

    //! This process is the holder of `term` now: extends the validity of its own table.
    void confirm(std::uint64_t term, TimePoint now);

    //! Record and holder that replies carry.
    void setRecord(const lease::VersionedRecord& newest);
    void setHolder(const wire::Process& process);

    //! A request for what is newer than the known table.
    wire::FetchRoutesRequest nextRequest(Duration wait) const;

    const wire::RouteTable& table() const { return this->known; }
    std::size_t waiting() const { return this->requests.size(); }

private:
    struct WaitingRequest {
        wire::FetchRoutesRequest request;
        TimePoint end;
    };

    bool replace(const wire::RouteTable& table, TimePoint tableValidityEnd);
    wire::FetchRoutesReply replyTo(const wire::FetchRoutesRequest& request, TimePoint now) const;
    template <typename Condition> RelayReplies answer(Condition condition, TimePoint now);

    Duration routeValidity;
    wire::RouteTable known;
    TimePoint validityEnd;
    lease::VersionedRecord record;
    wire::Process holder;
    std::map<RequestId, WaitingRequest> requests;
    bool stopped = false;
};

}
