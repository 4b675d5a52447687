#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::http {

struct HeaderField {
    std::string name;
    std::string value;
};

//! Header fields in the order in which they were received. Names are compared without regard to case.
class Headers {
public:
    void add(std::string_view name, std::string_view value);
    //! Returns the first value of a field, or null if the field is absent.
    const std::string* find(std::string_view name) const;
    //! Whether the comma-separated list of a field has this element, compared without regard to case.
    bool hasToken(std::string_view name, std::string_view token) const;
    std::size_t count(std::string_view name) const;
    const std::vector<HeaderField>& all() const { return this->fields; }

private:
    std::vector<HeaderField> fields;
};

//! How the end of a body is determined (RFC 9112, section 6).
enum class BodyFraming {
    None,
    Length,
    Chunked,
    UntilClose,
};

//! Start line and header fields of a request or a response.
struct MessageHead {
    std::string method; //!< requests only
    std::string target; //!< requests only
    unsigned status = 0; //!< responses only
    bool keepAlive = true;
    BodyFraming framing = BodyFraming::None;
    std::uint64_t length = 0; //!< with BodyFraming::Length
    Headers headers;
};

bool equalsIgnoringCase(std::string_view left, std::string_view right);

//! Whether the field applies to a single connection and must not be forwarded; includes fields listed in `Connection`.
bool isHopByHop(const Headers& headers, std::string_view name);

//! Whether the value has no control characters except tab, so that it can be written as a header field value.
bool isHeaderSafe(std::string_view value);

//! Standard reason phrase of a status code.
std::string_view reasonPhrase(unsigned status);

}
