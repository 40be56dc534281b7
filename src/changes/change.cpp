#include "changes/change.h"

namespace pimentoshed::changes
{

const core::ChangeId &idOf(const Change &change)
{
    return std::visit(
        [](const auto &any) -> const core::ChangeId & {
            return any.id;
        },
        change);
}

} // namespace pimentoshed::changes
