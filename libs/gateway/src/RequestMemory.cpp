#include <gateway/RequestMemory.h>
#include <utility>

namespace bronzeswitch {

namespace {

constexpr std::size_t defaultCapacity = 24UL * 1024 * 1024;
// Responses' bodies take a fifth (BodyMemory); code, connections and the node's state have the rest.
constexpr std::size_t processShareDivisor = 4;
constexpr std::size_t smallShareDivisor = 8;
constexpr std::size_t largeBytes = 64UL * 1024;
constexpr Duration silentAfter { 1000 };

} // namespace

bool RequestMemory::Request::isLarge() const { return size > largeBytes; }

RequestMemory::RequestMemory(std::size_t capacity)
    : m_capacity(capacity)
    , m_largeCapacity(capacity - capacity / smallShareDivisor)
{
}

std::size_t RequestMemory::capacityFor(std::size_t processBytes)
{
    return processBytes > 0 ? processBytes / processShareDivisor : defaultCapacity;
}

uint64_t RequestMemory::add(GiveUp giveUp)
{
    m_requests.emplace(++m_lastId, Request { 0, {}, false, std::move(giveUp) });
    return m_lastId;
}

void RequestMemory::resize(Request& request, std::size_t bytes)
{
    m_size = m_size - request.size + bytes;
    if (request.isLarge())
        m_largeSize -= request.size;
    request.size = bytes;
    if (request.isLarge())
        m_largeSize += bytes;
}

void RequestMemory::setSize(uint64_t id, std::size_t bytes, TimePoint now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    if (bytes > found->second.size)
        found->second.grownAt = now;
    resize(found->second, bytes);
    giveUpExcess(now);
}

void RequestMemory::setComplete(uint64_t id)
{
    if (const auto found = m_requests.find(id); found != m_requests.end())
        found->second.isComplete = true;
}

void RequestMemory::remove(uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    resize(found->second, 0);
    m_requests.erase(found);
}

void RequestMemory::giveUpExcess(TimePoint now)
{
    while (m_size > m_capacity || m_largeSize > m_largeCapacity) {
        const auto found = firstToGiveUp(m_size <= m_capacity, now);
        if (found == m_requests.end())
            return;
        const auto giveUp = std::move(found->second.giveUp);
        remove(found->first);
        giveUp();
    }
}

RequestMemory::Requests::iterator RequestMemory::firstToGiveUp(bool isLargeOnly, TimePoint now)
{
    const auto isSilent = [now](const Request& request) { return now - request.grownAt > silentAfter; };
    const auto comesBefore = [&](const Request& request, const Request& other) {
        if (isSilent(request) != isSilent(other))
            return isSilent(request);
        return isSilent(request) ? request.grownAt < other.grownAt : request.size > other.size;
    };
    auto first = m_requests.end();
    for (auto item = m_requests.begin(); item != m_requests.end(); ++item) {
        const auto& request = item->second;
        const bool isCandidate = !request.isComplete && request.size > 0 && (request.isLarge() || !isLargeOnly);
        if (isCandidate && (first == m_requests.end() || comesBefore(request, first->second)))
            first = item;
    }
    return first;
}

RequestReservation::RequestReservation(std::shared_ptr<RequestMemory> memory, RequestMemory::GiveUp giveUp)
    : m_memory(std::move(memory))
    , m_id(m_memory->add(std::move(giveUp)))
{
}

RequestReservation::~RequestReservation() { m_memory->remove(m_id); }

} // namespace bronzeswitch
