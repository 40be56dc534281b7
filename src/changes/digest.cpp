#include "changes/digest.h"

#include <fmt/format.h>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pimentoshed::changes
{

namespace
{

Digest hash(std::string_view text)
{
    const auto bits = XXH3_128bits(text.data(), text.size());
    return {bits.high64, bits.low64};
}

Digest digest(const ApplyFile &change)
{
    return hash(fmt::format("file {}", change.text));
}

Digest digest(const SetDomainAvailability &change)
{
    return hash(fmt::format("{} {}", change.out ? "out" : "in", change.domain.str()));
}

Digest digest(const StartRollout &change)
{
    const auto &[service, softwareVersion, over] = change.order;
    return hash(fmt::format("rollout {} {} {}", service.str(), softwareVersion, over.count()));
}

} // namespace

Digest digestOf(const Change &change)
{
    return std::visit(
        [](const auto &any) {
            return digest(any);
        },
        change);
}

} // namespace pimentoshed::changes
