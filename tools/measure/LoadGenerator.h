#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <testkit/TestSite.h>
#include <vector>

namespace bronzeswitch::measure {

/** One kind of work of a user's mix. */
struct RequestKind {
    std::string route;
    int rank = 0;
    double share = 0; /**< Of all requests. */
    int tokens = 0; /**< 0 for plain services. */
    int promptCharacters = 0;
    int sharedPrefixCharacters = 0; /**< Same for all requests of an organisation and route. */
    int64_t deadlineMs = 0;
    bool isKeyed = false; /**< Carries an idempotency key. */

    bool operator==(const RequestKind&) const = default;
};

/** What became of one request. */
struct RequestOutcome {
    RequestKind kind;
    std::string requestId;
    double arrived = 0; /**< Seconds since the start of the run. */
    CallerResponse answer;

    bool isGood() const { return answer.isComplete && answer.seconds * 1000 <= static_cast<double>(kind.deadlineMs); }
};

/** The rate of requests over time: a base rate with one burst. */
struct ArrivalPlan {
    double seconds = 10;
    double perSecond = 10;
    double burstFactor = 1;
    double burstStart = 0;
    double burstSeconds = 0;

    double at(double time) const;
};

/**
 * Sends a seeded open-loop load to the nodes of a site, one task a request.
 *
 * Arrivals do not wait for answers, as those of real callers do not.
 */
class LoadGenerator {
public:
    LoadGenerator(TestSite& site, std::vector<RequestKind> kinds, unsigned seed)
        : m_site(site)
        , m_kinds(std::move(kinds))
        , m_random(seed)
    {
    }

    /**
     * Runs a plan to its end and waits for all answers.
     * @param isStopped ends the plan early. @param onSent called with the kind of each request that is sent.
     */
    std::vector<RequestOutcome> run(
        const ArrivalPlan&, const std::function<bool()>& isStopped = {}, const std::function<void(const RequestKind&)>& onSent = {});

private:
    RequestOutcome send(const RequestKind&, const std::string& requestId, const std::string& organisation,
        const std::vector<std::string>& authorities, double arrived) const;
    CallerResponse sendTo(
        const RequestKind&, const std::string& requestId, const std::string& organisation, const std::string& authority) const;
    const RequestKind& pickKind();

    TestSite& m_site;
    std::vector<RequestKind> m_kinds;
    std::mt19937 m_random;
    uint64_t m_lastId = 0;
};

/** @return a quantile of values, 0 when there are none. */
double quantile(std::vector<double> values, double share);

/** @return a number as text with a number of decimals. */
std::string format(double value, int decimals);

/** Prints one row of a Markdown table. */
void printRow(const std::vector<std::string>& cells);

/** Prints the title rows of a Markdown table. */
void printHeader(const std::vector<std::string>& titles);

} // namespace bronzeswitch::measure
