#pragma once

#include <base/TimerService.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace bronzeswitch {

/**
 * Bounds the memory that the heads and bodies of all callers' requests take together, from their first bytes to their responses.
 *
 * Load pattern: callers that nobody controls send large bodies slowly or leave out their ends, many at the same time, while other callers
 * send usual requests. When the memory is used up, requests that are still arriving are given up, none of which has run: those first of
 * which nothing has come for a while, the longest silent one before all others, then the largest one. Complete requests are never given up.
 * An eighth of the memory is kept for small requests, so that large ones can't keep all others out.
 *
 *     const auto id = memory.add([&] { connection.giveUpReading(); });
 *     memory.setSize(id, bytes, now);
 *     memory.setComplete(id);
 *     memory.remove(id);
 */
class RequestMemory {
public:
    using GiveUp = std::function<void()>;

    /** @param capacity in bytes, for all requests together. */
    explicit RequestMemory(std::size_t capacity);

    /** @return the capacity for a process that may use so much memory. @param processBytes 0 if unknown. */
    static std::size_t capacityFor(std::size_t processBytes);

    /** Adds a request that begins to arrive. @param giveUp called once if it has to be given up. @return an identifier of the request. */
    uint64_t add(GiveUp giveUp);

    /** Sets the size of a request in bytes, and gives up requests while all together exceed the capacity. */
    void setSize(uint64_t id, std::size_t bytes, TimePoint now);

    /** Notes that a request has arrived completely, so that it is not given up any more. */
    void setComplete(uint64_t id);

    /** Removes a request. */
    void remove(uint64_t id);

    /** @return bytes of all requests. */
    std::size_t size() const { return m_size; }
    std::size_t capacity() const { return m_capacity; }

private:
    struct Request {
        std::size_t size = 0;
        TimePoint grownAt {};
        bool isComplete = false;
        GiveUp giveUp;

        bool isLarge() const;
    };
    using Requests = std::map<uint64_t, Request>;

    void resize(Request&, std::size_t bytes);
    void giveUpExcess(TimePoint now);

    /** @return the request that is given up first. @param isLargeOnly of the large ones. */
    Requests::iterator firstToGiveUp(bool isLargeOnly, TimePoint now);

    std::size_t m_capacity;
    std::size_t m_largeCapacity; /**< For large requests. */
    std::size_t m_size = 0;
    std::size_t m_largeSize = 0; /**< Of large requests. */
    Requests m_requests;
    uint64_t m_lastId = 0;
};

/**
 * The memory of one request, which counts in a RequestMemory for as long as this object exists.
 *
 *     RequestReservation reservation(memory, [&] { connection.giveUpReading(); });
 *     reservation.setSize(bytes, now);
 */
class RequestReservation {
public:
    RequestReservation(std::shared_ptr<RequestMemory>, RequestMemory::GiveUp);
    ~RequestReservation();
    RequestReservation(const RequestReservation&) = delete;
    RequestReservation& operator=(const RequestReservation&) = delete;

    void setSize(std::size_t bytes, TimePoint now) { m_memory->setSize(m_id, bytes, now); }
    void setComplete() { m_memory->setComplete(m_id); }

private:
    std::shared_ptr<RequestMemory> m_memory;
    uint64_t m_id;
};

} // namespace bronzeswitch
