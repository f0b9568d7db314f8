#include <catch2/catch.hpp>
#include <gateway/RolloutController.h>

using namespace bronzeswitch;

namespace {

const TimePoint zero = TimePoint() + std::chrono::hours(1);
const RolloutOrder order { "reader", "v2", Duration(12000), 7 };
const auto never = [](const std::string&) { return false; };
const auto always = [](const std::string&) { return true; };

struct Desk {
    LineWriter writer { -1, 1U << 20U };
    DecisionLog log { "n1", writer, 1000 };
    RolloutController desk { {}, log };

    RolloutPhase phase() const { return desk.rules().at("reader").phase; }

    void answers(const std::string& version, int count, bool isFailed)
    {
        for (int i = 0; i < count; ++i) {
            desk.onDispatched("reader", "check", version);
            desk.onResponse("reader", "check", version, { isFailed, isFailed ? 0 : 100.0, 0 });
        }
    }
};

} // namespace

TEST_CASE("a node that has not read the record of an order tries no new version")
{
    Desk node;
    node.desk.addOrder(order, zero);
    CHECK(node.desk.headroom("reader") == 0);
    node.desk.applyRecord("reader", order.id, std::nullopt);
    CHECK(node.desk.headroom("reader") > 0);
    // The record of another order says nothing of this one.
    node.desk.applyRecord("reader", order.id - 1, RolloutPhase::TakenBack);
    CHECK(node.phase() == RolloutPhase::Trial);
}

TEST_CASE("an ended rollout stays ended for a node that starts again")
{
    for (const auto phase : { RolloutPhase::TakenBack, RolloutPhase::Completed }) {
        Desk node;
        node.desk.addOrder(order, zero);
        node.desk.applyRecord("reader", order.id, phase);
        CHECK(node.phase() == phase);
        CHECK(node.desk.unfinishedOrders().empty());
        node.desk.tick(zero, always, always);
        CHECK(node.desk.dueRecords(zero, always).empty());
    }
}

TEST_CASE("answers that no single node could judge are judged together, and one node's verdict stops all")
{
    Desk nodes[3];
    for (auto& node : nodes) {
        node.desk.addOrder(order, zero);
        node.desk.applyRecord("reader", order.id, RolloutPhase::Trial);
        node.answers("v1", 20, false);
        node.answers("v2", 2, true);
        node.desk.tick(zero, never, never);
        CHECK(node.phase() == RolloutPhase::Trial);
    }
    nodes[0].desk.setPeerReports("n2", 1, nodes[1].desk.reports(zero), zero);
    nodes[0].desk.setPeerReports("n3", 1, nodes[2].desk.reports(zero), zero);
    CHECK_FALSE(nodes[0].desk.tick(zero, never, never).empty());
    CHECK(nodes[0].phase() == RolloutPhase::TakenBack);
    nodes[2].desk.setPeerReports("n1", 1, nodes[0].desk.reports(zero), zero);
    CHECK(nodes[2].phase() == RolloutPhase::TakenBack);
    CHECK(nodes[2].desk.headroom("reader") == 0);
}

TEST_CASE("what a peer counted before its restart is kept")
{
    Desk node;
    Desk peer;
    for (auto* desk : { &node, &peer }) {
        desk->desk.addOrder(order, zero);
        desk->desk.applyRecord("reader", order.id, RolloutPhase::Trial);
    }
    node.answers("v1", 30, false);
    peer.answers("v2", 3, true);
    node.desk.setPeerReports("n2", 1, peer.desk.reports(zero), zero);
    Desk restarted;
    restarted.desk.addOrder(order, zero);
    restarted.answers("v2", 2, true);
    node.desk.setPeerReports("n2", 2, restarted.desk.reports(zero), zero);
    node.desk.tick(zero, never, never);
    CHECK(node.phase() == RolloutPhase::TakenBack);
}

TEST_CASE("a node out of the record's reach learns of orders and of their age from its peers")
{
    Desk node;
    node.desk.addOrder(order, zero);
    Desk other;
    const auto later = zero + Duration(3000);
    other.desk.setPeerReports("n1", 1, node.desk.reports(later), later);
    CHECK(other.desk.rules().at("reader").target == "v2");
    CHECK(other.desk.reports(later).front().elapsedMs == 3000);
}

TEST_CASE("one node records what is due, any other after a while")
{
    Desk node;
    node.desk.addOrder(order, zero);
    node.desk.tick(zero, never, never);
    CHECK(node.desk.dueRecords(zero, always).empty()); // The record has not been read.
    node.desk.applyRecord("reader", order.id, std::nullopt);
    node.desk.tick(zero, never, never);
    CHECK(node.desk.dueRecords(zero, never).empty());
    REQUIRE(node.desk.dueRecords(zero, always).size() == 1);
    CHECK(node.desk.dueRecords(zero, always).front().phase == RolloutPhase::Trial);
    CHECK(node.desk.dueRecords(zero + Duration(1500), never).size() == 1);
    node.desk.applyRecord("reader", order.id, RolloutPhase::Trial);
    CHECK(node.desk.dueRecords(zero + Duration(1500), always).empty());
}

TEST_CASE("an older order changes nothing, a newer one begins anew")
{
    Desk node;
    CHECK(node.desk.addOrder(order, zero));
    node.desk.applyRecord("reader", order.id, RolloutPhase::TakenBack);
    CHECK_FALSE(node.desk.addOrder({ "reader", "v0", Duration(12000), 6 }, zero));
    CHECK_FALSE(node.desk.addOrder(order, zero));
    CHECK(node.phase() == RolloutPhase::TakenBack);
    CHECK(node.desk.addOrder({ "reader", "v3", Duration(12000), 9 }, zero));
    CHECK(node.phase() == RolloutPhase::Trial);
}
