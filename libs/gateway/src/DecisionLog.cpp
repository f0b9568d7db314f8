#include <chrono>
#include <gateway/DecisionLog.h>
#include <net/Async.h>

namespace bronzeswitch {

DecisionLog::DecisionLog(std::string node, LineWriter& writer, int linesPerSecond)
    : m_node(std::move(node))
    , m_writer(writer)
    , m_linesPerSecond(linesPerSecond)
{
}

bool DecisionLog::acceptLine(const Event& event)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    if (second != m_currentSecond) {
        m_currentSecond = second;
        m_linesInSecond = 0;
    }
    return ++m_linesInSecond <= m_linesPerSecond || event.level != EventLevel::Info;
}

void DecisionLog::write(const Event& event, nlohmann::json fields)
{
    if (!acceptLine(event)) {
        ++m_dropped;
        return;
    }
    fields["time"] = unixMilliseconds();
    fields["node"] = m_node;
    fields["number"] = event.number;
    fields["event"] = event.name;
    fields["level"] = toString(event.level);
    if (dropped() > m_droppedReported) {
        m_droppedReported = dropped();
        fields["dropped"] = m_droppedReported;
    }
    m_writer.add(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace bronzeswitch
