/**
 * @file
 * The time for which an entry host may act on its configuration without another confirmation.
 */
#pragma once

#include "core/time.h"

#include <optional>

namespace pimentoshed::membership
{

/**
 * A host's permission to act on its configuration. It starts when the host sent the call whose reply confirmed that the
 * configuration was current, and lasts for a configured time. All times are of this host's clock, so no clocks of
 * different hosts are compared. Not thread-safe.
 */
class Permission
{
public:
    /** Records the confirmation of a call sent at @p sent. Never shortens the permission. */
    void confirm(core::TimePoint sent)
    {
        if (!m_confirmedSendTime || *m_confirmedSendTime < sent) {
            m_confirmedSendTime = sent;
        }
    }

    /** Whether any call has been confirmed. */
    bool isConfirmed() const
    {
        return m_confirmedSendTime.has_value();
    }

    /** Returns when the permission, which lasts for @p length, ends; the epoch if no call has been confirmed. */
    core::TimePoint end(core::Duration length) const
    {
        return m_confirmedSendTime ? *m_confirmedSendTime + length : core::TimePoint();
    }

private:
    std::optional<core::TimePoint> m_confirmedSendTime;
};

} // namespace pimentoshed::membership
