#include "core/Error.h"

#include "core/EnumTable.h"

namespace sequoia {

namespace {

constexpr EnumTable<ErrorKind, 9> errorKindNames { {
    { ErrorKind::InvalidArgument, "invalid argument" },
    { ErrorKind::InvalidSettings, "invalid settings" },
    { ErrorKind::NotFound, "not found" },
    { ErrorKind::Conflict, "conflict" },
    { ErrorKind::Unavailable, "unavailable" },
    { ErrorKind::OutcomeUnknown, "outcome unknown" },
    { ErrorKind::DeadlineExceeded, "deadline exceeded" },
    { ErrorKind::MalformedMessage, "malformed message" },
    { ErrorKind::Internal, "internal error" },
} };

}

std::string Error::toString() const
{
    std::string text(nameOf(errorKindNames, this->kind));
    text += ": ";
    text += this->message;
    if (!this->remedy.empty()) {
        text += "; ";
        text += this->remedy;
    }
    return text;
}

}
