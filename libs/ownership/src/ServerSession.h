#pragma once

#include "Assignment.h"
#include "ownership/PartitionMachine.h"

#include <hosts.pb.h>
#include <map>
#include <optional>
#include <vector>

namespace sequoia::ownership {

//! Durations that all server sessions share.
struct SessionTiming {
    Duration leaseLength; //!< length of a server's lease on the server's clock
    Duration leaseWait; //!< time on the holder's clock after which such a lease has certainly expired
    Duration renewInterval;
    Duration routeWait; //!< route validity plus the longest request, for servers that do not check orders
};

//! Identity of the sender of grants, and the last sequence number that it used in its term.
struct GrantSender {
    std::string partition;
    std::string controller;
    std::uint64_t term = 0;
    std::uint64_t lastSequence = 0;
};

//! State that the holder keeps in one term about one backend server: its latest clock reading, the end of its lease,
//! and every slice that it may be serving.
class ServerSession {
public:
    ServerSession(std::string id, const SessionTiming& timing, TimePoint holderSince);

    const std::string& serverId() const { return this->id; }
    const wire::Host& hostEntry() const { return this->host; }
    void setHost(const wire::Host& entry, TimePoint now);
    //! Marks the server as certainly stopped until the host list shows another incarnation.
    void markGone();

    //! Returns the next grant or probe if one is due.
    std::optional<SendGrant> nextDueGrant(GrantSender& sender, TimePoint now);
    void onGrantAnswered(const GrantAnswered& message, TimePoint now);
    void onGrantFailed(std::uint64_t sequence);
    //! Drops the server's slices if its lease has expired. Returns whether it had any.
    bool expire(TimePoint now);

    bool isGone() const { return this->gone; }
    bool isFenced() const { return this->fenced; }
    //! Whether a grant of an older term can no longer let this server serve: it is fenced or gone, or its lease has
    //! expired.
    bool isFencedOrExpired(TimePoint now) const;
    //! Whether the lease has certainly expired. For a server without leases: whether it has not answered for as long.
    bool hasLeaseExpired(TimePoint now) const;
    //! Whether the server is fenced and has answered recently, so that a grant would take effect.
    bool isUsable(TimePoint now) const;
    //! Whether the server is usable and LIVE in the host list, so that it may be given more slices.
    bool isAssignable(TimePoint now) const;
    bool isLeaving() const { return this->host.state() == wire::HOST_STATE_LEAVING; }
    bool hasBeenLeavingFor(Duration duration, TimePoint now) const;

    //! Whether the server may start or still run requests for a part of the range.
    bool mayHold(const HashRange& range, TimePoint now) const;
    //! Whether the latest reply listed this assignment under a valid lease.
    bool reportsUnderLease(const Assignment& assignment) const;
    //! The highest epoch under which the latest reply listed the range, with or without a valid lease.
    std::optional<EpochValue> reportedEpoch(const HashRange& range) const;
    bool isReleasing(const HashRange& range) const;

    //! Set `confirmed` when the server is known to hold the assignment already.
    void add(const Assignment& assignment, bool confirmed);
    void drop(const HashRange& range);
    const Assignment* assigned(const HashRange& range) const;
    bool isConfirmed(const HashRange& range) const;
    std::vector<Assignment> assignments() const;
    //! Increases whenever the slices that the server holds or may hold change.
    std::uint64_t changeCount() const { return this->changes; }

    //! Sets the ranges that the published routes direct to this server.
    void setRouted(const std::vector<HashRange>& ranges, TimePoint now);
    //! The time from which no router uses a route to this server for the range.
    TimePoint routeEnd(const HashRange& range, TimePoint now) const;

private:
    struct Granted {
        Assignment assignment;
        std::uint64_t firstSequence = 0; //!< of the first grant with this assignment; 0 until sent
        bool confirmed = false;
    };
    struct Dropped {
        HashRange range;
        std::uint64_t firstSequence = 0; //!< of the first grant without this range; 0 until sent
    };
    struct Routed {
        HashRange range;
        std::optional<TimePoint> withdrawnAt;
    };

    void updateClockReading(const GrantAnswered& message, TimePoint now);
    void applyAcceptedReply(const wire::GrantReply& reply, std::uint64_t sequence);
    bool hasFreshClockReading(TimePoint now) const;
    bool isAwaitingConfirmation() const;
    bool wasRoutedRecently(const HashRange& range, TimePoint now) const;
    Duration interval(TimePoint now) const;
    wire::GrantRequest nextRequest(GrantSender& sender, TimePoint now);
    void setChanged();
    void addGrantedSlices(wire::GrantRequest& request);
    void dropAll();
    void forgetSlices();

    std::string id;
    SessionTiming timing;
    TimePoint holderSince;
    wire::Host host;
    std::optional<TimePoint> leavingSince;
    std::string goneIncarnation;

    std::string incarnation;
    std::int64_t serverClockMs = 0;
    TimePoint serverClockReceivedAt; //!< when serverClockMs was received
    TimePoint lastAnswerSentAt; //!< when the latest answered request was sent
    TimePoint leaseEnd;
    TimePoint blockedUntil; //!< until then an earlier process with this id may still have a lease

    std::uint64_t repliedSequence = 0;
    std::vector<Assignment> reportedHeld;
    std::vector<HashRange> reportedReleasing;
    std::map<KeyHash, Granted> granted; //!< by first hash
    std::vector<Dropped> dropped;
    std::vector<Routed> routed;

    std::uint64_t changes = 0;
    std::optional<TimePoint> lastSentAt;
    std::uint64_t lastSentSequence = 0;

    bool gone = false;
    bool fenced = false;
    bool isReportUnderLease = false; //!< whether the latest reply was given under a valid lease
    bool hasUnsentChanges = true; //!< whether the grants differ from the last one sent
    bool lastFailed = false;
};

}
