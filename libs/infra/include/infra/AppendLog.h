#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A record of a stream of the platform's log. */
struct LogRecord {
    int64_t offset = 0;
    int64_t timeMs = 0; /**< When the log appended it: Unix time in milliseconds, by the log's clock. */
    nlohmann::json data;

    bool operator==(const LogRecord&) const = default;
};

/** Consecutive records of a stream, and the range of offsets that the log holds. */
struct LogPage {
    int64_t firstOffset = 0; /**< Of the oldest record that is not trimmed. */
    int64_t nextOffset = 0; /**< That the next appended record gets. */
    std::vector<LogRecord> records;

    bool operator==(const LogPage&) const = default;
};

/**
 * The platform's append-only log.
 *
 * append(stream, record): @return the offset of the record; Unavailable if it was certainly not appended; any other error, usually
 *     Timeout, if it may have been.
 * read(stream, from, limit, wait): waits at most `wait` until there are records at or after the offset `from`. @return up to `limit`
 *     of them, perhaps none.
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
