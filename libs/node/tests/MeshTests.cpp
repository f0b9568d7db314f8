#include <catch2/catch.hpp>
#include <node/Mesh.h>

using namespace bronzeswitch;

namespace {

// A mesh member with a switchable state and a record of what it received.
struct Member {
    explicit Member(const std::string& name)
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
        constexpr auto limit = std::chrono::seconds(20);
        constexpr auto poll = std::chrono::milliseconds(10);
        const auto end = std::chrono::steady_clock::now() + limit;
        std::unique_lock lock(mutex);
        while (std::chrono::steady_clock::now() < end) {
            lock.unlock();
            const bool isMet = condition();
            lock.lock();
            if (isMet)
                return true;
            changed.wait_for(lock, poll);
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

TEST_CASE("nodes find each other from one side's list and pass messages both ways")
{
    Member first("n1");
    Member second("n2");
    first.mesh->updateVmList({ second.vm("n2") });
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1", "n2" }; }));
    REQUIRE(second.waitFor([&] { return second.mesh->members() == Names { "n1", "n2" }; }));
    CHECK(first.mesh->send("n2", PlaceCancel { 4 }));
    CHECK(second.mesh->send("n1", PlaceCancel { 5 }));
    REQUIRE(second.waitFor([&] { return second.received.size() == 1; }));
    CHECK(second.received[0].first == "n1");
    CHECK(std::get<PlaceCancel>(second.received[0].second).id == 4);
    REQUIRE(first.waitFor([&] { return first.received.size() == 1; }));
}

TEST_CASE("a node that stops leaves the members and one that drains is no home")
{
    Member first("n1");
    Member second("n2");
    Member third("n3");
    first.mesh->updateVmList({ second.vm("n2"), third.vm("n3") });
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 3; }));
    second.mesh->shutdown();
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1", "n3" }; }));
    CHECK_FALSE(first.mesh->send("n2", PlaceCancel { 1 }));
    third.isDraining = true;
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1" }; }));
    CHECK(first.mesh->isLive("n3"));
}

TEST_CASE("a peer whose link goes silent is found within the bound and its link is replaced")
{
    Member first("n1");
    // A hub that accepts links and never answers stands for a connection that went silent for good.
    std::atomic<int> accepted = 0;
    LinkHub::Callbacks callbacks;
    callbacks.onOpen = [&](LinkId, bool) { ++accepted; };
    callbacks.onMessage = [](LinkId, const std::string&) {};
    callbacks.onClose = [](LinkId) {};
    std::string error;
    auto silent = LinkHub::create("127.0.0.1", 0, callbacks, error);
    REQUIRE(silent);
    first.mesh->updateVmList({ { "n2", "honda", "127.0.0.1:" + std::to_string(silent->port()), false } });
    REQUIRE(first.waitFor([&] { return accepted >= 3; }));
    CHECK(first.mesh->members() == Names { "n1" });
}

TEST_CASE("a peer that the list marks as leaving is no member")
{
    Member first("n1");
    Member second("n2");
    auto vm = second.vm("n2");
    first.mesh->updateVmList({ vm });
    REQUIRE(first.waitFor([&] { return first.mesh->members().size() == 2; }));
    vm.isLeaving = true;
    first.mesh->updateVmList({ vm });
    REQUIRE(first.waitFor([&] { return first.mesh->members() == Names { "n1" }; }));
}

TEST_CASE("a peer that is neither listed nor live is forgotten, a listed one is not")
{
    Member first("n1");
    Member second("n2");
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

TEST_CASE("a peer that dies before the list has shown it stays known, one that the list has dropped does not")
{
    Member first("n1");
    Member second("n2");
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

TEST_CASE("a frame that can't be read closes its link")
{
    Member first("n1");
    std::atomic<bool> isClosed = false;
    LinkHub::Callbacks callbacks;
    LinkHub* self = nullptr;
    callbacks.onOpen = [&](LinkId link, bool) { self->send(link, "garbage"); };
    callbacks.onMessage = [](LinkId, const std::string&) {};
    callbacks.onClose = [&](LinkId) { isClosed = true; };
    std::string error;
    auto stranger = LinkHub::create("127.0.0.1", 0, callbacks, error);
    REQUIRE(stranger);
    self = stranger.get();
    stranger->connect("127.0.0.1:" + std::to_string(first.mesh->port()));
    CHECK(first.waitFor([&] { return isClosed.load(); }));
}
