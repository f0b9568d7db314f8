#pragma once

#include <base/TimerService.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bronzeswitch {

/**
 * Bounds the memory for the bodies of upstreams' responses that a node holds at the same time.
 *
 * Load pattern: an upstream sends bodies without end to many callers, each below the limit of a single body, while other upstreams
 * respond as usual; or callers don't read what they have requested. When the memory is used up, the upstream whose bodies take the most of
 * it loses one, so that the others' responses are not affected: a complete one that its caller has not taken for a while, else the largest
 * one that is still being read, since its request may be sent to another upstream, else the one that was completed first.
 *
 *     const auto id = memory.add("e1", [&] { connection.abort(); });
 *     memory.setSize(id, body.capacity(), now);
 *     memory.setComplete(id, [&] { caller.reset(); }, now);
 *     memory.remove(id);
 */
class BodyMemory {
public:
    using GiveUp = std::function<void()>;

    /** @param capacity in bytes, for all bodies together. */
    explicit BodyMemory(std::size_t capacity);

    /** @return the capacity for a process that may use so much memory. @param processBytes 0 if unknown. */
    static std::size_t capacityFor(std::size_t processBytes);

    /**
     * Adds a body that is being read.
     * @param giveUp called once if the body has to be given up; its memory counts as free from then on.
     * @return an identifier of the body.
     */
    uint64_t add(std::string upstream, GiveUp giveUp);

    /** Sets the size of a body in bytes, and gives up bodies while all together exceed the capacity. */
    void setSize(uint64_t id, std::size_t bytes, TimePoint now);

    /** Notes that a body has been read completely and waits for its caller. @param giveUp replaces the function that gives it up. */
    void setComplete(uint64_t id, GiveUp giveUp, TimePoint now);

    /** Removes a body. */
    void remove(uint64_t id);

    /** @return bytes of all bodies. */
    std::size_t size() const { return m_size; }

private:
    struct Body {
        std::string upstream;
        std::size_t size = 0;
        TimePoint completedAt {}; /**< 0 while it is being read. */
        GiveUp giveUp;

        bool isComplete() const { return completedAt != TimePoint {}; }
    };
    using Bodies = std::map<uint64_t, Body>;

    void giveUpExcess(TimePoint now);
    std::string largestUpstream() const;

    /** @return the body of an upstream that is given up first. */
    Bodies::iterator firstToGiveUp(const std::string& upstream, TimePoint now);

    /** @return true if a body of the same upstream is given up before another one. */
    static bool comesBefore(const Body&, const Body& other, TimePoint now);

    /** Removes a body from the sums. */
    Body take(Bodies::iterator);

    std::size_t m_capacity;
    std::size_t m_size = 0;
    Bodies m_bodies;
    std::map<std::string, std::size_t> m_sizes; /**< Of all bodies of an upstream, by upstream. */
    uint64_t m_lastId = 0;
};

/**
 * The memory of one body, which counts in a BodyMemory for as long as this object exists.
 *
 *     BodyReservation reservation(memory, "e1", [&] { connection.abort(); });
 *     reservation.setSize(body.capacity(), now);
 */
class BodyReservation {
public:
    /** Reserves nothing. */
    BodyReservation() = default;

    /** @param giveUp called if the body has to be given up. */
    BodyReservation(std::shared_ptr<BodyMemory>, std::string upstream, BodyMemory::GiveUp giveUp);

    ~BodyReservation();
    BodyReservation(BodyReservation&&) noexcept = default;
    BodyReservation& operator=(BodyReservation&&) noexcept;
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    /** Sets the size of the body in bytes. */
    void setSize(std::size_t bytes, TimePoint now);

    /** Notes that the body is complete. @param giveUp called if it has to be given up nevertheless. */
    void setComplete(BodyMemory::GiveUp giveUp, TimePoint now);

    /** @return true if the body had to be given up. */
    bool isGivenUp() const { return m_isGivenUp && *m_isGivenUp; }

private:
    /** @return the function, which also marks the body as given up. */
    BodyMemory::GiveUp withMark(BodyMemory::GiveUp) const;

    std::shared_ptr<BodyMemory> m_memory;
    uint64_t m_id = 0;
    std::shared_ptr<bool> m_isGivenUp; /**< Shared with the function that gives the body up, which this object may be moved away from. */
};

/** A response's body with its memory. */
struct BufferedBody {
    std::string text;
    BodyReservation reservation;
};

} // namespace bronzeswitch
