/**
 * @file
 * Makes a service, targets and routers for the routing tests.
 */
#pragma once

#include "routing/servicerouter.h"

#include <string>

namespace pimentoshed::routing::test
{

inline const core::TimePoint Start{};

inline configuration::Service makeService(unsigned slots = 3)
{
    configuration::Service service;
    service.name = core::ServiceName("loans");
    service.slots = slots;
    service.coldSlots = 1;
    return service;
}

inline targets::Target makeTarget(const std::string &id,
                                  const std::string &domain = "ravne",
                                  targets::Condition condition = targets::Condition::Warm,
                                  std::uint64_t sequence = 0)
{
    targets::Target target;
    target.id = core::TargetId(id);
    target.service = core::ServiceName("loans");
    target.domain = core::FailureDomain(domain);
    target.condition = condition;
    target.version = {1, sequence};
    return target;
}

inline ServiceRouter makeRouter(unsigned targets, PickerKind kind = PickerKind::LeastExpectedTime, unsigned slots = 3)
{
    ServiceRouter router(makeService(slots),
                         core::FailureDomain("ravne"),
                         {makePicker(kind), core::seededRandom(7), true, nullptr, nullptr});
    for (unsigned i = 0; i < targets; ++i) {
        router.update(makeTarget("t" + std::to_string(i)));
    }
    return router;
}

} // namespace pimentoshed::routing::test
