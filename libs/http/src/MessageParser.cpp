#include "http/MessageParser.h"

// Avoids linking the boost.system library.
#define BOOST_ERROR_CODE_HEADER_ONLY
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>

namespace sequoia::http {

namespace {

namespace beast = boost::beast;

Error malformed(const std::string& reason)
{
    return Error { ErrorKind::MalformedMessage, "malformed HTTP message: " + reason,
        "check that the peer sends HTTP/1.1 with a valid length or chunks" };
}

//! Builds a MessageHead and a body from the callbacks of the Beast parser. Requests and responses share this class,
//! because only the start line differs.
template <bool isRequest> class Collector final : public beast::http::basic_parser<isRequest> {
public:
    MessageHead head;
    std::string* body = nullptr;

private:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target, int version,
        beast::error_code& error) override
    {
        this->head.method.assign(method.data(), method.size());
        this->head.target.assign(target.data(), target.size());
        if (version != 11)
            error = beast::http::error::bad_version;
    }

    void on_response_impl(int status, beast::string_view, int version, beast::error_code& error) override
    {
        this->head.status = static_cast<unsigned>(status);
        if (version != 11)
            error = beast::http::error::bad_version;
    }

    void on_field_impl(
        beast::http::field, beast::string_view name, beast::string_view value, beast::error_code&) override
    {
        this->head.headers.add({ name.data(), name.size() }, { value.data(), value.size() });
    }

    void on_header_impl(beast::error_code& error) override
    {
        // Beast ignores transfer codings that it does not know. Transfer-Encoding is not forwarded, so the receiver
        // would read the body with a different length, or would not learn of a coding that it has to decode.
        const auto* coding = this->head.headers.find("Transfer-Encoding");
        bool isOnlyChunked = coding && equalsIgnoringCase(*coding, "chunked")
            && this->head.headers.count("Transfer-Encoding") == 1 && !this->head.headers.find("Content-Length");
        if (coding && !isOnlyChunked) {
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        this->head.keepAlive = this->keep_alive();
        auto length = this->content_length();
        if (this->chunked())
            this->head.framing = BodyFraming::Chunked;
        else if (length) {
            this->head.framing = BodyFraming::Length;
            this->head.length = *length;
        } else if (this->need_eof())
            this->head.framing = BodyFraming::UntilClose;
        else
            this->head.framing = BodyFraming::None;
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const&, beast::error_code&) override { }

    std::size_t on_body_impl(beast::string_view bytes, beast::error_code&) override
    {
        this->body->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, beast::error_code&) override
    {
        this->body->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(beast::error_code&) override { }
};

}

class MessageParser::Implementation {
public:
    virtual ~Implementation() = default;
    virtual Result<std::size_t> parse(std::string_view bytes, std::string& body) = 0;
    virtual Result<Success> finish() = 0;
    virtual bool isHeadComplete() const = 0;
    virtual bool complete() const = 0;
    virtual const MessageHead& head() const = 0;
    virtual void expectNoBody() = 0;
};

namespace {

template <bool isRequest> class Parser final : public MessageParser::Implementation {
public:
    explicit Parser(std::uint32_t headerLimit)
    {
        this->collector.eager(true);
        this->collector.header_limit(headerLimit);
        // The user of the parser limits the body.
        this->collector.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    Result<std::size_t> parse(std::string_view bytes, std::string& body) override
    {
        this->collector.body = &body;
        beast::error_code error;
        std::size_t consumed = 0;
        // A call of put() may return after the header block or after a chunk, even with eager parsing.
        while (!this->collector.is_done() && consumed < bytes.size()) {
            auto rest = bytes.substr(consumed);
            std::size_t taken = this->collector.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
            consumed += taken;
            if (error == beast::http::error::need_more || (!error && taken == 0))
                break;
            if (error == beast::http::error::header_limit)
                return Error { ErrorKind::InvalidArgument, "the header block is longer than the limit",
                    "send fewer or shorter header fields" };
            if (error)
                return malformed(error.message());
        }
        return consumed;
    }

    Result<Success> finish() override
    {
        if (this->collector.is_done())
            return Success {};
        beast::error_code error;
        if (!this->collector.is_header_done())
            return malformed("ended within its header");
        this->collector.put_eof(error);
        if (error)
            return malformed(error.message());
        return Success {};
    }

    bool isHeadComplete() const override { return this->collector.is_header_done(); }
    bool complete() const override { return this->collector.is_done(); }
    const MessageHead& head() const override { return this->collector.head; }
    void expectNoBody() override { this->collector.skip(true); }

private:
    Collector<isRequest> collector;
};

}

MessageParser::MessageParser(MessageType type, std::uint32_t headerLimit)
{
    if (type == MessageType::Request)
        this->implementation = std::make_unique<Parser<true>>(headerLimit);
    else
        this->implementation = std::make_unique<Parser<false>>(headerLimit);
}

MessageParser::~MessageParser() = default;

Result<std::size_t> MessageParser::parse(std::string_view bytes, std::string& body)
{
    return this->implementation->parse(bytes, body);
}

Result<Success> MessageParser::finish()
{
    return this->implementation->finish();
}

bool MessageParser::isHeadComplete() const
{
    return this->implementation->isHeadComplete();
}

bool MessageParser::complete() const
{
    return this->implementation->complete();
}

const MessageHead& MessageParser::head() const
{
    return this->implementation->head();
}

void MessageParser::expectNoBody()
{
    this->implementation->expectNoBody();
}

}
