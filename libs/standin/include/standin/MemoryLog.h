#pragma once

#include <infra/AppendLog.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace bronzeswitch {

/** Faults of the log stand-in. */
struct LogFaults {
    bool down = false; /**< Refuses every call without effect. */
    Duration delay { 0 }; /**< Added to every call. */
    int lostAnswers = 0; /**< So many next appends take effect and answer with Timeout. */

    bool operator==(const LogFaults&) const = default;
};

/** An append-only log in memory with fault switches; satisfies AppendLog. */
class MemoryLog {
public:
    Result<int64_t> append(const std::string& stream, const nlohmann::json& record);
    Result<LogPage> read(const std::string& stream, int64_t from, int limit, Duration wait);

    /** Replaces the faults in force. */
    void setFaults(const LogFaults&);

    /** Forgets the records of a stream before an offset. */
    void trim(const std::string& stream, int64_t first);

    /** Moves the log's clock forward, for records that are to look old. */
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
