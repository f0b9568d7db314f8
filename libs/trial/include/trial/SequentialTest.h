#pragma once

namespace bronzeswitch {

/**
 * Sequential likelihood-ratio test that decides between two rates of an unwanted event.
 *
 * Evidence for the good rate accumulates from the start of the test. Evidence for the bad rate is a cumulative sum (CUSUM)
 * that never falls below zero, so that a fault that begins late is detected as fast as one present from the start.
 */
class SequentialTest {
public:
    /** @param goodRate share of events to expect. @param badRate share of events to detect; larger than goodRate. */
    SequentialTest(double goodRate, double badRate);

    /** Adds one observation. */
    void observe(bool isEvent);

    bool isBad() const { return m_badEvidence >= badThreshold; }
    bool isGood() const { return m_goodEvidence >= goodThreshold; }

    /** @return the evidence for the good rate, as the logarithm of the likelihood ratio; negative if the bad rate is likelier. */
    double goodEvidence() const { return m_goodEvidence; }

    /** @return true if the evidence for the bad rate is more than one or two events produce. */
    bool suggestsBad() const { return m_goodEvidence < -goodThreshold; }

    /** @return true if there was an observation. */
    bool hasObservations() const { return m_hasObservations; }

private:
    // Logarithms of the likelihood ratio at which a rate counts as established.
    static constexpr double badThreshold = 8;
    static constexpr double goodThreshold = 4.6;

    double m_eventEvidence;
    double m_otherEvidence;
    double m_badEvidence = 0;
    double m_goodEvidence = 0;
    bool m_hasObservations = false;
};

} // namespace bronzeswitch
