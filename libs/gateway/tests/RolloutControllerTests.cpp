#include <catch2/catch.hpp>
#include <gateway/RolloutController.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
const RolloutOrder order { "reader", "v2", Duration(12000), 7 };
const auto never = [](const std::string&) { return false; };
const auto always = [](const std::string&) { return true; };

struct Node {
    LineWriter writer { -1, 1U << 20U };
    DecisionLog log { "n1", writer, 1000 };
    RolloutController controller { {}, log };

    RolloutPhase phase() const { return controller.rules().at("reader").phase; }

    void addResponses(const std::string& version, int count, bool isFailed)
    {
        for (int i = 0; i < count; ++i) {
            controller.onDispatched("reader", "check", version);
            controller.onResponse("reader", "check", version, { isFailed, isFailed ? 0 : 100.0, 0 });
        }
    }
};

} // namespace

TEST_CASE("a node that has not read the record of an order does not try the candidate version")
{
    Node node;
    node.controller.addOrder(order, start);
    CHECK(node.controller.headroom("reader") == 0);
    node.controller.applyRecord(order, std::nullopt);
    CHECK(node.controller.headroom("reader") > 0);
    // The record of another order does not affect this one.
    auto other = order;
    --other.id;
    node.controller.applyRecord(other, RolloutPhase::TakenBack);
    CHECK(node.phase() == RolloutPhase::Trial);
}

TEST_CASE("a finished rollout stays finished on a node that restarts")
{
    for (const auto phase : { RolloutPhase::TakenBack, RolloutPhase::Completed }) {
        Node node;
        node.controller.addOrder(order, start);
        node.controller.applyRecord(order, phase);
        CHECK(node.phase() == phase);
        CHECK(node.controller.unfinishedOrders().empty());
        node.controller.tick(start, true, always, always);
        CHECK(node.controller.dueRecords(start, always).empty());
    }
}

TEST_CASE("nodes judge a version from the sum of their counts, and a rollback on one node stops all")
{
    Node nodes[3];
    for (auto& node : nodes) {
        node.controller.addOrder(order, start);
        node.controller.applyRecord(order, RolloutPhase::Trial);
        node.addResponses("v1", 20, false);
        node.addResponses("v2", 2, true);
        node.controller.tick(start, true, never, never);
        CHECK(node.phase() == RolloutPhase::Trial);
    }
    nodes[0].controller.setPeerReports("n2", 1, nodes[1].controller.reports(start), start);
    nodes[0].controller.setPeerReports("n3", 1, nodes[2].controller.reports(start), start);
    CHECK_FALSE(nodes[0].controller.tick(start, true, never, never).empty());
    CHECK(nodes[0].phase() == RolloutPhase::TakenBack);
    nodes[2].controller.setPeerReports("n1", 1, nodes[0].controller.reports(start), start);
    CHECK(nodes[2].phase() == RolloutPhase::TakenBack);
    CHECK(nodes[2].controller.headroom("reader") == 0);
}

TEST_CASE("the counts of a peer from before its restart are kept")
{
    Node node;
    Node peer;
    for (auto* each : { &node, &peer }) {
        each->controller.addOrder(order, start);
        each->controller.applyRecord(order, RolloutPhase::Trial);
    }
    node.addResponses("v1", 30, false);
    peer.addResponses("v2", 3, true);
    node.controller.setPeerReports("n2", 1, peer.controller.reports(start), start);
    Node restarted;
    restarted.controller.addOrder(order, start);
    restarted.addResponses("v2", 2, true);
    node.controller.setPeerReports("n2", 2, restarted.controller.reports(start), start);
    node.controller.tick(start, true, never, never);
    CHECK(node.phase() == RolloutPhase::TakenBack);
}

TEST_CASE("a node that can not reach the record learns of orders and their age from its peers")
{
    Node node;
    node.controller.addOrder(order, start);
    Node other;
    const auto later = start + Duration(3000);
    other.controller.setPeerReports("n1", 1, node.controller.reports(later), later);
    CHECK(other.controller.rules().at("reader").target == "v2");
    CHECK(other.controller.reports(later).front().elapsedMs == 3000);
}

TEST_CASE("the responsible node records a phase at once, any other node after a delay")
{
    Node node;
    node.controller.addOrder(order, start);
    node.controller.tick(start, true, never, never);
    CHECK(node.controller.dueRecords(start, always).empty()); // The record has not been read yet.
    node.controller.applyRecord(order, std::nullopt);
    node.controller.tick(start, true, never, never);
    CHECK(node.controller.dueRecords(start, never).empty());
    REQUIRE(node.controller.dueRecords(start, always).size() == 1);
    CHECK(node.controller.dueRecords(start, always).front().phase == RolloutPhase::Trial);
    CHECK(node.controller.dueRecords(start + Duration(1500), never).size() == 1);
    node.controller.applyRecord(order, RolloutPhase::Trial);
    CHECK(node.controller.dueRecords(start + Duration(1500), always).empty());
}

TEST_CASE("an older order is ignored, a newer one starts a new rollout")
{
    Node node;
    CHECK(node.controller.addOrder(order, start));
    node.controller.applyRecord(order, RolloutPhase::TakenBack);
    CHECK_FALSE(node.controller.addOrder({ "reader", "v0", Duration(12000), 6 }, start));
    CHECK_FALSE(node.controller.addOrder(order, start));
    CHECK(node.phase() == RolloutPhase::TakenBack);
    CHECK(node.controller.addOrder({ "reader", "v3", Duration(12000), 9 }, start));
    CHECK(node.phase() == RolloutPhase::Trial);
}

TEST_CASE("an order that is written again after its source lost changes goes on where it was, on all nodes")
{
    Node node;
    Node peer;
    for (auto* each : { &node, &peer }) {
        each->controller.addOrder(order, start);
        each->controller.applyRecord(order, RolloutPhase::TakenBack);
    }
    auto rewritten = order;
    rewritten.id = 2;
    rewritten.era = 1;
    CHECK_FALSE(node.controller.addOrder(rewritten, start));
    CHECK(node.phase() == RolloutPhase::TakenBack);
    CHECK(node.controller.unfinishedOrders() == std::vector<RolloutOrder> { rewritten });
    peer.controller.setPeerReports("n1", 1, node.controller.reports(start), start);
    CHECK(peer.controller.unfinishedOrders() == std::vector<RolloutOrder> { rewritten });
    CHECK(peer.phase() == RolloutPhase::TakenBack);
    // A peer that has not read the new era yet does not take the node back.
    Node late;
    late.controller.addOrder(order, start);
    node.controller.setPeerReports("n3", 1, late.controller.reports(start), start);
    CHECK(node.phase() == RolloutPhase::TakenBack);
}

TEST_CASE("an order that a later one has replaced does not come back with an older copy of its source")
{
    Node node;
    node.controller.addOrder(order, start);
    const RolloutOrder later { "reader", "v3", Duration(12000), 9 };
    REQUIRE(node.controller.addOrder(later, start));
    auto restored = order;
    restored.era = 1;
    CHECK_FALSE(node.controller.addOrder(restored, start));
    CHECK(node.controller.rules().at("reader").target == "v3");
    CHECK(node.controller.addOrder({ "reader", "v4", Duration(12000), 8, 1 }, start));
}

TEST_CASE("a final phase that the record has lost is due again")
{
    for (const auto phase : { RolloutPhase::TakenBack, RolloutPhase::Completed }) {
        Node node;
        node.controller.addOrder(order, start);
        node.controller.applyRecord(order, phase);
        node.controller.forgetRecords();
        CHECK(node.controller.dueRecords(start, always).empty());
        node.controller.applyRecord(order, RolloutPhase::Trial);
        REQUIRE(node.controller.dueRecords(start, always).size() == 1);
        CHECK(node.controller.dueRecords(start, always).front().phase == phase);
    }
}
