#include "targets/coldramp.h"

#include <algorithm>

namespace pimentoshed::targets
{

namespace
{

/** Successful requests in a row, for each slot of the current level, after which the level doubles. */
constexpr unsigned SuccessesPerSlot = 4;

} // namespace

ColdRamp::ColdRamp(const ColdRampOptions &options, core::TimePoint ownedSince)
    : m_options(options)
    , m_foreignDeadline(ownedSince + options.deadline)
    , m_rampStart(ownedSince)
    , m_level(std::min(options.coldSlots, options.slots))
{
}

unsigned ColdRamp::limit(core::TimePoint now) const
{
    if (now >= m_foreignDeadline) {
        return m_level;
    }
    const unsigned foreignRequests = m_foreignRequests.value_or(m_level);
    return m_level > foreignRequests ? m_level - foreignRequests : 0;
}

void ColdRamp::setForeignRequests(unsigned inProgress)
{
    // Earlier owners send nothing new, so their requests can only become fewer. A higher count is outdated or wrong;
    // ignoring it does no harm.
    m_foreignRequests = std::min(inProgress, m_foreignRequests.value_or(inProgress));
}

void ColdRamp::finish(bool succeeded, core::TimePoint now)
{
    if (!succeeded) {
        m_level = std::min(m_options.coldSlots, m_options.slots);
        m_successesInRow = 0;
        m_rampStart = now;
        return;
    }
    ++m_successesInRow;
    const bool mayRise = !m_options.announcesWarm && now >= m_rampStart + m_options.warmUp;
    if (mayRise && m_successesInRow >= SuccessesPerSlot * m_level) {
        m_level = std::min(2 * m_level, m_options.slots);
        m_successesInRow = 0;
    }
}

} // namespace pimentoshed::targets
