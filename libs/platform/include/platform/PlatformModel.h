#pragma once

#include "core/Clock.h"
#include "core/Error.h"
#include "core/Random.h"
#include "platform/Stores.h"

#include <deque>
#include <hosts.pb.h>
#include <map>
#include <optional>
#include <platform.pb.h>
#include <string>

namespace sequoia::platform {

//! How a read or write of the PlatformModel ends.
template <typename T> struct ModelAnswer {
    Result<T> result;
    Duration delay {}; //!< until the answer is to be sent
    bool lost = false; //!< the connection is to be closed instead of sending the answer
};

//! Logic of the stand-in for the platform: rows, objects, host list and faults, in memory. Not thread safe. Time
//! takes effect whenever a function is called.
class PlatformModel {
public:
    PlatformModel(const Clock& clock, RandomEngine random, Duration hostListLag);

    ModelAnswer<Row> readRow(const std::string& name);
    ModelAnswer<std::uint64_t> writeRow(
        const std::string& name, const std::string& value, std::uint64_t expectedVersion);
    ModelAnswer<std::string> getObject(const std::string& name);
    ModelAnswer<Success> putObject(const std::string& name, const std::string& bytes);
    ModelAnswer<wire::HostList> readHosts();

    //! Adds or replaces the host with this id. An unspecified state means live.
    Result<Success> setHost(wire::Host host);
    Result<Success> setHostState(const std::string& id, wire::HostState state);
    Result<Success> removeHost(const std::string& id);

    //! Replaces all faults; fails with InvalidArgument when one is out of range. Writes that are already to be
    //! handled late are not affected.
    Result<Success> setFaults(const wire::PlatformFaults& value);
    const wire::PlatformFaults& faults() const { return this->currentFaults; }
    wire::PlatformStats stats();

private:
    //! Times of the operations of the last second that a rate limit let pass.
    using RecentTimes = std::deque<TimePoint>;
    enum class WriteFate {
        Answered,
        Lost,
        Late,
    };
    //! A row write, or an object write when it has no expected version.
    struct Write {
        std::string name;
        std::string value;
        std::optional<std::uint64_t> expectedVersion;
    };
    struct HostChange {
        TimePoint time;
        wire::HostList list;
    };

    void catchUp();
    void publishHosts();
    std::optional<Error> refusal(RecentTimes& recent, std::uint32_t perSecond) const;
    std::optional<Error> beginRead();
    bool draw(double probability);
    WriteFate drawFate();
    ModelAnswer<std::uint64_t> handleWrite(Write write);
    Result<std::uint64_t> apply(const Write& write);
    void recordHosts(wire::HostList list);
    const wire::HostList& registered() const;
    Duration delay() const;

    const Clock& clock;
    RandomEngine random;
    Duration hostListLag;
    wire::PlatformFaults currentFaults;
    wire::PlatformStats counts;
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    std::multimap<TimePoint, Write> lateWrites;
    RecentTimes recentReads;
    RecentTimes recentWrites;
    wire::HostList visibleHosts;
    std::deque<HostChange> hostChanges;
};

}
