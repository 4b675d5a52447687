#pragma once

#include "core/Error.h"
#include "core/KeyHash.h"

#include <backend.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::standin {

//! Elements of a list separated by commas, without empty ones.
std::vector<std::string> splitList(std::string_view text);

//! Accepts IP:port of this machine's loopback interface only.
Result<Success> checkLoopback(const std::string& address);

//! A backend server that the load tool uses without a router.
struct DirectServer {
    std::string service; //!< empty for all services
    std::string address;
};

//! Parses `address` or `service=address`.
Result<std::vector<DirectServer>> parseDirect(std::string_view list);

//! Divides the hash space of one service evenly between its servers.
class DirectSlices {
public:
    explicit DirectSlices(std::size_t servers);

    std::size_t ownerOf(KeyHash hash) const;

    //! The slice of one server; its epoch is (term, server + 1).
    wire::GrantedSlice slice(std::size_t server, std::uint64_t term) const;

private:
    std::size_t count;
    std::uint64_t width; //!< of all slices but the last
};

}
