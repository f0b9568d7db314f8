#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <testkit/TestSite.h>
#include <vector>

namespace bronzeswitch::measure {

/** One kind of request in a user's mix. */
struct RequestKind {
    std::string route;
    int rank = 0;
    double share = 0; /**< Share of all requests, 0 to 1. */
    int outputTokens = 0; /**< Tokens to generate; 0 for requests to services. */
    int promptCharacters = 0;
    int sharedPrefixCharacters = 0; /**< Part of the prompt that all requests of an organisation and route share. */
    int64_t deadlineMs = 0;
    bool hasIdempotencyKey = false; /**< The request carries an idempotency key. */

    bool operator==(const RequestKind&) const = default;
};

/** The result of one request. */
struct RequestOutcome {
    RequestKind kind;
    std::string requestId;
    double arrivalSeconds = 0; /**< Seconds since the start of the run. */
    CallerResponse response;

    /** @return true if the response was complete before the deadline. */
    bool isGood() const { return response.isComplete && response.seconds * 1000 <= static_cast<double>(kind.deadlineMs); }
};

/** The rate of arrivals over time: a base rate with one burst. */
struct ArrivalPlan {
    double durationSeconds = 10;
    double requestsPerSecond = 10;
    double burstFactor = 1;
    double burstStartSeconds = 0;
    double burstSeconds = 0;

    /** @return the rate in requests per second at a time since the start of the run. */
    double rateAt(double seconds) const;
};

/**
 * Sends requests to the nodes of a site with seeded random arrivals, each from a thread of its own.
 *
 * The load is open-loop: arrivals do not wait for earlier responses, like those of independent callers.
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
     * Runs a plan to its end and waits for all responses.
     * @param isStopped polled before each arrival; true ends the plan early. @param onSent called just before each request is sent.
     */
    std::vector<RequestOutcome> run(
        const ArrivalPlan&, const std::function<bool()>& isStopped = {}, const std::function<void(const RequestKind&)>& onSent = {});

private:
    RequestOutcome sendWithFailover(const RequestKind&, const std::string& requestId, const std::string& organisation,
        const std::vector<std::string>& authorities, double arrivalSeconds) const;
    CallerResponse sendTo(
        const RequestKind&, const std::string& requestId, const std::string& organisation, const std::string& authority) const;
    const RequestKind& pickRequestKind();

    TestSite& m_site;
    std::vector<RequestKind> m_kinds;
    std::mt19937 m_random;
    uint64_t m_lastRequestNumber = 0;
};

/** @return the quantile of values at a probability from 0 to 1; 0 if there are no values. */
double quantile(std::vector<double> values, double probability);

/** Formats a number with a fixed number of decimals. */
std::string format(double value, int decimals);

/** Prints one row of a Markdown table. */
void printRow(const std::vector<std::string>& cells);

/** Prints the header of a Markdown table. */
void printHeader(const std::vector<std::string>& titles);

} // namespace bronzeswitch::measure
