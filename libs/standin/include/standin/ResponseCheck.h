#pragma once

#include "core/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoia::standin {

//! How a request of the load tool ended.
enum class Verdict {
    Served,
    Wrong, //!< short, foreign or altered response
    NotRun,
    Unknown,
};

struct Judgement {
    Verdict verdict;
    std::string reason; //!< empty when served
};

//! A complete HTTP response, apart from its body.
struct ResponseHead {
    unsigned status = 0;
    std::string outcome; //!< Sequoia-Outcome
    std::string requestId;
};

//! What a write must be answered with.
struct ExpectedWrite {
    std::uint64_t length;
    std::uint64_t hash;
    std::string key;
    std::string idempotencyKey;
};

//! Judges status and outcome; nothing when the response claims to be the answer, so that its body decides.
//! `sentRequestId` is empty when the router chooses the id.
std::optional<Judgement> judgeHead(const ResponseHead& head, std::string_view sentRequestId);

//! Judges the body of a response to a write.
Judgement judgeWriteBody(const std::string& body, const ExpectedWrite& expected);

}
