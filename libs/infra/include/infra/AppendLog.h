#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bronzeswitch {

/** One record of a stream of the platform's log. */
struct LogRecord {
    int64_t offset = 0;
    int64_t timeMs = 0; /**< When the log took it, milliseconds since the epoch by the log's clock. */
    nlohmann::json data;

    bool operator==(const LogRecord&) const = default;
};

/** A run of records, with the bounds of what the log holds. */
struct LogPage {
    int64_t firstOffset = 0; /**< Oldest offset that is still kept. */
    int64_t nextOffset = 0; /**< Offset that the next append will get. */
    std::vector<LogRecord> records;

    bool operator==(const LogPage&) const = default;
};

/**
 * The platform's append-only log.
 *
 * append: @return the offset of the record; Unavailable when it was surely not appended; Timeout when it may have been.
 * read: waits up to a time for records at or after an offset. @return what is there, which may be nothing.
 */
template <typename T>
concept AppendLog = requires(T& log, const std::string& stream, const nlohmann::json& record, int64_t from, int limit, Duration wait)
{
    {
        log.append(stream, record)
        } -> std::same_as<Result<int64_t>>;
    {
        log.read(stream, from, limit, wait)
        } -> std::same_as<Result<LogPage>>;
};

} // namespace bronzeswitch
