#include <algorithm>
#include <standin/MemoryLog.h>
#include <thread>

namespace bronzeswitch {

int64_t MemoryLog::nowMs() const
{
    const auto now = std::chrono::system_clock::now().time_since_epoch() + m_clockOffset;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool MemoryLog::beginCall()
{
    Duration delay { 0 };
    {
        std::lock_guard lock(m_mutex);
        delay = m_faults.delay;
    }
    if (delay.count())
        std::this_thread::sleep_for(delay);
    std::lock_guard lock(m_mutex);
    return !m_faults.down;
}

Result<int64_t> MemoryLog::append(const std::string& stream, const nlohmann::json& record)
{
    if (!beginCall())
        return fail(ErrorCode::Unavailable, "log is down");
    std::lock_guard lock(m_mutex);
    auto& target = m_streams[stream];
    const auto offset = target.next();
    target.records.push_back({ offset, nowMs(), record });
    ++m_appendCount;
    m_appended.notify_all();
    if (m_faults.lostAnswers > 0) {
        --m_faults.lostAnswers;
        return fail(ErrorCode::Timeout, "answer lost");
    }
    return offset;
}

Result<LogPage> MemoryLog::read(const std::string& stream, int64_t from, int limit, Duration wait)
{
    if (!beginCall())
        return fail(ErrorCode::Unavailable, "log is down");
    std::unique_lock lock(m_mutex);
    auto& source = m_streams[stream];
    m_appended.wait_for(lock, wait, [&] { return source.next() > from || m_faults.down; });
    if (m_faults.down)
        return fail(ErrorCode::Unavailable, "log is down");
    LogPage page { source.first, source.next(), {} };
    for (auto offset = std::max(from, source.first); offset < page.nextOffset && static_cast<int>(page.records.size()) < limit; ++offset)
        page.records.push_back(source.records[static_cast<size_t>(offset - source.first)]);
    return page;
}

void MemoryLog::setFaults(const LogFaults& faults)
{
    std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_appended.notify_all();
}

void MemoryLog::trim(const std::string& stream, int64_t first)
{
    std::lock_guard lock(m_mutex);
    auto& target = m_streams[stream];
    while (target.first < first && !target.records.empty()) {
        target.records.pop_front();
        ++target.first;
    }
}

void MemoryLog::advanceClock(Duration duration)
{
    std::lock_guard lock(m_mutex);
    m_clockOffset += duration;
}

int64_t MemoryLog::appendCount() const
{
    std::lock_guard lock(m_mutex);
    return m_appendCount;
}

} // namespace bronzeswitch
