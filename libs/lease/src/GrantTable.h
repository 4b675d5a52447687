#pragma once

#include "core/Clock.h"

#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <optional>
#include <record.pb.h>
#include <string>

namespace sequoia::lease {

using WitnessList = google::protobuf::RepeatedPtrField<wire::Process>;

std::size_t majorityOf(const WitnessList& witnesses);
bool contains(const WitnessList& witnesses, const std::string& incarnation);

//! What the witnesses have granted in the current term.
class GrantTable {
public:
    void clear();
    void add(const std::string& witness, TimePoint sentAt, std::uint64_t generation, std::uint64_t recordVersion);

    std::size_t count(const WitnessList& witnesses) const;

    //! The latest time T such that a majority has granted a request that was sent at T or later.
    std::optional<TimePoint> majoritySentAt(const WitnessList& witnesses) const;

    //! Whether a majority has granted with at least this generation and record version.
    bool hasMajorityAt(const WitnessList& witnesses, std::uint64_t generation, std::uint64_t recordVersion) const;

    std::optional<TimePoint> lastSentAt(const std::string& witness) const;

private:
    struct Grant {
        TimePoint sentAt;
        std::uint64_t generation = 0;
        std::uint64_t recordVersion = 0;
    };

    std::map<std::string, Grant> grants;
};

}
