#pragma once

#include "core/KeyHash.h"
#include "core/Random.h"
#include "lease/LeaseMachine.h"
#include "lease/LeaseMessages.h"

#include <backend.pb.h>
#include <hosts.pb.h>
#include <memory>
#include <record.pb.h>
#include <string>
#include <variant>
#include <vector>

namespace sequoia::ownership {

struct PartitionOptions {
    lease::LeaseOptions lease;
    Duration serverLease = std::chrono::milliseconds(2000);
    Duration serverRenewInterval = std::chrono::milliseconds(400);
    Duration routeValidity = std::chrono::milliseconds(3000);
    Duration maxRequestDeadline = std::chrono::seconds(5);
    std::size_t slicesPerServer = 16;
};

struct Tick { };
using lease::EmitEvent;
using lease::PromiseAnswered;
using lease::ReadRecord;
using lease::RecordRead;
using lease::RecordWritten;
using lease::SendPromise;
using lease::WriteRecord;

//! A record, with its holder, received from another controller.
struct RecordCached {
    lease::VersionedRecord cached;
};

//! Sign of life of the holder: this process's witness renewed a promise to it, or it answered a fetch.
struct HolderSeen { };

struct GrantAnswered {
    std::string server;
    wire::GrantRequest request;
    wire::GrantReply reply;
    TimePoint sentAt;
};

struct GrantFailed {
    std::string server;
    std::uint64_t sequence = 0;
};

//! The host list as read from the platform.
struct HostsChanged {
    wire::HostList hosts;
};

//! An operator or the placement policy asks to move the slice that contains `hash`.
struct MoveRequested {
    KeyHash hash = 0;
    std::string target;
    std::string reason;
};

//! An operator confirms that a backend server is stopped for certain.
struct GoneConfirmed {
    std::string server;
    std::string reason;
    std::string author;
};

struct ShutdownRequested { };

using Input = std::variant<Tick, RecordRead, RecordWritten, RecordCached, HolderSeen, PromiseAnswered, GrantAnswered,
    GrantFailed, HostsChanged, MoveRequested, GoneConfirmed, ShutdownRequested>;

struct SendGrant {
    std::string server;
    std::string address;
    wire::GrantRequest request;
};

struct PublishRoutes {
    wire::RouteTable table;
};

using Output = std::variant<ReadRecord, WriteRecord, SendPromise, SendGrant, PublishRoutes, EmitEvent>;
using Outputs = std::vector<Output>;

//! Decides which backend server owns each slice of one partition (design, 4.1 and 4.2). Performs no I/O and reads no
//! clock: the caller passes inputs with the time and executes the outputs.
class PartitionMachine {
public:
    PartitionMachine(PartitionOptions options, RandomEngine& random);
    ~PartitionMachine();

    //! The caller passes a Tick at least every 50 ms.
    Outputs handle(const Input& input, TimePoint now);

    //! Whether the lease is valid now. The caller checks this again immediately before it executes a SendGrant or
    //! PublishRoutes.
    bool isHolder(TimePoint now) const;

    wire::PartitionStatus status(TimePoint now) const;
    const lease::VersionedRecord& record() const;
    const wire::RouteTable& routes() const;

private:
    class State;
    std::unique_ptr<State> state;
};

}
