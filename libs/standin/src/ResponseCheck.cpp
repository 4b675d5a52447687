#include "standin/ResponseCheck.h"

#include <google/protobuf/util/json_util.h>
#include <standin.pb.h>

namespace sequoia::standin {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned firstErrorStatus = 400;

}

std::optional<Judgement> judgeHead(const ResponseHead& head, std::string_view sentRequestId)
{
    if (!sentRequestId.empty() && head.requestId != sentRequestId)
        return Judgement { Verdict::Wrong, "response has another request id" };
    if (head.requestId.empty())
        return Judgement { Verdict::Wrong, "response has no request id" };
    auto status = std::to_string(head.status);
    if (head.outcome == "answered") {
        if (head.status == statusOk)
            return std::nullopt;
        return Judgement { Verdict::Wrong, "answered with status " + status };
    }
    if (head.outcome != "not-run" && head.outcome != "unknown")
        return Judgement { Verdict::Wrong, "no valid outcome, status " + status };
    if (head.status < firstErrorStatus)
        return Judgement { Verdict::Wrong, "outcome " + head.outcome + " with status " + status };
    return Judgement { head.outcome == "not-run" ? Verdict::NotRun : Verdict::Unknown, "status " + status };
}

Judgement judgeWriteBody(const std::string& body, const ExpectedWrite& expected)
{
    wire::WriteAnswer answer;
    if (!google::protobuf::util::JsonStringToMessage(body, &answer).ok())
        return { Verdict::Wrong, "response to a write is malformed" };
    if (answer.key() != expected.key || answer.idempotency_key() != expected.idempotencyKey)
        return { Verdict::Wrong, "response to another write" };
    if (answer.length() != expected.length)
        return { Verdict::Wrong, "server received another length" };
    if (answer.hash() != expected.hash)
        return { Verdict::Wrong, "server received other bytes" };
    return { Verdict::Served, {} };
}

}
