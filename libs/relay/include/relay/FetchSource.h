#pragma once

#include <control.pb.h>
#include <optional>
#include <string>
#include <vector>

namespace sequoia::relay {

//! Chooses the controller to fetch routes from: the holder while it is known and answers, else the others in turn.
class FetchSource {
public:
    explicit FetchSource(std::string selfAddress);

    //! Addresses of all controllers; the own one is ignored.
    void setPeers(const std::vector<std::string>& addresses);

    //! The holder named by a record of a newer version.
    void onRecord(const wire::Process& recordedHolder);

    //! Takes in a reply; true when the process asked is itself the holder.
    bool onReply(const std::string& asked, const wire::FetchRoutesReply& reply);
    void onFailure(const std::string& asked);

    //! The address to ask next, if any controller is known.
    std::optional<std::string> next();

    //! Without incarnation while unknown.
    const wire::Process& holder() const { return this->knownHolder; }

private:
    void learn(const wire::Process& process);

    std::string self;
    std::vector<std::string> peers;
    std::size_t cursor = 0;
    wire::Process knownHolder;
    std::string failedHolder;
};

}
