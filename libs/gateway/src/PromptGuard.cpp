#include <algorithm>
#include <gateway/PromptGuard.h>
#include <net/Async.h>

namespace bronzeswitch {

namespace {

constexpr int maxLossReportsPerSecond = 20; // A data centre may lose all of its engines at once; a few losses suffice.

nlohmann::json describe(const std::vector<QuarantineEntry>& entries)
{
    auto list = nlohmann::json::array();
    for (const auto& entry : entries)
        list.push_back({ { "parts", entry.parts }, { "generation", entry.generation }, { "remainingMs", entry.remainingMs } });
    return list;
}

} // namespace

PromptGuard::PromptGuard(DecisionLog& log)
    : m_log(log)
{
}

PromptGuard::Generations PromptGuard::generationsOf(const std::vector<QuarantineEntry>& entries)
{
    Generations result;
    for (const auto& entry : entries)
        result[entry.parts] = entry.generation;
    return result;
}

void PromptGuard::connect(Callbacks callbacks) { m_callbacks = std::move(callbacks); }

std::optional<Duration> PromptGuard::remaining(const std::vector<std::string>& parts) const
{
    return m_quarantine.remaining(parts, monotonicNow());
}

bool PromptGuard::isSuspect(const std::vector<std::string>& parts) const { return m_quarantine.isSuspect(parts, monotonicNow()); }

std::vector<QuarantineEntry> PromptGuard::entries() const { return m_quarantine.entries(monotonicNow()); }

void PromptGuard::onAnswered(const std::vector<std::string>& parts)
{
    if (parts.empty())
        return;
    const auto before = m_quarantine.changes();
    m_quarantine.onAnswered(parts, monotonicNow());
    if (m_quarantine.changes() == before)
        return;
    m_callbacks.broadcast(PromptPartsAnswered { parts });
    noteChanges("answered");
}

void PromptGuard::onLost(const std::string& upstream, const std::vector<std::string>& parts)
{
    const auto now = monotonicNow();
    auto suspects = m_quarantine.onLost(upstream, parts, now);
    if (!suspects.empty() && mayReportLoss(now))
        m_callbacks.broadcast(PromptLoss { upstream, std::move(suspects) });
}

void PromptGuard::onLostWithOthers(const std::string& upstream, const std::vector<std::string>& parts)
{
    if (!parts.empty())
        m_undecided.add({ monotonicNow(), upstream, parts });
}

bool PromptGuard::mayReportLoss(TimePoint now)
{
    if (now - m_lossSecond >= std::chrono::seconds(1)) {
        m_lossSecond = now;
        m_lossesInSecond = 0;
    }
    return ++m_lossesInSecond <= maxLossReportsPerSecond;
}

bool PromptGuard::onMessage(const std::string& from, const Message& message)
{
    if (const auto* loss = std::get_if<PromptLoss>(&message)) {
        m_quarantine.onLost(loss->upstream, loss->parts, monotonicNow());
        return true;
    }
    if (const auto* query = std::get_if<PromptPartsQuery>(&message)) {
        if (const auto answered = m_quarantine.answeredAmong(query->parts); !answered.empty())
            m_callbacks.send(from, PromptPartsAnswered { answered });
        return true;
    }
    if (const auto* answered = std::get_if<PromptPartsAnswered>(&message)) {
        const auto before = m_quarantine.changes();
        m_quarantine.onPeerAnswered(answered->parts, monotonicNow());
        // The sender knows few nodes of other data centres.
        if (m_quarantine.changes() != before && m_callbacks.isDelegate())
            m_callbacks.broadcast(*answered);
        noteChanges(from);
        return true;
    }
    return false;
}

void PromptGuard::onPeerEntries(const std::string& from, const std::vector<QuarantineEntry>& entries)
{
    for (const auto& entry : entries) {
        m_quarantine.adopt(entry, monotonicNow());
        if (const auto answered = m_quarantine.answeredAmong(entry.parts); !answered.empty())
            m_callbacks.send(from, PromptPartsAnswered { answered });
    }
    noteChanges(from);
}

void PromptGuard::onRecord(const std::vector<QuarantineEntry>& entries)
{
    m_recorded = generationsOf(entries);
    for (const auto& entry : entries)
        m_quarantine.adopt(entry, monotonicNow());
    noteChanges("record");
}

bool PromptGuard::differsFromRecord() const { return generationsOf(entries()) != m_recorded; }

void PromptGuard::tick()
{
    for (const auto& loss : m_undecided.takeUpstreamLosses(m_callbacks.lastReached(), monotonicNow()))
        onLost(loss.upstream, loss.parts);
    // A query by another node would not reach the nodes that it doesn't know, and one of them may have seen an answer.
    const auto questions = m_callbacks.isDelegate() ? m_quarantine.tick(monotonicNow()) : std::vector<std::string> {};
    if (!questions.empty())
        m_callbacks.broadcast(PromptPartsQuery { questions });
    noteChanges("own evidence or time");
}

void PromptGuard::noteChanges(const std::string& source)
{
    const auto current = entries();
    auto generations = generationsOf(current);
    if (generations == m_noted)
        return;
    m_noted = std::move(generations);
    m_log.write(events::promptsQuarantined, { { "quarantines", describe(current) }, { "source", source } });
    m_callbacks.onChange();
}

} // namespace bronzeswitch
