/**
 * @file
 * Asks several targets for their load just before one of them is given a request.
 */
#pragma once

#include "http/connectionpool.h"
#include "http/exchange.h"
#include "http/marking.h"
#include "routing/loadreport.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::http
{

/** A target that is asked. */
struct LookTarget {
    core::TargetId id;
    std::string address;
};

/** What came of asking one target. */
struct Look {
    /** Nothing where it did not answer in time, or by something else than its load. */
    std::optional<routing::LoadReport> load;
    /** Whether its connection failed, or it answered something else: more than an answer that comes late. */
    bool failed = false;
    /** Where it answered: the connection, on which the next request may be sent. */
    std::unique_ptr<TargetConnection> connection;
};

/** How targets are asked. */
struct LookTerms {
    std::string path;
    /** All answers that have not come after this are given up, with their connections. */
    core::Duration patience{};
    const Marking &marking;
};

/** Asks all @p targets at once, within the exchange's coroutine; what came, in the same order. */
std::vector<Look> lookAt(Exchange &exchange,
                         ConnectionPool &pool,
                         const std::vector<LookTarget> &targets,
                         const LookTerms &terms);

} // namespace pimentoshed::http
