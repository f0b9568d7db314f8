#include <algorithm>
#include <gateway/BodyMemory.h>
#include <utility>

namespace bronzeswitch {

namespace {

constexpr std::size_t defaultCapacity = 24UL * 1024 * 1024;
constexpr std::size_t processShareDivisor = 5; // Connections, requests' bodies and state take the rest.
constexpr Duration stalledAfter { 1000 }; // Since the body was complete.

} // namespace

BodyMemory::BodyMemory(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t BodyMemory::capacityFor(std::size_t processBytes)
{
    return processBytes > 0 ? processBytes / processShareDivisor : defaultCapacity;
}

uint64_t BodyMemory::add(std::string upstream, GiveUp giveUp)
{
    m_bodies.emplace(++m_lastId, Body { std::move(upstream), 0, {}, std::move(giveUp) });
    return m_lastId;
}

void BodyMemory::setSize(uint64_t id, std::size_t bytes, TimePoint now)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end() || found->second.size == bytes)
        return;
    auto& body = found->second;
    auto& upstreamSize = m_sizes[body.upstream];
    upstreamSize = upstreamSize - body.size + bytes;
    m_size = m_size - body.size + bytes;
    body.size = bytes;
    giveUpExcess(now);
}

void BodyMemory::setComplete(uint64_t id, GiveUp giveUp, TimePoint now)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end())
        return;
    found->second.completedAt = now;
    found->second.giveUp = std::move(giveUp);
}

void BodyMemory::remove(uint64_t id)
{
    if (const auto found = m_bodies.find(id); found != m_bodies.end())
        take(found);
}

BodyMemory::Body BodyMemory::take(Bodies::iterator position)
{
    auto body = std::move(position->second);
    m_bodies.erase(position);
    m_size -= body.size;
    const auto sum = m_sizes.find(body.upstream);
    if (sum != m_sizes.end() && (sum->second -= body.size) == 0)
        m_sizes.erase(sum);
    return body;
}

void BodyMemory::giveUpExcess(TimePoint now)
{
    while (m_size > m_capacity) {
        const auto body = take(firstToGiveUp(largestUpstream(), now));
        if (body.giveUp)
            body.giveUp();
    }
}

std::string BodyMemory::largestUpstream() const
{
    return std::max_element(m_sizes.begin(), m_sizes.end(), [](const auto& a, const auto& b) { return a.second < b.second; })->first;
}

BodyMemory::Bodies::iterator BodyMemory::firstToGiveUp(const std::string& upstream, TimePoint now)
{
    auto first = m_bodies.end();
    for (auto body = m_bodies.begin(); body != m_bodies.end(); ++body) {
        const bool isCandidate = body->second.upstream == upstream && body->second.size > 0;
        if (isCandidate && (first == m_bodies.end() || comesBefore(body->second, first->second, now)))
            first = body;
    }
    return first;
}

bool BodyMemory::comesBefore(const Body& body, const Body& other, TimePoint now)
{
    const auto isStalled = [now](const Body& item) { return item.isComplete() && now - item.completedAt > stalledAfter; };
    if (isStalled(body) != isStalled(other))
        return isStalled(body);
    if (body.isComplete() != other.isComplete())
        return other.isComplete();
    return body.isComplete() ? body.completedAt < other.completedAt : body.size > other.size;
}

BodyReservation::BodyReservation(std::shared_ptr<BodyMemory> memory, std::string upstream, BodyMemory::GiveUp giveUp)
    : m_memory(std::move(memory))
    , m_isGivenUp(std::make_shared<bool>(false))
{
    m_id = m_memory->add(std::move(upstream), withMark(std::move(giveUp)));
}

BodyReservation::~BodyReservation()
{
    if (m_memory)
        m_memory->remove(m_id);
}

BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept
{
    std::swap(m_memory, other.m_memory);
    std::swap(m_id, other.m_id);
    std::swap(m_isGivenUp, other.m_isGivenUp);
    return *this;
}

BodyMemory::GiveUp BodyReservation::withMark(BodyMemory::GiveUp giveUp) const
{
    return [isGivenUp = m_isGivenUp, giveUp = std::move(giveUp)] {
        *isGivenUp = true;
        giveUp();
    };
}

void BodyReservation::setSize(std::size_t bytes, TimePoint now)
{
    if (m_memory)
        m_memory->setSize(m_id, bytes, now);
}

void BodyReservation::setComplete(BodyMemory::GiveUp giveUp, TimePoint now)
{
    if (m_memory)
        m_memory->setComplete(m_id, withMark(std::move(giveUp)), now);
}

} // namespace bronzeswitch
