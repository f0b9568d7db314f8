#pragma once

#include <functional>
#include <memory>
#include <random>
#include <sched/PromptQuarantine.h>

namespace bronzeswitch {

// Requests of several organisations to engines that crash when they begin to answer a prompt with the deadly part. All requests of an
// organisation share the first part of their prompts, and some of them a second one. The nodes exchange what a gateway's nodes do.
class CrashingPromptModel {
public:
    using Parts = PromptQuarantine::Parts;

    struct Options {
        int nodes = 9;
        int engines = 12;
        double requestsPerSecond = 80;
        double deadlyShare = 0; // Of the requests.
        Duration messageTime { 20 };
        double messageLoss = 0.02;
        double rackCrashShare = 0; // Of the engines; one crash of these at second 10.
    };

    explicit CrashingPromptModel(Options options)
        : m_options(options)
        , m_random(1)
    {
        for (int node = 0; node < options.nodes; ++node)
            m_nodes.push_back(std::make_unique<PromptQuarantine>());
        for (int engine = 0; engine < options.engines; ++engine)
            m_engineNames.push_back("e" + std::to_string(m_started++));
        m_backAt.resize(m_engineNames.size(), m_start);
    }

    void run(Duration time)
    {
        const auto end = m_now + time;
        for (; m_now < end; m_now += Duration(10)) {
            if (m_options.rackCrashShare > 0 && m_now - m_start >= std::chrono::seconds(10))
                crashRack();
            deliverMessages();
            finishPrefills();
            tickNodes();
            for (int count = poisson(m_options.requestsPerSecond / 100); count > 0; --count)
                arrive();
        }
    }

    void restartAllNodes()
    {
        for (auto& node : m_nodes)
            node = std::make_unique<PromptQuarantine>();
    }

    void setDeadlyShare(double share) { m_options.deadlyShare = share; }
    int deadlyDispatches() const { return m_deadlyDispatches; }
    int soundRefusals() const { return m_soundRefusals; }
    int soundRequests() const { return m_soundRequests; }
    int crashes() const { return m_crashes; }
    TimePoint now() const { return m_now; }
    PromptQuarantine& node(int index) { return *m_nodes[static_cast<std::size_t>(index)]; }

private:
    struct Prefill {
        std::size_t node;
        std::size_t engine;
        Parts parts;
        TimePoint until;
    };
    struct Envelope {
        std::size_t to;
        TimePoint at;
        std::function<void(PromptQuarantine&)> apply;
    };

    int poisson(double mean) { return std::poisson_distribution<int>(mean)(m_random); }
    std::size_t pick(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    void arrive()
    {
        constexpr std::size_t organisations = 5;
        constexpr std::size_t documents = 400;
        Parts parts { "org" + std::to_string(pick(organisations)) };
        const bool isDeadly = chance(m_options.deadlyShare);
        if (isDeadly)
            parts.push_back(deadlyPart);
        else if (chance(0.5))
            parts.push_back("doc" + std::to_string(pick(documents)));
        dispatch(pick(m_nodes.size()), parts, isDeadly);
    }

    void dispatch(std::size_t node, const Parts& parts, bool isDeadly)
    {
        if (!isDeadly)
            ++m_soundRequests;
        if (m_nodes[node]->remaining(parts, m_now)) {
            m_soundRefusals += isDeadly ? 0 : 1;
            return;
        }
        const auto engine = pick(m_engineNames.size());
        if (m_backAt[engine] > m_now)
            return;
        m_deadlyDispatches += isDeadly ? 1 : 0;
        m_prefills.push_back({ node, engine, parts, m_now + Duration(100 + 10 * static_cast<int>(pick(30))) });
    }

    void finishPrefills()
    {
        for (std::size_t index = 0; index < m_prefills.size(); ++index) {
            const auto prefill = m_prefills[index];
            if (prefill.until > m_now)
                continue;
            m_prefills.erase(m_prefills.begin() + static_cast<std::ptrdiff_t>(index--));
            const bool isDeadly = prefill.parts.back() == deadlyPart;
            if (!isDeadly) {
                m_nodes[prefill.node]->onAnswered(prefill.parts, m_now);
                continue;
            }
            lose(prefill.node, prefill.engine, prefill.parts);
            crash(prefill.engine);
            index = std::size_t(-1);
            dispatch(pick(m_nodes.size()), prefill.parts, true); // The caller's retry.
        }
    }

    void crash(std::size_t engine)
    {
        ++m_crashes;
        for (std::size_t index = 0; index < m_prefills.size(); ++index) {
            if (m_prefills[index].engine != engine)
                continue;
            lose(m_prefills[index].node, engine, m_prefills[index].parts);
            m_prefills.erase(m_prefills.begin() + static_cast<std::ptrdiff_t>(index--));
        }
        m_engineNames[engine] = "e" + std::to_string(m_started++);
        m_backAt[engine] = m_now + std::chrono::seconds(2);
    }

    void crashRack()
    {
        const auto count = static_cast<std::size_t>(m_options.rackCrashShare * static_cast<double>(m_engineNames.size()));
        for (std::size_t engine = 0; engine < count; ++engine)
            crash(engine);
        m_options.rackCrashShare = 0;
    }

    void lose(std::size_t node, std::size_t engine, const Parts& parts)
    {
        const auto upstream = m_engineNames[engine];
        const auto suspects = m_nodes[node]->onLost(upstream, parts, m_now);
        if (!suspects.empty())
            broadcast(node, [upstream, suspects, this](PromptQuarantine& peer) { peer.onLost(upstream, suspects, m_now); });
    }

    void broadcast(std::size_t from, const std::function<void(PromptQuarantine&)>& apply)
    {
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            if (node != from && !chance(m_options.messageLoss))
                m_messages.push_back({ node, m_now + m_options.messageTime, apply });
        }
    }

    void deliverMessages()
    {
        auto messages = std::exchange(m_messages, {});
        for (auto& message : messages) {
            if (message.at <= m_now)
                message.apply(*m_nodes[message.to]);
            else
                m_messages.push_back(std::move(message));
        }
    }

    void tickNodes()
    {
        constexpr auto tickInterval = Duration(100);
        if ((m_now - m_start) % tickInterval != TimePoint::duration(0))
            return;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const auto questions = m_nodes[node]->tick(m_now);
            if (!questions.empty()) {
                broadcast(node, [questions, node, this](PromptQuarantine& peer) {
                    const auto answered = peer.answeredAmong(questions);
                    if (!answered.empty())
                        m_messages.push_back({ node, m_now + m_options.messageTime,
                            [answered, this](PromptQuarantine& asker) { asker.onPeerAnswered(answered, m_now); } });
                });
            }
            for (const auto& entry : m_nodes[node]->entries(m_now))
                broadcast(node, [entry, this](PromptQuarantine& peer) { peer.adopt(entry, m_now); });
        }
    }

    static constexpr const char* deadlyPart = "dead";

    Options m_options;
    std::mt19937 m_random;
    TimePoint m_start = TimePoint() + std::chrono::hours(1);
    TimePoint m_now = m_start;
    std::vector<std::unique_ptr<PromptQuarantine>> m_nodes;
    std::vector<std::string> m_engineNames;
    std::vector<TimePoint> m_backAt;
    std::vector<Prefill> m_prefills;
    std::vector<Envelope> m_messages;
    int m_started = 0;
    int m_deadlyDispatches = 0;
    int m_soundRefusals = 0;
    int m_soundRequests = 0;
    int m_crashes = 0;
};

} // namespace bronzeswitch
