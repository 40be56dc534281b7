#include "workspaces/caller.h"

#include "configuration/keydigest.h"

#include <algorithm>
#include <vector>

namespace pimentoshed::workspaces
{

PresentedKey presentKeys(std::span<const std::string_view> keys)
{
    const auto isGiven = [](std::string_view key) {
        return !key.empty();
    };
    const auto first = std::find_if(keys.begin(), keys.end(), isGiven);
    if (first == keys.end()) {
        return {};
    }
    if (std::count_if(first, keys.end(), isGiven) > 1) {
        return {KeyPresence::Several, {}};
    }
    return {KeyPresence::Single, configuration::digestOfKey(*first)};
}

bool needsKey(const configuration::Configuration &configuration, const configuration::Route &route)
{
    return !configuration.workspaces.empty() && !route.isPublic;
}

bool mayUseKeys(const configuration::Configuration &configuration, const configuration::Route &route, bool isCurrent)
{
    return isCurrent || !needsKey(configuration, route)
           || configuration.limits.keysWhenStale == configuration::WhenStale::Serve;
}

core::Result<Caller> identify(const configuration::Configuration &configuration,
                              const KeyTable &table,
                              const configuration::Route &route,
                              const PresentedKey &key,
                              bool isCurrent)
{
    if (!mayUseKeys(configuration, route, isCurrent)) {
        return core::Error{core::ErrorCode::NotCurrent, "keys may have been taken away"};
    }
    Caller caller;
    if (key.presence == KeyPresence::Single) {
        caller.workspace = table.find(key.digest);
    }
    if (caller.workspace != nullptr || !needsKey(configuration, route)) {
        return caller;
    }
    if (!isCurrent) {
        return core::Error{core::ErrorCode::NotCurrent, "a newer configuration may allow the request"};
    }
    switch (key.presence) {
    case KeyPresence::Missing:
        return core::Error{core::ErrorCode::KeyUnknown, "the request carries no key"};
    case KeyPresence::Several:
        return core::Error{core::ErrorCode::KeyUnknown, "the request carries several keys"};
    case KeyPresence::Single:
        break;
    }
    return core::Error{core::ErrorCode::KeyUnknown, "no workspace holds the request's key"};
}

} // namespace pimentoshed::workspaces
