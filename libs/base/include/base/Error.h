#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace bronzeswitch {

/** Categories of failure; callers choose their reaction by them. */
enum class ErrorCode {
    InvalidArgument,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    Cancelled,
    Protocol,
    Stale,
    Exhausted,
};

/** @return the stable name of an error code in lower case with hyphens, such as "invalid-argument". */
const char* toString(ErrorCode);

/** A failure: a code for programs and a message for people. */
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string message;

    bool operator==(const Error&) const = default;
};

/** The value of a successful operation, or the error of a failed one. */
template <typename T> using Result = tl::expected<T, Error>;

/** Creates the error alternative of a Result. */
tl::unexpected<Error> fail(ErrorCode, std::string message);

/** One validation problem of an input. */
struct Finding {
    std::string place; /**< Where in the input the problem is, such as a file and line or an entry. */
    std::string message;

    bool operator==(const Finding&) const = default;
};

/** All validation problems of one input, collected so that they are reported together. */
using Findings = std::vector<Finding>;

/** Formats findings as text, one per line, each as "place: message". */
std::string format(const Findings&);

} // namespace bronzeswitch
