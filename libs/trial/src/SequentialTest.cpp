#include <algorithm>
#include <cmath>
#include <trial/SequentialTest.h>

namespace bronzeswitch {

SequentialTest::SequentialTest(double goodRate, double badRate)
    : m_eventEvidence(std::log(badRate / goodRate))
    , m_otherEvidence(std::log((1 - badRate) / (1 - goodRate)))
{
}

void SequentialTest::observe(bool isEvent)
{
    m_hasObservations = true;
    const double evidence = isEvent ? m_eventEvidence : m_otherEvidence;
    m_badEvidence = std::max(0.0, m_badEvidence + evidence);
    m_goodEvidence -= evidence;
}

} // namespace bronzeswitch
