#include "routing/servicerouter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentoshed::routing
{

namespace
{

/** The share of serving targets that may be held at once, as one in this many. */
constexpr std::size_t HeldShareDivisor = 2;
/** At most one assignment in this many is a trial. */
constexpr unsigned AssignmentsPerTrial = 4;
/** Targets with room that a picker is shown at most. */
constexpr std::size_t MaxCandidates = 64;
/** Trials in a row that go wrong before a target is taken to have turned cold. */
constexpr unsigned TrialsUntilCold = 4;
/** How far one sample moves a moving mean: some forty samples decide. */
constexpr double EstimateStep = 0.05;
/** Objectives leave room for work that takes twice or three times as long as usual. */
constexpr double WorkOfObjective = 0.4;
/** A target counts as idle up to this slowness and this share of its slots: nearly full ones often work slower. */
constexpr double IdleSlowness = 1.25;
constexpr double IdleShare = 0.5;
/** A report of a target's load says nothing any more after this: shared machines change within some 150 ms. */
constexpr core::Duration ReportMemory = std::chrono::milliseconds(300);
/** A report that is older may be out of date: a fraction of the time within which speeds change. */
constexpr core::Duration FreshReport = std::chrono::milliseconds(25);
/** Less likely than this to be in time at any target, a request waits here. */
constexpr double LeastChance = 0.3;
/** How far a request's time lies from what was expected, as a share of it: work varies by a third. */
constexpr double TimeSpread = 0.25;
/** A target that calls itself unfit may be wrong, but others go first. */
constexpr double ChanceOfIll = 0.2;
/** Between two tries at a target that can't be reached: less than a cold start takes, and a second at most. */
constexpr core::Duration LeastUnreachablePause = std::chrono::milliseconds(100);
/** Answers to questions for its load that may come late in a row before a target counts as unreachable. */
constexpr unsigned LateAnswersBorne = 3;
constexpr core::Duration MostUnreachablePause = std::chrono::seconds(1);
constexpr core::Duration FailurePause = std::chrono::milliseconds(50);

bool contains(std::span<const core::TargetId> ids, const core::TargetId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** @p bound for a target that had said that it was @p slowness times as slow as usual: what it announced is no fault.
 */
core::Duration stretched(core::Duration bound, double slowness)
{
    constexpr auto Longest = std::chrono::hours(1);
    return slowness <= 1 || bound > Longest
               ? bound
               : core::Duration(static_cast<std::int64_t>(static_cast<double>(bound.count()) * slowness));
}

/** How likely work that should take @p expected ends within @p objective; without one, the sooner the likelier. */
double chanceOf(core::Duration expected, core::Duration objective)
{
    if (objective == core::Duration{}) {
        return 1 / (1 + core::toSeconds(expected));
    }
    const double share = core::toSeconds(expected) / core::toSeconds(objective);
    return 1 / (1 + std::exp((share - 1) / TimeSpread));
}

bool allows(const AssignOptions &terms, const core::TargetId &id)
{
    return !contains(terms.excludedTargets, id) && (terms.allowedTargets.empty() || contains(terms.allowedTargets, id));
}

} // namespace

ServiceRouter::ServiceRouter(configuration::Service service, core::FailureDomain ownDomain, RouterHooks hooks)
    : m_service(std::move(service))
    , m_ownDomain(std::move(ownDomain))
    , m_hooks(std::move(hooks))
{
    m_candidates.reserve(MaxCandidates);
    m_candidatePositions.reserve(MaxCandidates);
}

void ServiceRouter::configure(const configuration::Service &service)
{
    m_service = service;
}

void ServiceRouter::assumeObjective(core::Duration objective)
{
    m_work.assume(core::Duration(static_cast<std::int64_t>(static_cast<double>(objective.count()) * WorkOfObjective)));
}

void ServiceRouter::update(const targets::Target &target)
{
    const auto [position, isNew] = m_positions.try_emplace(target.id, m_entries.size());
    if (isNew) {
        m_entries.emplace_back();
        m_entries.back().outstanding.reserve(m_service.slots);
    }
    auto &entry = m_entries[position->second];
    if (entry.target && (target.version < entry.target->version || *entry.target == target)) {
        return;
    }
    const bool restarted = entry.target && entry.target->version.incarnation != target.version.incarnation;
    entry.target = std::make_shared<const targets::Target>(target);
    if (restarted) {
        trust(entry);
    }
    refresh(entry);
    if (target.condition == targets::Condition::Gone && entry.outstanding.empty()) {
        erase(position->second);
    }
    recount();
}

void ServiceRouter::setDomainsOutOfService(std::span<const core::FailureDomain> outDomains)
{
    if (std::equal(outDomains.begin(), outDomains.end(), m_outDomains.begin(), m_outDomains.end())) {
        return;
    }
    m_outDomains.assign(outDomains.begin(), outDomains.end());
    for (auto &entry : m_entries) {
        refresh(entry);
    }
    recount();
}

core::Result<Assignment> ServiceRouter::assign(core::TimePoint now, std::span<const core::TargetId> avoid)
{
    AssignOptions terms;
    terms.excludedTargets = avoid;
    return assign(now, terms);
}

std::vector<std::shared_ptr<const targets::Target>> ServiceRouter::shortlist(core::TimePoint now,
                                                                             const AssignOptions &terms,
                                                                             std::size_t count)
{
    std::vector<std::shared_ptr<const targets::Target>> found;
    gather(now, terms);
    while (found.size() < count && !m_candidates.empty()) {
        const auto choice = m_hooks.picker(m_candidates, m_hooks.random);
        if (!choice) {
            break;
        }
        found.push_back(m_entries[m_candidatePositions[*choice]].target);
        m_candidates.erase(m_candidates.begin() + static_cast<std::ptrdiff_t>(*choice));
        m_candidatePositions.erase(m_candidatePositions.begin() + static_cast<std::ptrdiff_t>(*choice));
    }
    return found;
}

void ServiceRouter::recordFailedProbe(const core::TargetId &id, bool failed, core::TimePoint now)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return;
    }
    auto &entry = m_entries[found->second];
    // This host may be the one that is slow.
    if (failed || ++entry.lateAnswers >= LateAnswersBorne) {
        leaveAlone(entry, now);
    }
}

/** One that is gone is asked again now and then, ever more rarely; one that answers is taken back at once. */
void ServiceRouter::leaveAlone(Entry &entry, core::TimePoint now)
{
    if (now < entry.unreachableUntil) {
        return;
    }
    entry.unreachablePause =
        std::clamp<core::Duration>(entry.unreachablePause * 2, LeastUnreachablePause, MostUnreachablePause);
    entry.unreachableUntil = now + entry.unreachablePause;
}

void ServiceRouter::recordLoadReport(const core::TargetId &id, const LoadReport &report, core::TimePoint now)
{
    const auto found = m_positions.find(id);
    if (found != m_positions.end()) {
        takeReport(m_entries[found->second], report, now);
    }
}

core::Result<Assignment> ServiceRouter::assign(core::TimePoint now, const AssignOptions &terms)
{
    ++m_sinceTrial;
    if (const auto trial = dueTrial(now, terms)) {
        m_sinceTrial = 0;
        return start(m_entries[*trial], now, true);
    }
    const auto position = pick(now, terms);
    if (!position) {
        return core::Error{core::ErrorCode::NoTarget, m_service.name.str()};
    }
    auto &entry = m_entries[*position];
    return start(entry, now, entry.suspicion.trialDue(now));
}

void ServiceRouter::release(const Assignment &assignment, const AttemptEnd &end, core::TimePoint now)
{
    const auto found = m_positions.find(assignment.target->id);
    if (found == m_positions.end()) {
        return;
    }
    auto &entry = m_entries[found->second];
    const auto attempt = std::find_if(entry.outstanding.begin(), entry.outstanding.end(), [&](const auto &each) {
        return each.attempt == assignment.attempt;
    });
    if (attempt == entry.outstanding.end()) {
        return;
    }
    const auto ended = *attempt;
    entry.outstanding.erase(attempt);
    entry.lastEnd = now;
    // An answer of an earlier incarnation says nothing of this one.
    if (assignment.target->version.incarnation == entry.target->version.incarnation) {
        learn(entry, ended, end, now);
    }
    if (entry.target->condition == targets::Condition::Gone && entry.outstanding.empty()) {
        erase(found->second);
        recount();
    }
}

TargetStatus ServiceRouter::status(const core::TargetId &id) const
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return {};
    }
    const auto &entry = m_entries[found->second];
    return {static_cast<unsigned>(entry.outstanding.size()),
            entry.suspicion.suspect(),
            entry.held,
            entry.assumedColdUntil.has_value()};
}

core::Duration ServiceRouter::usualProcessingTime() const
{
    return core::Duration(static_cast<std::int64_t>(m_work.usual()));
}

const LatencyEstimate &ServiceRouter::latency() const
{
    return m_latency;
}

std::size_t ServiceRouter::inFlight() const
{
    std::size_t count = 0;
    for (const auto &entry : m_entries) {
        count += entry.outstanding.size();
    }
    return count;
}

void ServiceRouter::refresh(Entry &entry) const
{
    const auto &target = *entry.target;
    const bool takesWork = target.condition == targets::Condition::Cold || target.condition == targets::Condition::Warm;
    const bool out = std::find(m_outDomains.begin(), m_outDomains.end(), target.domain) != m_outDomains.end();
    entry.serves = takesWork && !out;
    entry.near = target.domain == m_ownDomain;
}

void ServiceRouter::setHeld(Entry &entry)
{
    if (entry.serves && !entry.held && m_held < m_serving / HeldShareDivisor) {
        entry.held = true;
        ++m_held;
    }
}

void ServiceRouter::noticeLate(Entry &entry, core::TimePoint now)
{
    if (!m_hooks.ejectsOutliers || entry.suspicion.suspect() || entry.outstanding.empty() || !m_latency.known()) {
        return;
    }
    const auto oldest = entry.outstanding.front().start;
    const auto &first = entry.outstanding.front();
    const bool late = now - oldest > stretched(m_latency.lateThreshold(), first.slowness);
    const bool silent = now - std::max(oldest, entry.lastEnd)
                        > stretched(m_latency.stallThreshold(entry.outstanding.size()), first.slowness);
    if (late || silent) {
        entry.suspicion.raise(now, m_latency.mean());
        ++m_suspects;
        setHeld(entry);
    }
}

void ServiceRouter::learn(Entry &entry, const Outstanding &attempt, const AttemptEnd &end, core::TimePoint now)
{
    if (end.report) {
        takeReport(entry, *end.report, now);
    }
    if (end.outcome == AttemptOutcome::Unreachable) {
        leaveAlone(entry, now);
    }
    if (end.outcome == AttemptOutcome::Cancelled) {
        if (attempt.trial) {
            entry.suspicion.dropTrial();
        }
        return;
    }
    if (m_hooks.onAttemptEnd) {
        m_hooks.onAttemptEnd(*entry.target, end, m_latency.lateThreshold(), now);
    }
    const bool answered = end.outcome == AttemptOutcome::Answered;
    const bool good = answered && end.latency <= stretched(m_latency.lateThreshold(), attempt.slowness);
    if (answered) {
        m_latency.addSample(end.latency);
        if (attempt.unqueued) {
            m_work.add(end.latency, attempt.slowness);
        }
        (entry.near ? m_nearLatency : m_farLatency).addSample(end.latency);
    }
    if (!m_hooks.ejectsOutliers) {
        return;
    }
    if (good && attempt.trial) {
        trust(entry);
    } else if (!good && attempt.trial) {
        failTrial(entry, now);
    } else if (!good && !entry.suspicion.suspect()) {
        entry.suspicion.raise(now, answered ? m_latency.mean() : FailurePause);
        ++m_suspects;
        setHeld(entry);
    }
}

void ServiceRouter::failTrial(Entry &entry, core::TimePoint now)
{
    entry.suspicion.failTrial(now);
    if (++entry.failedTrials >= TrialsUntilCold) {
        entry.assumedColdUntil = now + m_service.warmUp;
        entry.failedTrials = 0;
    }
}

void ServiceRouter::trust(Entry &entry)
{
    if (entry.suspicion.suspect()) {
        --m_suspects;
    }
    if (std::exchange(entry.held, false)) {
        --m_held;
    }
    entry.suspicion.passTrial();
    entry.failedTrials = 0;
    entry.assumedColdUntil.reset();
    for (auto &attempt : entry.outstanding) {
        attempt.trial = false;
    }
}

unsigned ServiceRouter::limit(const Entry &entry, core::TimePoint now) const
{
    if (!entry.serves) {
        return 0;
    }
    if (!isCold(entry, now)) {
        return slots(entry);
    }
    if (m_hooks.canSendToCold && m_service.coldRequestsPerSecond > 0) {
        return m_hooks.canSendToCold(*entry.target, m_service, now) ? slots(entry) : 0;
    }
    return m_hooks.coldLimit ? std::min(m_hooks.coldLimit(*entry.target, now), m_service.slots) : m_service.coldSlots;
}

bool ServiceRouter::isCold(const Entry &entry, core::TimePoint now) const
{
    const bool assumed = entry.assumedColdUntil && now < *entry.assumedColdUntil;
    return assumed || entry.target->condition != targets::Condition::Warm;
}

unsigned ServiceRouter::slots(const Entry &entry) const
{
    return entry.target->slots > 0 ? entry.target->slots : m_service.slots;
}

void ServiceRouter::takeReport(Entry &entry, const LoadReport &report, core::TimePoint now)
{
    entry.unreachableUntil = {};
    entry.unreachablePause = {};
    entry.lateAnswers = 0;
    entry.report = report;
    entry.reportedAt = now;
    entry.ownAtReport = entry.outstanding.size();
    m_usualSlowness += (report.slowness - m_usualSlowness) * EstimateStep;
    if (report.remainingColdTime > core::Duration{}) {
        entry.assumedColdUntil = now + report.remainingColdTime;
    }
}

double ServiceRouter::estimatedLoad(const Entry &entry, core::TimePoint now) const
{
    const auto own = static_cast<double>(entry.outstanding.size());
    if (!entry.report || now - entry.reportedAt > ReportMemory) {
        return own;
    }
    const double fresh = 1 - core::toSeconds(now - entry.reportedAt) / core::toSeconds(ReportMemory);
    const double reported = entry.report->running + entry.report->waiting;
    return own + fresh * std::max(0.0, reported - static_cast<double>(entry.ownAtReport));
}

double ServiceRouter::slowness(const Entry &entry, core::TimePoint now) const
{
    if (!entry.report || now - entry.reportedAt > ReportMemory) {
        return m_usualSlowness;
    }
    const double fresh = 1 - core::toSeconds(now - entry.reportedAt) / core::toSeconds(ReportMemory);
    return m_usualSlowness + fresh * (entry.report->slowness - m_usualSlowness);
}

core::Duration ServiceRouter::expectedTime(const Entry &entry, core::TimePoint now) const
{
    const double load = estimatedLoad(entry, now);
    const double room = slots(entry);
    // How slow work is shows when it starts: of what waits in a target's own queue nothing is known but the usual.
    const double queued = std::max(0.0, load + 1 - room) / room;
    const double own = queued > 0 ? m_usualSlowness : slowness(entry, now);
    // Equal targets differ a little by their load, so that work spreads before any is full.
    constexpr double SpreadShare = 0.1;
    return core::Duration(
        static_cast<std::int64_t>(m_work.usual() * (own * (1 + SpreadShare * load / room) + m_usualSlowness * queued)));
}

/**
 * A target takes work while it has a slot free and is likely to end it in time: it is worth waiting for one that has
 * room and is fast. Its own queue is not used where requests can wait here.
 */
bool ServiceRouter::hasRoom(const Entry &entry,
                            const Candidate &candidate,
                            const AssignOptions &terms,
                            core::TimePoint now) const
{
    if (!m_work.known()) {
        return true;
    }
    // What was said a while ago rules nobody out that can be asked again; those that are named have just been asked.
    const auto valid = terms.allowedTargets.empty() ? FreshReport : ReportMemory;
    const bool fresh = entry.report && now - entry.reportedAt <= valid;
    const bool inTime = terms.objective == core::Duration{} || !fresh || candidate.chance >= LeastChance;
    return inTime && estimatedLoad(entry, now) < slots(entry) && (!terms.idleOnly || isIdle(entry, now));
}

bool ServiceRouter::isIdle(const Entry &entry, core::TimePoint now) const
{
    return slowness(entry, now) <= IdleSlowness && estimatedLoad(entry, now) < IdleShare * slots(entry);
}

Candidate ServiceRouter::candidate(const Entry &entry,
                                   unsigned most,
                                   const AssignOptions &terms,
                                   core::TimePoint now) const
{
    Candidate found;
    found.inFlight = static_cast<unsigned>(entry.outstanding.size());
    found.limit = most;
    found.reportedLoad = entry.report ? entry.report->running + entry.report->waiting : 0;
    found.near = entry.near;
    found.expectedLatency = expectedLatency(entry);
    found.expectedTime = expectedTime(entry, now);
    found.chance = chanceOf(found.expectedTime, terms.objective);
    if (entry.report && !entry.report->healthy && now - entry.reportedAt < ReportMemory) {
        found.chance *= ChanceOfIll;
    }
    return found;
}

core::Duration ServiceRouter::expectedLatency(const Entry &entry) const
{
    const auto &own = entry.near ? m_nearLatency : m_farLatency;
    return own.known() ? own.mean() : m_latency.mean();
}

std::optional<std::size_t> ServiceRouter::dueTrial(core::TimePoint now, const AssignOptions &terms)
{
    if (m_suspects == 0 || m_sinceTrial < AssignmentsPerTrial) {
        return std::nullopt;
    }
    const auto first = core::randomBelow(m_hooks.random, m_entries.size());
    for (std::size_t step = 0; step < m_entries.size(); ++step) {
        const auto position = (first + step) % m_entries.size();
        const auto &entry = m_entries[position];
        if (entry.suspicion.trialDue(now) && now >= entry.unreachableUntil
            && entry.outstanding.size() < limit(entry, now) && allows(terms, entry.target->id)) {
            return position;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> ServiceRouter::pick(core::TimePoint now, const AssignOptions &terms)
{
    gather(now, terms);
    if (m_candidates.empty()) {
        return std::nullopt;
    }
    const auto choice = m_hooks.picker(m_candidates, m_hooks.random);
    return choice ? std::optional(m_candidatePositions[*choice]) : std::nullopt;
}

/** Collects trusted targets with room, starting at random; suspects only where no trusted one has any. */
void ServiceRouter::gather(core::TimePoint now, const AssignOptions &terms)
{
    m_candidates.clear();
    m_candidatePositions.clear();
    if (m_entries.empty()) {
        return;
    }
    const bool nearOnly = terms.localOnly && hasNear(now);
    const auto first = m_entries.size() > MaxCandidates ? core::randomBelow(m_hooks.random, m_entries.size()) : 0;
    for (const bool suspects : {false, true}) {
        for (std::size_t step = 0; step < m_entries.size() && m_candidates.size() < MaxCandidates; ++step) {
            const auto position = first + step < m_entries.size() ? first + step : first + step - m_entries.size();
            auto &entry = m_entries[position];
            noticeLate(entry, now);
            const auto inFlight = static_cast<unsigned>(entry.outstanding.size());
            const bool usable = entry.serves && !entry.held && entry.suspicion.suspect() == suspects;
            const unsigned most = usable ? limit(entry, now) : 0;
            if (inFlight >= most || now < entry.unreachableUntil || !allows(terms, entry.target->id)
                || (nearOnly && !entry.near)) {
                continue;
            }
            const auto found = candidate(entry, most, terms, now);
            if (hasRoom(entry, found, terms, now)) {
                m_candidates.push_back(found);
                m_candidatePositions.push_back(position);
            }
        }
        if (!m_candidates.empty() || m_suspects == 0) {
            return;
        }
    }
}

bool ServiceRouter::hasNear(core::TimePoint now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [now](const Entry &entry) {
        return entry.near && entry.serves && now >= entry.unreachableUntil;
    });
}

Assignment ServiceRouter::start(Entry &entry, core::TimePoint now, bool trial)
{
    if (trial) {
        entry.suspicion.startTrial();
    }
    if (m_hooks.onColdAssigned && isCold(entry, now)) {
        m_hooks.onColdAssigned(*entry.target, m_service, now);
    }
    const auto attempt = m_nextAttempt++;
    entry.outstanding.push_back({attempt, now, trial, estimatedLoad(entry, now) < slots(entry), slowness(entry, now)});
    return {entry.target, attempt};
}

void ServiceRouter::erase(std::size_t position)
{
    m_positions.erase(m_entries[position].target->id);
    if (position + 1 != m_entries.size()) {
        m_entries[position] = std::move(m_entries.back());
        m_positions[m_entries[position].target->id] = position;
    }
    m_entries.pop_back();
}

/** Counts again after a change of targets, and lifts holds that are now too many. */
void ServiceRouter::recount()
{
    m_serving = static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) {
        return entry.serves;
    }));
    m_suspects = 0;
    m_held = 0;
    for (auto &entry : m_entries) {
        m_suspects += entry.suspicion.suspect() ? 1 : 0;
        entry.held = false;
        if (entry.suspicion.suspect()) {
            setHeld(entry);
        }
    }
}

} // namespace pimentoshed::routing
