#pragma once

#include "ClaimClient.h"
#include "ControlView.h"
#include "PoolHomes.h"
#include "RolloutTask.h"
#include <metrics/Metrics.h>

#include <http/HttpServer.h>
#include <node/Mesh.h>

#include <functional>

namespace bronzeswitch {

/** Handles requests on the operator port: health, metrics, and the state of the node as JSON. */
class OperatorApi {
public:
    struct Options {
        std::string node;
        std::string dataCentre;
        std::function<ControlViewPointer()> view;
        std::function<bool()> isReady;
        std::function<bool()> isDraining;
        std::function<bool()> isLogReachable;
        std::function<int()> runningRequests;
        const Mesh* mesh = nullptr;
        const PoolHomes* pools = nullptr;
        const RolloutTask* rollouts = nullptr;
        const ClaimHomes* claims = nullptr;
        Metrics* metrics = nullptr;
    };

    explicit OperatorApi(Options options)
        : m_options(std::move(options))
    {
    }

    void handle(const HttpRequest&, HttpResponder&) const;

private:
    nlohmann::json status() const;
    nlohmann::json rollouts() const;
    nlohmann::json upstreams() const;
    nlohmann::json nodes() const;
    nlohmann::json audit() const;
    nlohmann::json explain(const std::string& route) const;
    void refreshGauges() const;

    Options m_options;
};

} // namespace bronzeswitch
