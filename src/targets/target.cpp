#include "targets/target.h"

#include "core/text.h"

#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace pimentoshed::targets
{

core::Status checkNames(const Target &target)
{
    const auto malformed = [](std::string detail) {
        return core::Error{core::ErrorCode::AnnouncementMalformed, std::move(detail)};
    };
    const auto &id = target.id.str();
    if (id.empty() || id.size() > core::MaxNameBytes || !core::isVisibleAscii(id)) {
        return malformed(fmt::format("id: expected 1 to {} visible ASCII characters", core::MaxNameBytes));
    }
    const std::array<std::pair<std::string_view, std::string_view>, 4> names{{{"service", target.service.str()},
                                                                              {"failure domain", target.domain.str()},
                                                                              {"address", target.address},
                                                                              {"version", target.softwareVersion}}};
    for (const auto &[what, name] : names) {
        if (const auto checked = core::checkName(what, name); !core::ok(checked)) {
            return malformed(core::error(checked).detail);
        }
    }
    return std::monostate{};
}

} // namespace pimentoshed::targets
