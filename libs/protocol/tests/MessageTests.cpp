#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <protocol/Cbor.h>
#include <protocol/Messages.h>

#include <random>

using namespace bronzeswitch;

namespace {

std::vector<Message> sampleMessages()
{
    const SlotRequest slotRequest { 7, "reader", "check", "north", 1, 300, 40, 9000, { { 1, 64 }, { 0xffffffffffffffffULL, 128 } },
        { "e1", "" }, true, 500, 2000, "honda", 0xffffffffffffffffULL };
    return { Hello { "n1", "honda", "127.0.0.1:9" }, Heartbeat { 5, 17, true, false }, HeartbeatAck { 5, 17, false, true }, StateRequest {},
        StateOffer { std::string("\0\xff", 2) }, slotRequest, SlotGrant { 7, "e1", "v1", "", 30 },
        SlotRefusal { 7, RefusalReason::Evicted, 250 }, SlotCancel { 7 }, SlotRelease { 7, DispatchOutcome::Failed, 120, 25000, 40, 64 },
        SlotInUse { { 7, "reader", "check", "north", 1, 300, 40, 9000, { { 1, 64 } }, {}, false, 500, 2000 }, "e1", "v1", "r" },
        ClaimRequest { 1, "key", "attempt", ClaimMode::Claim }, ClaimResponse { 1, ClaimState::Recorded, "n1", 200, "text/plain", "done" },
        ClaimOutcome { "key", "attempt", 0, "", "" }, RolloutAlarm { "r", "errors" }, ClaimDeclaration { 3, "n1#a", "ep", 2, 10000 },
        ClaimDeclarationAck { 3, "ep", 2 },
        NodeReport { "n1", "honda", 1790000000000, 4, true, false, 7, { 2, 40 }, true, { { "e1", 3, 120, 2500, 7, 2 } }, { "e2" },
            { { "127.0.0.1:9", "mompox", false } },
            { { "reader", "v2", 12000, 41, RolloutPhase::Moving, 800, { { "check", { 9, 8, 1, { 0, 8 }, { 7 } }, {} } }, 2 } }, 500, true,
            60, 69, false, { { { "5c1e", "91bd" }, 2, 60000 } }, { { "e1", 1790000000000, true, 40, 1400, 2500 } }, 70, true, true,
            { { "honda", { 2, 17 }, true } } },
        SlotQueued { 7 }, StateUpdate { std::string("\x81\0", 2) }, QuotaRequest { 9, "north", 700, 200, 1500 },
        QuotaResponse { 9, false, 40, 900, 875000, true }, QuotaShareLoan { 69, { 0, 7 } }, QuotaShareReturn { { 3 } },
        PromptLoss { "e1", { "5c1e", "91bd" } }, PromptPartsQuery { { "91bd" } }, PromptPartsAnswered { { "5c1e" } },
        NoticeUpdate { { { "e1", 1790000000000, false, 0, 200 } } }, PauseNotice { "e1", 1790000000000, 700 } };
}

} // namespace

TEST_CASE("every message is unchanged after encoding and decoding")
{
    const auto messages = sampleMessages();
    REQUIRE(messages.size() == std::variant_size_v<Message>);
    for (const auto& message : messages) {
        CAPTURE(message.index());
        const auto decoded = decode(encode(message));
        REQUIRE(decoded);
        CHECK(*decoded == message);
    }
}

// Guards against nodes of two versions that drop each other's reports while one replaces the other.
TEST_CASE("a report without orders to evacuate has the form of the last version, which is understood")
{
    NodeReport report;
    report.node = "n1";
    report.isRegistrar = true;
    constexpr std::size_t sizeInLastVersion = 23;
    CHECK(parseCbor(encode(report)).size() == sizeInLastVersion);
    REQUIRE(decode(encode(report)));
    CHECK(*decode(encode(report)) == Message(report));
    report.evacuations = { { "honda", { 1, 4 }, false } };
    CHECK(parseCbor(encode(report)).size() == sizeInLastVersion + 1);
}

// Guards against grants and notices that nodes of the last version send, or would get, and reject because of their number of fields.
TEST_CASE("an optional field is left out while it has its default")
{
    const auto grant = decode("\x85\x06\x07\x42"
                              "e1"
                              "\x42"
                              "v1"
                              "\x40");
    REQUIRE(grant);
    CHECK(std::get<SlotGrant>(*grant) == SlotGrant { 7, "e1", "v1", "" });
    CHECK(encode(*grant)
        == "\x85\x06\x07\x42"
           "e1"
           "\x42"
           "v1"
           "\x40");
    CHECK(encode(SlotGrant { 7, "e1", "v1", "", 30 }).front() == '\x86');
}

// A report with one unknown entry would otherwise be dropped as a whole, and its sender taken for lost.
TEST_CASE("an upstream's load without estimates of its capacity is encoded as by the version before")
{
    NodeReport report;
    report.loads = { { "e1", 3, 120, 2500, 7, 2 } };
    const auto before = encode(report).size();
    report.loads[0].heldTokens = 70000;
    CHECK(encode(report).size() == before + 5);
    report.loads[0].pacePercent = 250;
    report.loads[0].paceAgeMs = 90;
    report.loads[0].serviceUs = { 30000, 0, 31000, 45000 };
    const auto decoded = decode(encode(report));
    REQUIRE(decoded);
    CHECK(std::get<NodeReport>(*decoded) == report);
    CHECK(encode(report).size() <= before + 21);
}

TEST_CASE("truncated messages and messages with trailing bytes are rejected")
{
    for (const auto& message : sampleMessages()) {
        const auto bytes = encode(message);
        CAPTURE(message.index());
        for (size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decode(bytes.substr(0, length)));
        CHECK_FALSE(decode(bytes + "x"));
    }
}

TEST_CASE("a corrupted message that still decodes can be encoded and decoded again")
{
    constexpr unsigned seed = 20261204;
    constexpr int rounds = 20000;
    std::mt19937 random(seed);
    const auto messages = sampleMessages();
    int decodedCount = 0;
    for (int round = 0; round < rounds; ++round) {
        auto bytes = encode(messages[random() % messages.size()]);
        for (auto mutations = random() % 4 + 1; mutations > 0; --mutations)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        const auto decoded = decode(bytes);
        if (!decoded)
            continue;
        ++decodedCount;
        const auto decodedAgain = decode(encode(*decoded));
        REQUIRE(decodedAgain);
        CHECK(*decodedAgain == *decoded);
    }
    CHECK(decodedCount > 0);
}

// A node of the last version sends no caller; its slot requests must not be lost while the nodes are replaced.
TEST_CASE("a slot request without a caller is decoded, one without a further field is not")
{
    SlotRequest request;
    request.id = 7;
    request.caller = 9;
    auto array = nlohmann::json::from_cbor(encode(request));
    const auto decodeArray = [&] {
        std::string bytes;
        nlohmann::json::to_cbor(array, bytes);
        return decode(bytes);
    };
    array.erase(array.size() - 1);
    request.caller = 0;
    const auto decoded = decodeArray();
    REQUIRE(decoded);
    CHECK(std::get<SlotRequest>(*decoded) == request);
    array.erase(array.size() - 1);
    CHECK_FALSE(decodeArray());
}
