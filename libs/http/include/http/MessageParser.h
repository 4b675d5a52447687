#pragma once

#include "core/Error.h"
#include "http/MessageHead.h"

#include <memory>
#include <string>
#include <string_view>

namespace sequoia::http {

enum class MessageType {
    Request,
    Response,
};

//! Strict incremental parser of one HTTP/1.1 message. Decodes chunked bodies.
class MessageParser {
public:
    //! `headerLimit` is the maximum size of the header block in bytes.
    MessageParser(MessageType type, std::uint32_t headerLimit);
    ~MessageParser();

    MessageParser(const MessageParser&) = delete;
    MessageParser& operator=(const MessageParser&) = delete;

    //! Parses bytes, appends decoded body bytes to `body`, and returns the number of bytes consumed. The caller passes
    //! the unconsumed bytes again together with those that follow. Errors: InvalidArgument if the header block exceeds
    //! the limit, MalformedMessage.
    Result<std::size_t> parse(std::string_view bytes, std::string& body);

    //! Signals that the peer closed the connection. Fails unless the end of the connection can end the message.
    Result<Success> finish();

    bool isHeadComplete() const;
    bool complete() const;
    const MessageHead& head() const;

    //! To be called before parsing the response to a HEAD request, which has no body.
    void expectNoBody();

    //! Hides the parser library from this header.
    class Implementation;

private:
    std::unique_ptr<Implementation> implementation;
};

}
