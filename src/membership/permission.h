/**
 * @file
 * How long an entry host may act on what it knows.
 */
#pragma once

#include "core/time.h"

#include <optional>

namespace pimentoshed::membership
{

/**
 * Runs from the moment at which a question was asked whose answer confirmed that the configuration was current. Asked
 * moments are this host's own, so no clocks are compared.
 */
class Permission
{
public:
    /** Takes a confirmation of a question asked at @p asked. Never shortens the permission. */
    void confirm(core::TimePoint asked)
    {
        if (!m_asked || *m_asked < asked) {
            m_asked = asked;
        }
    }

    /** Whether it holds at @p now, where it lasts for @p length. */
    bool holds(core::TimePoint now, core::Duration length) const
    {
        return m_asked && now < *m_asked + length;
    }

    /** Time since the last confirmed question was asked. */
    std::optional<core::Duration> age(core::TimePoint now) const
    {
        return m_asked ? std::optional<core::Duration>(now - *m_asked) : std::nullopt;
    }

private:
    std::optional<core::TimePoint> m_asked;
};

} // namespace pimentoshed::membership
