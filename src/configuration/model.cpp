#include "configuration/model.h"

#include <algorithm>

namespace pimentoshed::configuration
{

const Service *serviceForPath(const Configuration &configuration, std::string_view path)
{
    const Service *best = nullptr;
    for (const auto &service : configuration.services) {
        const bool longer = best == nullptr || service.pathPrefix.size() > best->pathPrefix.size();
        if (longer && path.starts_with(service.pathPrefix)) {
            best = &service;
        }
    }
    return best;
}

const Service *findService(const Configuration &configuration, const core::ServiceName &name)
{
    const auto found =
        std::find_if(configuration.services.begin(), configuration.services.end(), [&name](const Service &service) {
            return service.name == name;
        });
    return found == configuration.services.end() ? nullptr : &*found;
}

bool isIdempotent(const Service &service, std::string_view method)
{
    const auto &methods = service.idempotentMethods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace pimentoshed::configuration
