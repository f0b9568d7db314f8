#include "../src/ClaimClient.h"

#include <catch2/catch.hpp>

using namespace bronzeswitch;

namespace {

// Looks up a key at a home that responds as the function wants. Returns the last response.
ClaimResponse lookUp(const std::function<std::vector<ClaimResponse>(const ClaimRequest&)>& respond)
{
    std::vector<ClaimResponse> responses;
    ClaimClient client({ [] { return std::vector<std::string> { "n2" }; },
        [&](const std::string&, const Message& message) {
            responses = respond(std::get<ClaimRequest>(message));
            return true;
        } });
    const auto deliver = [&] {
        for (const auto& response : std::exchange(responses, {}))
            client.onResponse(response);
        return false;
    };
    return client.request("k1", "a1", ClaimMode::LookUp, std::chrono::steady_clock::now() + Duration(20000), deliver);
}

} // namespace

// MIXED: a caller would get the outcome of another key, which an earlier start of the node had asked for.
TEST_CASE("a response to a claim request of a node's earlier start is not taken by one of its next start")
{
    uint64_t earlierId = 0;
    lookUp([&](const ClaimRequest& request) -> std::vector<ClaimResponse> {
        earlierId = request.id;
        return { { request.id, ClaimState::Free, "", 0, "", "" } };
    });
    const auto response = lookUp([&](const ClaimRequest& request) -> std::vector<ClaimResponse> {
        return { { request.id, ClaimState::Free, "", 0, "", "" }, { earlierId, ClaimState::Recorded, "n2", 200, "text/plain", "other" } };
    });
    CHECK(response.state == ClaimState::Free);
    CHECK(response.body.empty());
}
