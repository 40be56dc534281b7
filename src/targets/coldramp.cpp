#include "targets/coldramp.h"

#include <algorithm>

namespace pimentoshed::targets
{

namespace
{

/** Good requests in a row, for each slot of the level, that double the level. */
constexpr unsigned GoodPerSlot = 4;

} // namespace

ColdRamp::ColdRamp(const ColdRampOptions &terms, core::TimePoint gained)
    : m_terms(terms)
    , m_foreignEnd(gained + terms.deadline)
    , m_rampStart(gained)
    , m_level(std::min(terms.coldSlots, terms.slots))
{
}

unsigned ColdRamp::limit(core::TimePoint now) const
{
    if (now >= m_foreignEnd) {
        return m_level;
    }
    const unsigned foreign = m_foreign.value_or(m_level);
    return m_level > foreign ? m_level - foreign : 0;
}

void ColdRamp::setForeignRequests(unsigned inProgress)
{
    // What earlier owners sent can only end: a higher report is an older one, or a lie that costs nothing to ignore.
    m_foreign = std::min(inProgress, m_foreign.value_or(inProgress));
}

void ColdRamp::finish(bool good, core::TimePoint now)
{
    if (!good) {
        m_level = std::min(m_terms.coldSlots, m_terms.slots);
        m_goodInRow = 0;
        m_rampStart = now;
        return;
    }
    ++m_goodInRow;
    const bool mayRise = !m_terms.announcesWarm && now >= m_rampStart + m_terms.warmUp;
    if (mayRise && m_goodInRow >= GoodPerSlot * m_level) {
        m_level = std::min(2 * m_level, m_terms.slots);
        m_goodInRow = 0;
    }
}

} // namespace pimentoshed::targets
