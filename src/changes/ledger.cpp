#include "changes/ledger.h"

#include "configuration/parser.h"

#include <algorithm>
#include <fmt/format.h>

namespace pimentoshed::changes
{

namespace
{

/** Answers kept for changes that are sent again. */
constexpr std::size_t AnswersKept = 10000;

} // namespace

Answer Ledger::apply(const Change &change)
{
    const auto &id = std::visit(
        [](const auto &any) -> const core::ChangeId & {
            return any.id;
        },
        change);
    const auto known = m_answers.find(id);
    if (known != m_answers.end()) {
        return known->second;
    }
    auto answer = std::visit(
        [this](const auto &any) {
            return applyNew(any);
        },
        change);
    remember(id, answer);
    return answer;
}

const Standing &Ledger::standing() const
{
    return m_standing;
}

Answer Ledger::applyNew(const ApplyFile &change)
{
    auto parsed = configuration::parse(change.text);
    if (const auto *mistakes = std::get_if<std::vector<configuration::Mistake>>(&parsed)) {
        return core::Error{mistakes->front().code, configuration::describe(mistakes->front())};
    }
    auto &configuration = std::get<configuration::Configuration>(parsed);
    if (configuration.replaces != m_standing.version) {
        return core::Error{
            core::ErrorCode::VersionConflict,
            fmt::format("version {} is in force, accepted by change {}", m_standing.version, m_winner.str())};
    }
    m_winner = change.id;
    ++m_standing.revision;
    ++m_standing.version;
    m_standing.text = change.text;
    for (const auto &domain : configuration.failureDomains) {
        m_standing.domains.try_emplace(domain);
    }
    m_standing.configuration = std::make_shared<const configuration::Configuration>(std::move(configuration));
    return Accepted{m_standing.revision, m_standing.version};
}

Answer Ledger::applyNew(const MoveDomain &change)
{
    const auto found = m_standing.domains.find(change.domain);
    if (found == m_standing.domains.end()) {
        return core::Error{core::ErrorCode::UnknownDomain, change.domain.str()};
    }
    auto &standing = found->second;
    if (standing.changes != change.replaces) {
        return core::Error{core::ErrorCode::ChangeSuperseded,
                           fmt::format("{} has changed {} times", change.domain.str(), standing.changes)};
    }
    if (standing.out != change.out) {
        ++m_standing.revision;
    }
    standing.out = change.out;
    ++standing.changes;
    return Accepted{m_standing.revision, m_standing.version};
}

void Ledger::remember(const core::ChangeId &id, const Answer &answer)
{
    m_answers.emplace(id, answer);
    m_answerOrder.push_back(id);
    if (m_answerOrder.size() > AnswersKept) {
        m_answers.erase(m_answerOrder.front());
        m_answerOrder.pop_front();
    }
}

bool isOut(const Standing &standing, const core::FailureDomain &domain)
{
    const auto found = standing.domains.find(domain);
    return found != standing.domains.end() && found->second.out;
}

} // namespace pimentoshed::changes
