#include "changes/change.h"

#include "core/text.h"

namespace pimentoshed::changes
{

namespace
{

/** Checks the names in a change; one overload for each type of change. */
struct NameCheck {
    core::Status operator()(const ApplyFile & /*change*/) const
    {
        return std::monostate{};
    }
    core::Status operator()(const SetDomainAvailability &change) const
    {
        return core::checkName("failure domain", change.domain.str());
    }
    core::Status operator()(const StartRollout &change) const
    {
        return core::checkName("service", change.order.service.str());
    }
};

} // namespace

const core::ChangeId &idOf(const Change &change)
{
    return std::visit(
        [](const auto &any) -> const core::ChangeId & {
            return any.id;
        },
        change);
}

core::Status checkNames(const Change &change)
{
    return std::visit(NameCheck{}, change);
}

} // namespace pimentoshed::changes
