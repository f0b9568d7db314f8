#pragma once

#include <config/Configuration.h>
#include <sched/AdmissionControl.h>
#include <sched/CandidateShare.h>
#include <sched/SpeedEstimate.h>

#include <vector>

namespace bronzeswitch {

/** Whether a pool learns the capacity of its upstreams; see CapacityEstimate. */
enum class CapacityLearning {
    Never,
    OncePaceIsStated, /**< From the first response or report on that states an upstream's pace. */
    Always,
};

/** The configuration of a pool, as far as its scheduler needs it. */
struct PoolPlan {
    std::vector<Upstream> upstreams;
    std::vector<VersionPlan> versions;
    std::vector<Organisation> organisations;
    Limits limits;
    NominalSpeed nominalSpeed;
    /** Share of the granted work that each waiting rank gets even while higher ranks wait; 0 for strict priority. */
    double lowerRankShare = 0;
    std::string dataCentre; /**< Preferred data centre of requests that name none. Empty for no preference. */
    /** For how long an upstream's report of its load limits it. Short where reports come with responses; see UntrackedLoad. */
    Duration loadReportLifetime { 10000 };
    /** Whether requests that other nodes report to run at an upstream count against its limit. */
    bool countsPeerReports = true;
    /** Whether upstreams crash under load while they are cold. Upstreams get nothing until setColdStartRates() and setColdUntil(). */
    bool limitsColdStart = false;
    AdmissionSettings admission;
    CapacityLearning capacityLearning = CapacityLearning::Never;
    int memoryTokens = 0; /**< Tokens that the requests at one upstream must stay below; 0 for no limit. */

    bool operator==(const PoolPlan&) const = default;
};

} // namespace bronzeswitch
