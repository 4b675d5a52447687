#pragma once

#include <string>
#include <variant>

namespace sequoia {

enum class ErrorKind {
    InvalidArgument,
    InvalidSettings,
    NotFound,
    Conflict, //!< The version expected by a conditional write does not match.
    Unavailable, //!< The operation was certainly not executed and may be retried.
    OutcomeUnknown, //!< The operation may have been executed.
    DeadlineExceeded,
    MalformedMessage,
    Internal,
};

//! An error, with a message that describes it and a remedy that the operator can apply.
struct Error {
    ErrorKind kind;
    std::string message;
    std::string remedy;

    std::string toString() const;
};

//! Result of a successful operation that returns no value.
struct Success { };

//! Either a value or an Error.
template <typename T> using Result = std::variant<T, Error>;

template <typename T> bool succeeded(const Result<T>& result)
{
    return std::holds_alternative<T>(result);
}

template <typename T> const T& valueOf(const Result<T>& result)
{
    return std::get<T>(result);
}

template <typename T> T& valueOf(Result<T>& result)
{
    return std::get<T>(result);
}

template <typename T> const Error& errorOf(const Result<T>& result)
{
    return std::get<Error>(result);
}

}
