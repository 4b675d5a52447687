#pragma once

#include "balance/OwnerLookup.h"
#include "core/Error.h"

#include <map>
#include <peer.pb.h>
#include <string>
#include <vector>

namespace sequoia::coordination {

//! The owners of the keys of each service, as last received from the coordinator. Used while the coordinator does not
//! respond.
class KeyPlanCache final : public balance::OwnerLookup {
public:
    //! Applies the encoded buckets of a service. A malformed bucket is refused and the former one kept.
    Result<Success> update(const std::string& service, const std::vector<std::string>& buckets);

    //! Keys of a service of which nothing has been received yet count as moving.
    balance::Owner ownerOf(std::string_view service, fleet::Key key) const override;
    bool knows(const std::string& service) const { return this->bucketsByService.contains(service); }
    std::uint64_t ownerVersion() const override { return this->version; }

private:
    struct Bucket {
        std::string encoded;
        wire::OwnedRanges ranges;
    };

    std::map<std::string, std::vector<Bucket>, std::less<>> bucketsByService;
    std::uint64_t version = 0;
};

}
