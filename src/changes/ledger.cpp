#include "changes/ledger.h"

#include <algorithm>
#include <fmt/format.h>

namespace pimentoshed::changes
{

namespace
{

using core::ErrorCode;

/** Characters of a refusal's detail that are kept. */
constexpr std::size_t MaxDetailLength = 4096;

core::Error refusal(ErrorCode code, std::string detail)
{
    if (detail.size() > MaxDetailLength) {
        detail.resize(MaxDetailLength);
    }
    return {code, std::move(detail)};
}

bool isNamed(const core::ChangeId &id)
{
    const auto &text = id.str();
    return !text.empty() && text.size() <= MaxChangeIdLength && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

/** Whether no other change can be sent under the same id, so that a refusal needs no record. */
bool namedByContent(const Change &change)
{
    const auto *file = std::get_if<ApplyFile>(&change);
    return file != nullptr && file->isIdFromContent;
}

/** A refusal for @p mistakes, under the code of the first. */
core::Error refusal(const std::vector<configuration::Mistake> &mistakes)
{
    std::string detail;
    for (const auto &mistake : mistakes) {
        detail += detail.empty() ? "" : "; ";
        detail += configuration::describe(mistake);
    }
    return refusal(mistakes.front().code, std::move(detail));
}

} // namespace

Ledger::Ledger(configuration::FileParser parser)
    : m_parser(std::move(parser))
{
}

Answer Ledger::apply(const Change &change)
{
    const auto &id = idOf(change);
    if (!isNamed(id)) {
        return core::Error{ErrorCode::MessageMalformed,
                           fmt::format("a change is named by 1 to {} printable characters", MaxChangeIdLength)};
    }
    const auto digest = digestOf(change);
    if (const auto *known = m_answers.find(id)) {
        return known->digest == digest ? known->answer : core::Error{ErrorCode::ChangeIdReused, id.str()};
    }
    auto answer = std::visit(
        [this](const auto &any) {
            return applyNew(any);
        },
        change);
    if (core::ok(answer) || !namedByContent(change)) {
        m_answers.add({id, digest, answer});
    }
    return answer;
}

const ActiveConfiguration &Ledger::activeConfiguration() const
{
    return m_standing;
}

LedgerState Ledger::snapshot() const
{
    return {m_standing.revision,
            m_standing.version,
            m_standing.text,
            m_standing.domains,
            m_movers,
            {m_winners.begin(), m_winners.end()},
            m_answers.all()};
}

core::Result<Ledger> Ledger::restore(LedgerState state, configuration::FileParser parser)
{
    const bool hasFile = state.version > 0;
    if (hasFile == state.replacements.empty()
        || state.replacements.size() > std::min<std::uint64_t>(state.revision, MaxReplacements)) {
        return core::Error{ErrorCode::SnapshotDamaged, "the ledger's counts do not agree"};
    }
    Ledger ledger(std::move(parser));
    if (hasFile) {
        auto parsed = ledger.m_parser(state.text);
        auto *file = std::get_if<configuration::Configuration>(&parsed);
        if (file == nullptr) {
            return core::Error{ErrorCode::SnapshotDamaged, "the file in force does not parse"};
        }
        ledger.m_standing.configuration = std::make_shared<const configuration::Configuration>(std::move(*file));
    }
    ledger.m_standing.revision = state.revision;
    ledger.m_standing.version = state.version;
    ledger.m_standing.text = std::move(state.text);
    ledger.m_standing.domains = std::move(state.domains);
    ledger.m_movers = std::move(state.lastMoves);
    ledger.m_winners.assign(state.replacements.begin(), state.replacements.end());
    for (auto &answered : state.answers) {
        ledger.m_answers.add(std::move(answered));
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
    if (file.replaces != m_standing.version) {
        return conflict(file.replaces);
    }
    const auto version = file.version.value_or(m_standing.version + 1);
    if (version <= m_standing.version) {
        return refusal(ErrorCode::ConfigOutOfBounds,
                       fmt::format("version {} is not above {}, which is in force", version, m_standing.version));
    }
    auto domains = carryOver(file);
    if (domains.size() > MaxFailureDomains) {
        return refusal(ErrorCode::ConfigOutOfBounds,
                       fmt::format("at most {} failure domains over all files", MaxFailureDomains));
    }
    ++m_standing.revision;
    m_winners.push_back({m_standing.version, change.id});
    m_standing.version = version;
    m_standing.text = change.text;
    m_standing.domains = std::move(domains);
    m_standing.configuration = std::make_shared<const configuration::Configuration>(std::move(file));
    if (m_winners.size() > MaxReplacements) {
        m_winners.pop_front();
    }
    return Accepted{m_standing.revision, m_standing.version};
}

Answer Ledger::applyNew(const SetDomainAvailability &change)
{
    const auto found = m_standing.domains.find(change.domain);
    if (found == m_standing.domains.end() || !isConfigured(change.domain)) {
        return refusal(ErrorCode::UnknownDomain, change.domain.str());
    }
    auto &standing = found->second;
    if (standing.changeCount != change.expectedChangeCount) {
        const auto mover = m_movers.find(change.domain);
        return refusal(ErrorCode::ChangeSuperseded,
                       fmt::format("{} has changed {} times, last by change {}",
                                   change.domain.str(),
                                   standing.changeCount,
                                   mover == m_movers.end() ? "(none)" : mover->second.str()));
    }
    standing.out = change.out;
    ++standing.changeCount;
    ++m_standing.revision;
    m_movers.insert_or_assign(change.domain, change.id);
    return Accepted{m_standing.revision, m_standing.version};
}

Answer Ledger::conflict(std::uint64_t replaces) const
{
    const auto version = m_standing.version;
    if (replaces > version) {
        return refusal(ErrorCode::VersionConflict,
                       fmt::format("version {} is in force, not yet {}", version, replaces));
    }
    const auto winner = std::find_if(m_winners.begin(), m_winners.end(), [replaces](const VersionReplacement &any) {
        return any.replaced == replaces;
    });
    return refusal(ErrorCode::VersionConflict,
                   fmt::format("version {} was replaced by change {}; version {} is in force, made by change {}",
                               replaces,
                               winner == m_winners.end() ? "(no longer known)" : winner->id.str(),
                               version,
                               m_winners.back().id.str()));
}

std::map<core::FailureDomain, DomainState> Ledger::carryOver(const configuration::Configuration &file) const
{
    std::map<core::FailureDomain, DomainState> domains;
    for (const auto &[name, standing] : m_standing.domains) {
        if (standing.changeCount > 0) {
            domains.emplace(name, standing);
        }
    }
    for (const auto &name : file.failureDomains) {
        domains.try_emplace(name);
    }
    return domains;
}

bool Ledger::isConfigured(const core::FailureDomain &domain) const
{
    const auto &file = m_standing.configuration;
    return file
           && std::find(file->failureDomains.begin(), file->failureDomains.end(), domain) != file->failureDomains.end();
}

bool isOutOfService(const ActiveConfiguration &standing, const core::FailureDomain &domain)
{
    const auto found = standing.domains.find(domain);
    return found != standing.domains.end() && found->second.out;
}

} // namespace pimentoshed::changes
