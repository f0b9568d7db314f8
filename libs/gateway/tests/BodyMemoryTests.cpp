#include <catch2/catch.hpp>
#include <gateway/BodyMemory.h>
#include <set>
#include <vector>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr std::size_t kibibyte = 1024;
constexpr std::size_t capacity = 24 * kibibyte * kibibyte;

// Bodies that are read in blocks, and those that were given up.
class Readers {
public:
    uint64_t add(const std::string& upstream)
    {
        const auto index = m_readers.size();
        const auto id = m_memory.add(upstream, [this, index] { m_readers[index].isGivenUp = true; });
        m_readers.push_back({ upstream, id });
        return id;
    }

    // Reads one block of each body that has not been given up.
    void readAll(std::size_t block)
    {
        for (auto& reader : m_readers) {
            if (reader.isGivenUp)
                continue;
            reader.size += block;
            m_memory.setSize(reader.id, reader.size, start);
            m_mostBytes = std::max(m_mostBytes, m_memory.size());
        }
    }

    int givenUp(const std::string& upstream) const
    {
        int count = 0;
        for (const auto& reader : m_readers)
            count += reader.upstream == upstream && reader.isGivenUp ? 1 : 0;
        return count;
    }

    BodyMemory& memory() { return m_memory; }
    std::size_t mostBytes() const { return m_mostBytes; }

private:
    struct Reader {
        std::string upstream;
        uint64_t id = 0;
        std::size_t size = 0;
        bool isGivenUp = false;
    };

    BodyMemory m_memory { capacity };
    std::vector<Reader> m_readers;
    std::size_t m_mostBytes = 0;
};

} // namespace

TEST_CASE("bodies without end of one upstream are given up, those of others are not, and the capacity is kept")
{
    for (const int endless : { 60, 1000 }) {
        CAPTURE(endless);
        Readers readers;
        for (int body = 0; body < endless; ++body)
            readers.add("endless");
        for (int body = 0; body < 8; ++body)
            readers.add("sound");
        for (std::size_t block = 0; block < 200 * kibibyte; block += 16 * kibibyte)
            readers.readAll(16 * kibibyte);
        while (readers.givenUp("endless") == 0)
            readers.readAll(kibibyte);
        CHECK(readers.givenUp("sound") == 0);
        CHECK(readers.mostBytes() <= capacity + 16 * kibibyte);
        CHECK(readers.memory().size() <= capacity);
    }
}

TEST_CASE("a complete body is given up after all that are still being read, the largest of these first")
{
    Readers readers;
    const auto complete = readers.add("e1");
    const auto small = readers.add("e1");
    const auto large = readers.add("e1");
    auto& memory = readers.memory();
    bool isCompleteGivenUp = false;
    memory.setSize(complete, capacity - 30, start);
    memory.setComplete(
        complete, [&] { isCompleteGivenUp = true; }, start);
    memory.setSize(small, 10, start);
    memory.setSize(large, 20, start);
    CHECK(readers.givenUp("e1") == 0);
    memory.setSize(large, 21, start);
    CHECK(readers.givenUp("e1") == 1);
    CHECK(memory.size() == capacity - 20);
    memory.setSize(small, 31, start);
    CHECK(readers.givenUp("e1") == 2);
    CHECK_FALSE(isCompleteGivenUp);
    const auto other = readers.add("e2");
    memory.setSize(other, 31, start);
    CHECK(isCompleteGivenUp);
    CHECK(memory.size() == 31);
    CHECK(readers.givenUp("e2") == 0);
}

TEST_CASE("a body that its caller has not taken for a while is given up before one that is still being read")
{
    Readers readers;
    auto& memory = readers.memory();
    std::vector<int> order;
    for (int caller = 0; caller < 3; ++caller) {
        const auto id = readers.add("e1");
        memory.setSize(id, capacity / 3, start);
        memory.setComplete(
            id, [&order, caller] { order.push_back(caller); }, start + Duration(caller));
    }
    const auto reading = readers.add("e1");
    memory.setSize(reading, capacity / 2, start + Duration(2000));
    CHECK(order == std::vector<int> { 0, 1 });
    CHECK(readers.givenUp("e1") == 0);
}

TEST_CASE("a reservation counts until it is destroyed, also after a move, and shows that its body was given up")
{
    const auto memory = std::make_shared<BodyMemory>(100);
    BodyReservation first(memory, "e1", [] {});
    first.setSize(60, start);
    BodyReservation moved = std::move(first);
    CHECK(memory->size() == 60);
    {
        BodyReservation second(memory, "e1", [] {});
        second.setSize(40, start);
        CHECK(memory->size() == 100);
        CHECK_FALSE(second.isGivenUp());
    }
    CHECK(memory->size() == 60);
    BodyReservation third(memory, "e2", [] {});
    third.setSize(50, start);
    CHECK(moved.isGivenUp());
    CHECK_FALSE(third.isGivenUp());
    CHECK(memory->size() == 50);
    moved = BodyReservation();
    CHECK(memory->size() == 50);
}

TEST_CASE("the capacity for bodies follows the memory of the process")
{
    CHECK(BodyMemory::capacityFor(110000000) == 22000000);
    CHECK(BodyMemory::capacityFor(512000000) > BodyMemory::capacityFor(260000000));
    CHECK(BodyMemory::capacityFor(0) > 0);
}
