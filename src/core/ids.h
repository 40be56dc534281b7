/**
 * @file
 * Strongly typed names: a name of one kind can't be passed where another kind is expected.
 */
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace pimentoshed::core
{

/** A string of its own type; each @p Tag makes a type that doesn't convert to the others. */
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &str() const
    {
        return m_value;
    }
    bool empty() const
    {
        return m_value.empty();
    }
    auto operator<=>(const Id &) const = default;

private:
    std::string m_value;
};

using ServiceName = Id<struct ServiceNameTag>;
using RouteName = Id<struct RouteNameTag>;
using InstitutionName = Id<struct InstitutionNameTag>;
/** A group of callers with keys and a request quota of its own. */
using WorkspaceName = Id<struct WorkspaceNameTag>;
using FailureDomain = Id<struct FailureDomainTag>;
/** A control or entry host. */
using HostId = Id<struct HostIdTag>;
using TargetId = Id<struct TargetIdTag>;
/** Identifies one change by an operator; a change that is resent carries the same id. */
using ChangeId = Id<struct ChangeIdTag>;
/** Identifies one non-idempotent request of a caller. */
using RequestKey = Id<struct RequestKeyTag>;

} // namespace pimentoshed::core

template<typename Tag>
struct std::hash<pimentoshed::core::Id<Tag>> {
    std::size_t operator()(const pimentoshed::core::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
