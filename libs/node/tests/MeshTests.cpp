#include <catch2/catch.hpp>
#include <node/Mesh.h>

using namespace bronzeswitch;

namespace {

// A node with a mesh that can be set to draining and records the messages that it receives.
struct TestNode {
    explicit TestNode(const std::string& name)
    {
        Mesh::Options options;
        options.node = name;
        options.dataCentre = "honda";
        options.timing = { Duration(20), Duration(200), Duration(10), Duration(100) };
        options.selfStatus = [this] { return SelfStatus { 1, true, isDraining }; };
        options.onMessage = [this](const std::string& from, const Message& message) {
            std::lock_guard lock(mutex);
            received.emplace_back(from, message);
            changed.notify_all();
        };
        options.onMembersChanged = [this] {
            std::lock_guard lock(mutex);
            changed.notify_all();
        };
        mesh = std::move(Mesh::create(options).value());
    }

    Vm vm(const std::string& name) const { return { name, "honda", "127.0.0.1:" + std::to_string(mesh->port()), false }; }

    template <typename Condition> bool waitFor(Condition condition)
    {
        constexpr auto timeout = std::chrono::seconds(20);
        constexpr auto pollInterval = std::chrono::milliseconds(10);
        const auto end = std::chrono::steady_clock::now() + timeout;
        std::unique_lock lock(mutex);
        while (std::chrono::steady_clock::now() < end) {
            lock.unlock();
            const bool isMet = condition();
            lock.lock();
            if (isMet)
                return true;
            changed.wait_for(lock, pollInterval);
        }
        return false;
    }

    std::atomic<bool> isDraining = false;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::pair<std::string, Message>> received;
    std::unique_ptr<Mesh> mesh;
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("two nodes connect when one of them is in the VM list of the other, and exchange messages in both directions")
{
    TestNode first("n1");
    TestNode second("n2");
    first.mesh->updateVmList({ second.vm("n2") });
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1", "n2" }; }));
    REQUIRE(second.waitFor([&] { return second.mesh->members() == Names { "n1", "n2" }; }));
    CHECK(first.mesh->send("n2", SlotCancel { 4 }));
    CHECK(second.mesh->send("n1", SlotCancel { 5 }));
    REQUIRE(second.waitFor([&] { return second.received.size() == 1; }));
    CHECK(second.received[0].first == "n1");
    CHECK(std::get<SlotCancel>(second.received[0].second).id == 4);
    REQUIRE(first.waitFor([&] { return first.received.size() == 1; }));
}

TEST_CASE("a peer that has stopped or is draining is not a member; a draining one stays live")
{
    TestNode first("n1");
    TestNode second("n2");
    TestNode third("n3");
    first.mesh->updateVmList({ second.vm("n2"), third.vm("n3") });
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 3; }));
    second.mesh->shutdown();
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1", "n3" }; }));
    CHECK_FALSE(first.mesh->send("n2", SlotCancel { 1 }));
    third.isDraining = true;
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1" }; }));
    CHECK(first.mesh->isLive("n3"));
}

TEST_CASE("the link to a peer that never acknowledges heartbeats is replaced, and the peer is not a member")
{
    TestNode first("n1");
    // This hub accepts links and never sends anything, like the far end of a half-open connection.
    std::atomic<int> accepted = 0;
    LinkHub::Callbacks callbacks;
    callbacks.onOpen = [&](LinkId, bool) { ++accepted; };
    callbacks.onMessage = [](LinkId, const std::string&) {};
    callbacks.onClose = [](LinkId) {};
    std::string error;
    auto silentHub = LinkHub::create("127.0.0.1", 0, callbacks, error);
    REQUIRE(silentHub);
    first.mesh->updateVmList({ { "n2", "honda", "127.0.0.1:" + std::to_string(silentHub->port()), false } });
    REQUIRE(first.waitFor([&] { return accepted >= 3; }));
    CHECK(first.mesh->members() == Names { "n1" });
}

TEST_CASE("a peer that the VM list marks as leaving is not a member")
{
    TestNode first("n1");
    TestNode second("n2");
    auto vm = second.vm("n2");
    first.mesh->updateVmList({ vm });
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 2; }));
    vm.isLeaving = true;
    first.mesh->updateVmList({ vm });
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1" }; }));
}

TEST_CASE("a peer that is neither listed nor live is removed, a listed one is not")
{
    TestNode first("n1");
    TestNode second("n2");
    const auto vm = second.vm("n2");
    first.mesh->updateVmList({ vm });
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 2; }));
    second.mesh->shutdown();
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 1; }));
    first.mesh->updateVmList({ vm });
    CHECK(first.mesh->peers().size() == 1);
    CHECK(first.waitFor([&] {
        first.mesh->updateVmList({});
        return first.mesh->peers().empty();
    }));
}

TEST_CASE("a peer that has failed is a known peer until the VM list has shown it and dropped it again")
{
    TestNode first("n1");
    TestNode second("n2");
    second.mesh->updateVmList({ first.vm("n1") });
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 2; }));
    const auto vm = second.vm("n2");
    second.mesh->shutdown();
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 1; }));
    CHECK(first.mesh->knownPeers() == Names { "n2" });
    first.mesh->updateVmList({ vm });
    CHECK(first.mesh->knownPeers() == Names { "n2" });
    first.mesh->updateVmList({});
    CHECK(first.mesh->knownPeers().empty());
}

TEST_CASE("a link is closed when a message on it can't be decoded")
{
    TestNode first("n1");
    std::atomic<bool> isClosed = false;
    LinkHub::Callbacks callbacks;
    LinkHub* sender = nullptr;
    callbacks.onOpen = [&](LinkId link, bool) { sender->send(link, "garbage"); };
    callbacks.onMessage = [](LinkId, const std::string&) {};
    callbacks.onClose = [&](LinkId) { isClosed = true; };
    std::string error;
    auto sendingHub = LinkHub::create("127.0.0.1", 0, callbacks, error);
    REQUIRE(sendingHub);
    sender = sendingHub.get();
    sendingHub->connect("127.0.0.1:" + std::to_string(first.mesh->port()));
    CHECK(first.waitFor([&] { return isClosed.load(); }));
}
