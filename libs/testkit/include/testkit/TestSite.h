#pragma once

#include <config/ConfigDocument.h>
#include <http/HttpClient.h>
#include <standin/EngineStandin.h>
#include <standin/PlatformStandin.h>
#include <standin/ServiceStandin.h>
#include <testkit/NodeProcess.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzeswitch {

/** What a caller got. */
struct CallerResponse {
    int status = 0; /**< 0 when there was no answer at all. */
    std::string body;
    std::string reason; /**< Of a refusal or of a stream's error event. */
    std::string execution; /**< "not-run" or "unknown" of a refusal or of a stream's error event. */
    std::string text; /**< Text of a model's answer. */
    bool isComplete = false;
    double firstTokenSeconds = 0;
    double seconds = 0;
    int textChunks = 0;
    bool isConnectionRefused = false;

    bool operator==(const CallerResponse&) const = default;
};

/** A completion to ask for. */
struct CompletionRequest {
    std::string route;
    std::string prompt = "a prompt";
    int maxTokens = 10;
    std::string organisation = "north";
    std::string requestId = {};
    int64_t deadlineMs = 30000;
    bool isStreaming = true;

    bool operator==(const CompletionRequest&) const = default;
};

/** Waits until a condition holds. @return false when a generous limit passed first. */
bool waitUntil(const std::function<bool()>& condition, Duration limit = Duration(30000));

/** Sends a completion to a node and checks its stream. */
CallerResponse sendCompletion(const std::string& authority, const CompletionRequest&, const std::function<bool()>& isCancelled = {});

/** Sends a request to a service route. */
CallerResponse sendServiceRequest(const std::string& authority, const std::string& path, const std::string& key, int64_t deadlineMs = 30000,
    const std::string& organisation = "north");

/** @return the text of a whole answer of an engine stand-in. */
std::string expectedText(int tokens);

/**
 * A site on loopback: stand-ins in this process and real node processes.
 *
 *     TestSite site;
 *     site.addEngine("e1", {});
 *     site.startNodes(3);
 *     site.publish();
 */
class TestSite {
public:
    TestSite();

    PlatformStandin& platform() { return *m_platform; }
    EngineStandin& engine(const std::string& name) { return *m_engines.at(name); }
    ServiceStandin& service(const std::string& name) { return *m_services.at(name); }
    const std::map<std::string, std::unique_ptr<EngineStandin>>& engines() const { return m_engines; }

    /** Entries of the configuration; change them and publish. Starts with tiers, organisations and routes. */
    nlohmann::json& entries() { return m_entries; }

    /** Starts an engine stand-in and adds its entry. */
    EngineStandin& addEngine(const std::string& name, EngineStandin::Options, const std::string& dataCentre = "honda");

    /** Starts a service stand-in and adds its entry. */
    ServiceStandin& addService(const std::string& name, int slots = 8);

    /** Starts nodes n1, n2, ... and lists them; extra arguments go to each. */
    void startNodes(int count, const std::vector<std::string>& arguments = {});

    /** Starts one more node and lists it. */
    NodeProcess& startNode(const std::string& name, const std::vector<std::string>& arguments = {});

    NodeProcess& node(const std::string& name);
    std::vector<NodeProcess*> nodes();

    /** Publishes the entries. @return the revision. */
    int64_t publish();

    /** Waits until every running node has the newest published revision in force and sees every other one. */
    bool waitForNodes();

    /** Waits until the running nodes own all claim partitions. */
    bool waitForClaimOwners();

    /** @return a node's answer on its operator port, or null. */
    nlohmann::json queryOperator(const std::string& node, const std::string& path);

    /** @return the home of a pool as a node sees it. */
    std::string poolHome(const std::string& route);

    /** Lists the running nodes at the platform. */
    void updateVmList();

private:
    std::unique_ptr<PlatformStandin> m_platform;
    std::map<std::string, std::unique_ptr<EngineStandin>> m_engines;
    std::map<std::string, std::unique_ptr<ServiceStandin>> m_services;
    std::map<std::string, std::unique_ptr<NodeProcess>> m_nodes;
    nlohmann::json m_entries;
    int64_t m_revision = 0;
};

} // namespace bronzeswitch
