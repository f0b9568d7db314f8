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

/** The response that a caller received. */
struct CallerResponse {
    int status = 0; /**< HTTP status; 0 if there was no response. */
    std::string body;
    std::string reason; /**< Title of the problem document of the response or of a stream's error event, or why there was no response. */
    std::string execution; /**< "not-run" or "unknown", from the same problem document. */
    std::string text; /**< Generated text of a completion. */
    bool isComplete = false; /**< A stream ended with [DONE], or another response has status 200. */
    double firstTokenSeconds = 0; /**< Time from the request to the first text of a stream. */
    double seconds = 0; /**< Time from the request to the end of the response. */
    int textChunks = 0; /**< Number of chunks of a stream that carried text. */
    bool isConnectionRefused = false; /**< The request was not sent. */

    bool operator==(const CallerResponse&) const = default;
};

/** Parameters of a completion request. */
struct CompletionRequest {
    std::string route;
    std::string prompt = "a prompt";
    int maxTokens = 10;
    std::string organisation = "north";
    std::string requestId = {}; /**< Empty lets the node choose. */
    int64_t deadlineMs = 30000;
    bool isStreaming = true;

    bool operator==(const CompletionRequest&) const = default;
};

/** Polls a condition until it holds. @return false if the timeout passed first. */
bool waitUntil(const std::function<bool()>& condition, Duration timeout = Duration(30000));

/**
 * Sends a completion request to a node and reads the response.
 * @param isCancelled polled while waiting; the caller closes the connection once it returns true.
 */
CallerResponse sendCompletion(const std::string& authority, const CompletionRequest&, const std::function<bool()>& isCancelled = {});

/** Sends a request to a service route. @param key idempotency key; empty sends none. */
CallerResponse sendServiceRequest(const std::string& authority, const std::string& path, const std::string& key, int64_t deadlineMs = 30000,
    const std::string& organisation = "north");

/** @return the text that an engine stand-in generates for a number of tokens. */
std::string expectedText(int tokens);

/**
 * A complete deployment on loopback: stand-ins of the platform, engines and services in this process, and real node processes.
 * Functions that start or publish something throw std::runtime_error on failure.
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

    /**
     * Entries of the configuration, to be changed before publish().
     * They start with three tiers, two organisations and the global limits.
     */
    nlohmann::json& entries() { return m_entries; }

    /** Starts an engine stand-in and adds an upstream entry for it. */
    EngineStandin& addEngine(const std::string& name, EngineStandin::Options, const std::string& dataCentre = "honda");

    /** Starts a service stand-in and adds an upstream entry for it. */
    ServiceStandin& addService(const std::string& name, int slots = 8);

    /** Starts the nodes n1, n2, ... and adds them to the VM list. @param arguments further arguments for each node. */
    void startNodes(int count, const std::vector<std::string>& arguments = {});

    /** Starts one more node and adds it to the VM list. */
    NodeProcess& startNode(const std::string& name, const std::vector<std::string>& arguments = {});

    NodeProcess& node(const std::string& name);

    /** @return the running nodes in the order of their names. */
    std::vector<NodeProcess*> nodes();

    /** Publishes the entries as the configuration. @return the new revision. */
    int64_t publish();

    /** Waits until each running node has the last published revision in force and sees all running nodes as members. */
    bool waitForNodes();

    /** Waits until each claim partition is owned by a running node. */
    bool waitForClaimOwners();

    /** @return the JSON response to GET on a node's operator port, or null if there was none. */
    nlohmann::json queryOperator(const std::string& node, const std::string& path);

    /** @return the home of a route's pool, as the first running node sees it. */
    std::string poolHome(const std::string& route);

    /** Replaces the platform's VM list by the running nodes. */
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
