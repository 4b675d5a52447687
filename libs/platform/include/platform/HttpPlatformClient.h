#pragma once

#include "core/Clock.h"
#include "platform/Stores.h"
#include "settings/Settings.h"

#include <memory>

namespace sequoia::platform {

struct HttpPlatformOptions {
    std::string address; //!< IP:port
    Duration timeout = std::chrono::seconds(1); //!< of one call, from its start to the last byte of the answer

    //! Address and timeout of the section `platform`.
    static HttpPlatformOptions fromSettings(const settings::Settings& loaded);
};

//! The platform's services over HTTP. Created, used and destroyed on one task. Destruction drops the calls in
//! progress without running their callbacks.
class HttpPlatformClient final : public TableStore, public ObjectStore, public HostDirectory {
public:
    explicit HttpPlatformClient(HttpPlatformOptions options);
    ~HttpPlatformClient() override;

    HttpPlatformClient(const HttpPlatformClient&) = delete;
    HttpPlatformClient& operator=(const HttpPlatformClient&) = delete;

    void readRow(const std::string& name, Callback<Row> callback) override;
    void writeRow(const std::string& name, const std::string& value, std::uint64_t expectedVersion,
        Callback<std::uint64_t> callback) override;
    void putObject(const std::string& name, const std::string& bytes, Callback<Success> callback) override;
    void getObject(const std::string& name, Callback<std::string> callback) override;
    void readHosts(Callback<wire::HostList> callback) override;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

}
