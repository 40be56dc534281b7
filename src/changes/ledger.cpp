#include "changes/ledger.h"

#include "core/text.h"

#include <algorithm>
#include <fmt/format.h>

namespace pimentoshed::changes
{

namespace
{

using core::ErrorCode;

/** The maximum length of the detail of a refusal, in bytes. */
constexpr std::size_t MaxDetailLength = 4096;

core::Error refusal(ErrorCode code, std::string_view detail)
{
    return {code, std::string(core::truncate(core::replaceInvalid(detail), MaxDetailLength))};
}

bool isValidId(const core::ChangeId &id)
{
    return !id.empty() && id.str().size() <= MaxChangeIdLength && core::isVisibleAscii(id.str());
}

/** Whether no other change can have the same id, so that the answer need not be kept if the change is refused. */
bool hasIdFromContent(const Change &change)
{
    const auto *file = std::get_if<ApplyFile>(&change);
    return file != nullptr && file->isIdFromContent;
}

/** Returns a refusal that lists @p mistakes, with the error code of the first. */
core::Error refusal(const std::vector<configuration::Mistake> &mistakes)
{
    std::string detail;
    for (const auto &mistake : mistakes) {
        detail += detail.empty() ? "" : "; ";
        detail += configuration::describe(mistake);
    }
    return refusal(mistakes.front().code, detail);
}

} // namespace

Ledger::Ledger(configuration::FileParser parser)
    : m_parser(std::move(parser))
{
}

Answer Ledger::apply(const Change &change)
{
    const auto &id = idOf(change);
    if (!isValidId(id)) {
        return core::Error{ErrorCode::MessageMalformed,
                           fmt::format("a change is named by 1 to {} printable characters", MaxChangeIdLength)};
    }
    const auto digest = digestOf(change);
    if (const auto *previous = m_answers.find(id)) {
        return previous->digest == digest ? previous->answer : core::Error{ErrorCode::ChangeIdReused, id.str()};
    }
    auto answer = std::visit(
        [this](const auto &any) {
            return applyNew(any);
        },
        change);
    if (core::ok(answer) || !hasIdFromContent(change)) {
        m_answers.add({id, digest, answer});
    }
    return answer;
}

const ActiveConfiguration &Ledger::activeConfiguration() const
{
    return m_active;
}

Answer Ledger::apply(const MoveRollout &decision)
{
    const auto found = m_active.rollouts.find(decision.service);
    if (found == m_active.rollouts.end()) {
        return refusal(ErrorCode::NoSuchService, decision.service.str() + " has no rollout");
    }
    if (const auto moved = found->second.apply(decision.move); !core::ok(moved)) {
        return core::error(moved);
    }
    ++m_active.revision;
    return Accepted{m_active.revision, m_active.version};
}

LedgerState Ledger::snapshot() const
{
    std::vector<rollouts::Rollout> rollouts;
    for (const auto &[service, rollout] : m_active.rollouts) {
        rollouts.push_back(rollout);
    }
    return {m_active.revision,
            m_active.version,
            m_active.text,
            m_active.domains,
            m_lastMoves,
            {m_replacements.begin(), m_replacements.end()},
            m_answers.all(),
            std::move(rollouts)};
}

core::Result<Ledger> Ledger::restore(LedgerState state, configuration::FileParser parser)
{
    const bool hasFile = state.version > 0;
    if (hasFile == state.replacements.empty()
        || state.replacements.size() > std::min<std::uint64_t>(state.revision, MaxReplacements)) {
        return core::Error{ErrorCode::SnapshotDamaged,
                           "the ledger's version, revision and replaced versions do not agree"};
    }
    Ledger ledger(std::move(parser));
    if (hasFile) {
        auto parsed = ledger.m_parser(state.text);
        auto *file = std::get_if<configuration::Configuration>(&parsed);
        if (file == nullptr) {
            return core::Error{ErrorCode::SnapshotDamaged, "the configuration file in the ledger does not parse"};
        }
        ledger.m_active.configuration = std::make_shared<const configuration::Configuration>(std::move(*file));
    }
    ledger.m_active.revision = state.revision;
    ledger.m_active.version = state.version;
    ledger.m_active.text = std::move(state.text);
    ledger.m_active.domains = std::move(state.domains);
    ledger.m_lastMoves = std::move(state.lastMoves);
    ledger.m_replacements.assign(state.replacements.begin(), state.replacements.end());
    for (auto &answered : state.answers) {
        ledger.m_answers.add(std::move(answered));
    }
    for (auto &rollout : state.rollouts) {
        if (!rollouts::isValid(rollout)) {
            return core::Error{ErrorCode::SnapshotDamaged, "the rollout of " + rollout.order.service.str()};
        }
        ledger.m_active.rollouts.emplace(rollout.order.service, std::move(rollout));
    }
    return ledger;
}

Answer Ledger::applyNew(const ApplyFile &change)
{
    auto parsed = m_parser(change.text);
    if (const auto *mistakes = std::get_if<std::vector<configuration::Mistake>>(&parsed)) {
        return refusal(*mistakes);
    }
    auto &file = std::get<configuration::Configuration>(parsed);
    if (file.replaces != m_active.version) {
        return versionConflict(file.replaces);
    }
    const auto version = file.version.value_or(m_active.version + 1);
    if (version <= m_active.version) {
        return refusal(ErrorCode::ConfigOutOfBounds,
                       fmt::format("version {} is not above {}, which is in force", version, m_active.version));
    }
    auto domains = carryOverDomains(file);
    if (domains.size() > MaxFailureDomains) {
        return refusal(ErrorCode::ConfigOutOfBounds,
                       fmt::format("at most {} failure domains over all files", MaxFailureDomains));
    }
    ++m_active.revision;
    m_replacements.push_back({m_active.version, change.id});
    m_active.version = version;
    m_active.text = change.text;
    m_active.domains = std::move(domains);
    endDroppedRollouts(file);
    m_active.configuration = std::make_shared<const configuration::Configuration>(std::move(file));
    if (m_replacements.size() > MaxReplacements) {
        m_replacements.pop_front();
    }
    return Accepted{m_active.revision, m_active.version};
}

Answer Ledger::applyNew(const SetDomainAvailability &change)
{
    const auto found = m_active.domains.find(change.domain);
    if (found == m_active.domains.end() || !isConfigured(change.domain)) {
        return refusal(ErrorCode::UnknownDomain, change.domain.str());
    }
    auto &domain = found->second;
    if (domain.changeCount != change.expectedChangeCount) {
        const auto lastMove = m_lastMoves.find(change.domain);
        return refusal(ErrorCode::ChangeSuperseded,
                       fmt::format("{} has changed {} times, last by change {}",
                                   change.domain.str(),
                                   domain.changeCount,
                                   lastMove == m_lastMoves.end() ? "(none)" : lastMove->second.str()));
    }
    domain.out = change.out;
    ++domain.changeCount;
    ++m_active.revision;
    m_lastMoves.insert_or_assign(change.domain, change.id);
    return Accepted{m_active.revision, m_active.version};
}

Answer Ledger::applyNew(const StartRollout &change)
{
    const auto &order = change.order;
    if (const auto checked = rollouts::check(order); !core::ok(checked)) {
        return core::error(checked);
    }
    if (!m_active.configuration || configuration::findService(*m_active.configuration, order.service) == nullptr) {
        return refusal(ErrorCode::NoSuchService, order.service.str());
    }
    const auto found = m_active.rollouts.find(order.service);
    const bool isKnown = found != m_active.rollouts.end();
    if (isKnown && found->second.state == rollouts::State::Running) {
        const auto &running = found->second;
        return running.order == order
                   ? Answer(Accepted{running.revision, running.version})
                   : refusal(ErrorCode::RolloutRunning,
                             fmt::format("{} to version {}", order.service.str(), running.order.softwareVersion));
    }
    const auto number = isKnown ? found->second.number : 0;
    if (change.replaces != number) {
        return refusal(
            ErrorCode::ChangeSuperseded,
            fmt::format("the newest rollout of {} is number {}, not {}", order.service.str(), number, change.replaces));
    }
    if (!isKnown && m_active.rollouts.size() >= MaxRollouts) {
        return refusal(ErrorCode::ConfigOutOfBounds, fmt::format("rollouts of at most {} services", MaxRollouts));
    }
    ++m_active.revision;
    rollouts::Rollout rollout;
    rollout.order = order;
    rollout.number = number + 1;
    rollout.revision = m_active.revision;
    rollout.version = m_active.version;
    m_active.rollouts.insert_or_assign(order.service, std::move(rollout));
    return Accepted{m_active.revision, m_active.version};
}

void Ledger::endDroppedRollouts(const configuration::Configuration &file)
{
    for (auto &[service, rollout] : m_active.rollouts) {
        const bool isRunning = rollout.state == rollouts::State::Running;
        if (isRunning && configuration::findService(file, service) == nullptr) {
            rollout.state = rollouts::State::RolledBack;
            rollout.reason = rollouts::Reason::ServiceDropped;
        }
    }
}

Answer Ledger::versionConflict(std::uint64_t replaces) const
{
    const auto version = m_active.version;
    if (replaces > version) {
        return refusal(ErrorCode::VersionConflict,
                       fmt::format("version {} is in force, not yet {}", version, replaces));
    }
    const auto replacement =
        std::find_if(m_replacements.begin(), m_replacements.end(), [replaces](const VersionReplacement &any) {
            return any.replaced == replaces;
        });
    return refusal(ErrorCode::VersionConflict,
                   fmt::format("version {} was replaced by change {}; version {} is in force, made by change {}",
                               replaces,
                               replacement == m_replacements.end() ? "(no longer known)" : replacement->id.str(),
                               version,
                               m_replacements.back().id.str()));
}

std::map<core::FailureDomain, DomainState> Ledger::carryOverDomains(const configuration::Configuration &file) const
{
    std::map<core::FailureDomain, DomainState> domains;
    for (const auto &[name, state] : m_active.domains) {
        if (state.changeCount > 0) {
            domains.emplace(name, state);
        }
    }
    for (const auto &name : file.failureDomains) {
        domains.try_emplace(name);
    }
    return domains;
}

bool Ledger::isConfigured(const core::FailureDomain &domain) const
{
    const auto &file = m_active.configuration;
    return file
           && std::find(file->failureDomains.begin(), file->failureDomains.end(), domain) != file->failureDomains.end();
}

bool isOutOfService(const ActiveConfiguration &active, const core::FailureDomain &domain)
{
    const auto found = active.domains.find(domain);
    return found != active.domains.end() && found->second.out;
}

} // namespace pimentoshed::changes
