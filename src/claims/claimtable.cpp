#include "claims/claimtable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentoshed::claims
{

namespace
{

std::size_t hashOf(const core::ServiceName &service, const core::RequestKey &key)
{
    constexpr std::size_t Multiplier = 0x9e3779b97f4a7c15;
    return std::hash<core::ServiceName>()(service) * Multiplier + std::hash<core::RequestKey>()(key);
}

} // namespace

std::size_t ClaimTable::Hash::operator()(const RequestIdentity &request) const noexcept
{
    return hashOf(request.service, request.key);
}

std::size_t ClaimTable::Hash::operator()(const EntryIterator &position) const noexcept
{
    return hashOf(*position->service, position->key);
}

bool ClaimTable::Equal::operator()(const EntryIterator &left, const EntryIterator &right) const noexcept
{
    return left->key == right->key && *left->service == *right->service;
}

bool ClaimTable::Equal::operator()(const RequestIdentity &request, const EntryIterator &position) const noexcept
{
    return request.key == position->key && request.service == *position->service;
}

bool ClaimTable::Equal::operator()(const EntryIterator &position, const RequestIdentity &request) const noexcept
{
    return (*this)(request, position);
}

void ClaimTable::configure(Policy policy)
{
    m_policy = std::move(policy);
}

ClaimResponse ClaimTable::apply(const Claim &command)
{
    advance(command.at);
    const auto &key = command.request.key;
    if (key.empty() || key.str().size() > MaxKeyLength) {
        return {ClaimResult::Malformed};
    }
    const auto found = m_index.find(command.request);
    if (found != m_index.end()) {
        const auto position = *found;
        const bool isOwn = isBy(*position, command.attempt);
        if (position->state != RunState::Released || isOwn) {
            return {isOwn && position->state == RunState::Running ? ClaimResult::AlreadyMine : ClaimResult::Used,
                    position->state};
        }
    }
    const auto owner = m_policy.institutions.find(command.request.service);
    if (owner == m_policy.institutions.end()) {
        return {ClaimResult::UnknownService};
    }
    const auto &institution = owner->second;
    const auto share = m_policy.shares.find(institution);
    if (share == m_policy.shares.end() || m_institutions.referenceCount(institution) >= share->second) {
        return {ClaimResult::Full};
    }
    if (found != m_index.end()) {
        // The index has one entry for each request: the released claim is dropped before the new one is added.
        m_released.splice(m_released.begin(), m_released, *found);
        dropFront(m_released);
    }
    add(m_held, {command.request, institution, command.attempt, RunState::Running, m_now});
    return {ClaimResult::Granted, RunState::Running};
}

bool ClaimTable::apply(const Release &command)
{
    advance(command.at);
    auto *entry = findHeld(command.request, command.attempt);
    if (entry == nullptr || entry->state != RunState::Running) {
        return false;
    }
    m_institutions.release(entry->institution);
    entry->institution = nullptr;
    entry->state = RunState::Released;
    entry->since = m_now;
    m_released.splice(m_released.end(), m_held, *m_index.find(command.request));
    if (m_released.size() > MaxReleasedClaims) {
        dropFront(m_released);
    }
    return true;
}

bool ClaimTable::apply(const Finish &command)
{
    advance(command.at);
    auto *entry = findHeld(command.request, command.attempt);
    if (entry == nullptr) {
        return false;
    }
    if (entry->state != RunState::Ran) {
        entry->state = command.state == RunState::Ran ? RunState::Ran : RunState::Unknown;
    }
    return true;
}

std::size_t ClaimTable::size() const
{
    return m_index.size();
}

ClaimState ClaimTable::snapshot() const
{
    ClaimState state;
    state.now = m_now;
    state.held.reserve(m_held.size());
    std::transform(m_held.begin(), m_held.end(), std::back_inserter(state.held), recordOf);
    std::transform(m_released.begin(), m_released.end(), std::back_inserter(state.released), recordOf);
    return state;
}

ClaimTable ClaimTable::restore(const ClaimState &state, Policy policy)
{
    ClaimTable table;
    table.m_policy = std::move(policy);
    table.m_now = state.now;
    for (const auto &record : state.held) {
        table.add(table.m_held, record);
    }
    for (const auto &record : state.released) {
        table.add(table.m_released, record);
    }
    return table;
}

void ClaimTable::advance(LogTime at)
{
    m_now = std::max(m_now, at);
    while (!m_held.empty() && m_now - m_held.front().since >= m_policy.retention) {
        dropFront(m_held);
    }
    while (!m_released.empty() && m_now - m_released.front().since >= ReleasedRetention) {
        dropFront(m_released);
    }
}

void ClaimTable::dropFront(Entries &entries)
{
    const auto position = entries.begin();
    m_index.erase(position);
    m_services.release(position->service);
    if (position->institution != nullptr) {
        m_institutions.release(position->institution);
    }
    m_hosts.release(position->host);
    entries.erase(position);
}

void ClaimTable::add(Entries &entries, const ClaimRecord &record)
{
    entries.push_back({m_services.acquire(record.request.service),
                       record.state == RunState::Released ? nullptr : m_institutions.acquire(record.institution),
                       m_hosts.acquire(record.attempt.host),
                       record.request.key,
                       record.attempt.incarnation,
                       record.attempt.id,
                       record.since,
                       record.state});
    m_index.insert(std::prev(entries.end()));
}

ClaimTable::Entry *ClaimTable::findHeld(const RequestIdentity &request, const Attempt &attempt)
{
    const auto found = m_index.find(request);
    if (found == m_index.end()) {
        return nullptr;
    }
    auto &entry = **found;
    return isBy(entry, attempt) && entry.state != RunState::Released ? &entry : nullptr;
}

bool ClaimTable::isBy(const Entry &entry, const Attempt &attempt)
{
    return entry.attempt == attempt.id && entry.incarnation == attempt.incarnation && *entry.host == attempt.host;
}

ClaimRecord ClaimTable::recordOf(const Entry &entry)
{
    return {{*entry.service, entry.key},
            entry.institution == nullptr ? core::InstitutionName() : *entry.institution,
            {*entry.host, entry.incarnation, entry.attempt},
            entry.state,
            entry.since};
}

} // namespace pimentoshed::claims
