#pragma once

#include <infra/AppendLog.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace bronzeswitch {

/** Faults that a MemoryLog injects. */
struct LogFaults {
    bool down = false; /**< Every call fails without effect. */
    Duration delay { 0 }; /**< Delay before each call. */
    int lostAnswers = 0; /**< Number of next appends that take effect but fail with ErrorCode::Timeout. */

    bool operator==(const LogFaults&) const = default;
};

/** An append-only log in memory that can inject faults. Satisfies the concept AppendLog. */
class MemoryLog {
public:
    /** Appends a record. @return its offset. */
    Result<int64_t> append(const std::string& stream, const nlohmann::json& record);

    /** Reads records from an offset on. @param limit largest number of records. @param wait how long to wait for the first one. */
    Result<LogPage> read(const std::string& stream, int64_t from, int limit, Duration wait);

    /** Replaces the injected faults. */
    void setFaults(const LogFaults&);

    /** Removes the records of a stream before an offset. */
    void trim(const std::string& stream, int64_t first);

    /** Moves the clock forward that stamps new records, so that earlier records appear older. */
    void advanceClock(Duration);

    /** @return the number of appends that took effect. */
    int64_t appendCount() const;

private:
    struct Stream {
        int64_t first = 1;
        std::deque<LogRecord> records;

        int64_t next() const { return first + static_cast<int64_t>(records.size()); }
    };

    int64_t nowMs() const;

    /** Waits for the injected delay. @return false if the log is down. */
    bool beginCall();

    mutable std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, Stream> m_streams;
    LogFaults m_faults;
    Duration m_clockOffset { 0 };
    int64_t m_appendCount = 0;
};

static_assert(AppendLog<MemoryLog>);

} // namespace bronzeswitch
