#include "soak/promises.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <unordered_map>

namespace pimentoshed::soak
{

namespace
{

using namespace std::chrono_literals;

/** A target that leaves gets no new requests after this time; the bound of the users' platform. */
constexpr core::Duration DrainLimit = 2s;
/** The same after a fault: a target's lease, which ends where the announcement was lost, and the same bound. */
constexpr core::Duration DrainLimitAfterFault = 8s;
/** A failure domain that is taken out gets no new requests after this time: a permission, and the time of a request. */
constexpr core::Duration DomainLimit = 5s;
/** A host that is current knows every change that was acknowledged this long ago: a permission, and the time to read.
 */
constexpr core::Duration InForceLimit = 4s;
/** A request and its run count as undisturbed if there was no disturbance this close to them. */
constexpr core::Duration Margin = 1s;

/** Finds broken promises in records that are indexed by path. */
class Checker
{
public:
    explicit Checker(const Records &records)
        : m_records(records)
    {
        for (const auto &request : records.requests) {
            m_requests.emplace(request.path, &request);
        }
        for (const auto &run : records.runs) {
            m_runs[run.path].push_back(&run);
        }
    }

    std::vector<BrokenPromise> check()
    {
        for (const auto &request : m_records.requests) {
            checkRequest(request);
        }
        for (const auto &run : m_records.runs) {
            checkRun(run);
        }
        checkReads();
        for (const auto &stop : m_records.stops) {
            if (stop.exitCode != 0) {
                addIfFirst(m_broken,
                           {Promise::StopCutsNothing,
                            fmt::format("{} ended with {}", stop.host, stop.exitCode),
                            {stop.host},
                            stop.ended});
            }
        }
        return std::move(m_broken);
    }

private:
    void addRequest(Promise promise, const CallerRequest &request, const Run *run)
    {
        BrokenPromise broken{promise,
                             fmt::format("{} at {}: {} {}",
                                         request.path,
                                         request.entryHost,
                                         core::nameOf(OutcomeNames, request.outcome),
                                         request.detail),
                             {request.entryHost},
                             request.time.until};
        if (run != nullptr) {
            broken.detail += fmt::format(", run by {}", run->target);
            broken.hosts.push_back(run->target);
        }
        addIfFirst(m_broken, std::move(broken));
    }

    void checkRequest(const CallerRequest &request)
    {
        const auto found = m_runs.find(request.path);
        const std::size_t runs = found == m_runs.end() ? 0 : found->second.size();
        const auto *run = runs == 0 ? nullptr : found->second.back();
        if (request.outcome == Outcome::Wrong || (request.outcome == Outcome::Answered && runs == 0)) {
            addRequest(Promise::WholeAnswer, request, run);
        }
        if (!request.isIdempotent && runs > 1) {
            addRequest(Promise::AtMostOnce, request, run);
        }
        const bool isNotRun = request.outcome == Outcome::RefusedAsNotRun || request.outcome == Outcome::BehindClose;
        if (isNotRun && runs > 0) {
            addRequest(Promise::NotRunIsTrue, request, run);
        }
        if (!isUndisturbed(request.time)) {
            return;
        }
        if (request.outcome == Outcome::Cut) {
            addRequest(Promise::StopCutsNothing, request, run);
        }
        if (request.outcome != Outcome::Answered && run != nullptr && run->end) {
            addRequest(Promise::ReadyAnswerDelivered, request, run);
        }
    }

    void checkRun(const Run &run)
    {
        const auto found = m_requests.find(run.path);
        if (found == m_requests.end()) {
            return;
        }
        const auto &request = *found->second;
        for (const auto &departure : m_records.departures) {
            const bool isQuiet = isUndisturbed({departure.acknowledged - InForceLimit, run.start});
            const auto limit = departure.acknowledged + (isQuiet ? DrainLimit : DrainLimitAfterFault);
            if (departure.target == run.target && request.time.from > limit) {
                addRequest(Promise::NothingAfterLeaving, request, &run);
            }
        }
        for (const auto &outage : m_records.outages) {
            if (outage.domain == run.domain && request.time.from > outage.time.from + DomainLimit
                && run.start < outage.time.until) {
                addRequest(Promise::NothingInDomainOut, request, &run);
            }
        }
    }

    void checkReads()
    {
        std::map<std::pair<std::string, int>, std::uint64_t> newest;
        for (const auto &read : m_records.reads) {
            auto &known = newest[{read.host, read.process}];
            if (read.revision < known) {
                addIfFirst(m_broken,
                           {Promise::ConfigurationNeverOlder,
                            fmt::format("{} had revision {}, now {}", read.host, known, read.revision),
                            {read.host},
                            read.sent});
            }
            known = std::max(known, read.revision);
            for (const auto &change : m_records.changes) {
                if (read.isCurrent && change.at + InForceLimit < read.sent && change.revision > read.revision) {
                    addIfFirst(m_broken,
                               {Promise::ConfigurationInForce,
                                fmt::format("{} is current at revision {}, but {} was acknowledged {:.1f} s before",
                                            read.host,
                                            read.revision,
                                            change.revision,
                                            core::toSeconds(read.sent - change.at)),
                                {read.host},
                                read.sent});
                }
            }
        }
    }

    bool isUndisturbed(const Interval &time) const
    {
        return std::none_of(
            m_records.disturbances.begin(), m_records.disturbances.end(), [&time](const Interval &disturbance) {
                return time.from < disturbance.until + Margin && disturbance.from < time.until + Margin;
            });
    }

    const Records &m_records;
    std::unordered_map<std::string, const CallerRequest *> m_requests;
    std::unordered_map<std::string, std::vector<const Run *>> m_runs;
    std::vector<BrokenPromise> m_broken;
};

} // namespace

bool addIfFirst(std::vector<BrokenPromise> &broken, BrokenPromise found)
{
    const bool isKnown = std::any_of(broken.begin(), broken.end(), [&found](const BrokenPromise &known) {
        return known.promise == found.promise;
    });
    if (!isKnown) {
        broken.push_back(std::move(found));
    }
    return !isKnown;
}

std::vector<BrokenPromise> findBrokenPromises(const Records &records)
{
    return Checker(records).check();
}

} // namespace pimentoshed::soak
