#pragma once

#include "core/Error.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sequoia::platform {

class PlatformModel;

//! HTTP server of the platform's protocol in front of a PlatformModel. Created, run and destroyed on one task,
//! which also owns the model. Destruction closes the connections of unanswered requests.
class PlatformHttpService {
public:
    //! Listens on IP:port; port 0 lets the system choose.
    static Result<std::unique_ptr<PlatformHttpService>> start(const std::string& address, PlatformModel& model);
    ~PlatformHttpService();

    PlatformHttpService(const PlatformHttpService&) = delete;
    PlatformHttpService& operator=(const PlatformHttpService&) = delete;

    std::uint16_t port() const;

private:
    class Impl;
    explicit PlatformHttpService(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl;
};

}
