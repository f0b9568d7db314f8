#include <catch2/catch.hpp>
#include <gateway/QuotaEnforcer.h>

using namespace bronzeswitch;

namespace {

constexpr const char* home = "127.0.0.1:2"; // The home node of the quota.

// An enforcer that requests tokens at another node.
struct Fixture {
    Fixture()
    {
        enforcer.connect("127.0.0.1:1",
            { [](const std::string&) { return std::string(home); },
                [this](const std::string&, const Message& message) { sent.push_back(std::get<QuotaRequest>(message)); }, [] { return 2; },
                [] { return 2; }, [] { return true; } });
    }

    // Requests tokens and returns the identifier of the request. Once the loop has run, the outcome is in results.
    uint64_t acquire(const std::string& organisation)
    {
        asio::co_spawn(loop, enforcer.acquire(organisation, 10, { Duration(0), Duration(0) }, monotonicNow() + Duration(20000)),
            [this](const std::exception_ptr&, const QuotaResult& result) { results.push_back(result); });
        loop.poll();
        return sent.at(0).id;
    }

    asio::io_context loop;
    LineWriter writer { -1, 4096 };
    DecisionLog log { "n1", writer, 10 };
    QuotaEnforcer enforcer { loop.get_executor(), {}, log };
    std::vector<QuotaRequest> sent;
    std::vector<QuotaResult> results;
};

} // namespace

// QUOTA: the answer to a request of the earlier start would grant tokens that the later request's organisation was not charged for.
TEST_CASE("tokens that were granted to a request of a node's earlier start are not taken by one of its next start")
{
    Fixture earlier;
    const auto earlierId = earlier.acquire("north");
    Fixture fixture;
    const auto id = fixture.acquire("south");
    CHECK(id != earlierId);
    fixture.enforcer.onMessage(home, QuotaResponse { earlierId, true, 0, 100, 1000000, false });
    fixture.loop.poll();
    CHECK(fixture.results.empty());
    fixture.enforcer.onMessage(home, QuotaResponse { id, true, 0, 100, 1000000, false });
    fixture.loop.poll();
    CHECK(fixture.results.size() == 1);
}
