#include "consensus/replicatedlog.h"

namespace pimentoshed::consensus
{

ReplicatedLog::ReplicatedLog(Snapshot snapshot)
    : m_snapshot(std::move(snapshot))
{
    m_members.emplace_back(m_snapshot.last.index, m_snapshot.members);
}

EntryId ReplicatedLog::last() const
{
    return m_entries.empty() ? m_snapshot.last : m_entries.back().id;
}

std::size_t ReplicatedLog::offset(LogIndex index) const
{
    return index.value() - m_snapshot.last.index.value() - 1;
}

const Entry &ReplicatedLog::at(LogIndex index) const
{
    return m_entries.at(offset(index));
}

std::optional<Term> ReplicatedLog::termAt(LogIndex index) const
{
    if (index == m_snapshot.last.index) {
        return m_snapshot.last.term;
    }
    if (index < m_snapshot.last.index || index > last().index) {
        return std::nullopt;
    }
    return at(index).id.term;
}

bool ReplicatedLog::contains(const EntryId &id) const
{
    return termAt(id.index) == id.term;
}

bool ReplicatedLog::isCandidateUpToDate(const EntryId &other) const
{
    const auto own = last();
    return other.term > own.term || (other.term == own.term && other.index >= own.index);
}

const Members &ReplicatedLog::members() const
{
    return m_members.back().second;
}

LogIndex ReplicatedLog::membersIndex() const
{
    return m_members.back().first;
}

const Members &ReplicatedLog::membersAt(LogIndex index) const
{
    auto found = m_members.begin();
    while (std::next(found) != m_members.end() && std::next(found)->first <= index) {
        ++found;
    }
    return found->second;
}

std::vector<Entry> ReplicatedLog::slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (auto index = from; index <= last().index && entries.size() < maxEntries; index = index.next()) {
        const auto &entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

Conflict ReplicatedLog::conflictAt(LogIndex previous) const
{
    const auto term = termAt(previous);
    if (!term) {
        return {previous, std::nullopt, last().index.next()};
    }
    auto first = previous;
    while (first.previous() > m_snapshot.last.index && termAt(first.previous()) == term) {
        first = first.previous();
    }
    return {previous, term, first};
}

LogIndex ReplicatedLog::nextIndexAfter(const Conflict &conflict) const
{
    if (!conflict.term) {
        return conflict.first;
    }
    // If this log has the conflicting term, continue after its last entry of that term; otherwise skip the whole term.
    auto index = std::min(conflict.previous, last().index);
    while (index >= conflict.first) {
        const auto term = termAt(index);
        if (!term || *term < *conflict.term) {
            break;
        }
        if (*term == *conflict.term) {
            return index.next();
        }
        index = index.previous();
    }
    return conflict.first;
}

void ReplicatedLog::append(Entry entry)
{
    if (entry.kind == EntryKind::Members) {
        m_members.emplace_back(entry.id.index, entry.members);
    }
    m_entries.push_back(std::move(entry));
}

void ReplicatedLog::truncateFrom(LogIndex index)
{
    while (!m_entries.empty() && m_entries.back().id.index >= index) {
        m_entries.pop_back();
    }
    while (m_members.size() > 1 && m_members.back().first >= index) {
        m_members.pop_back();
    }
}

void ReplicatedLog::dropUpTo(LogIndex index)
{
    while (!m_entries.empty() && m_entries.front().id.index <= index) {
        m_entries.pop_front();
    }
    while (m_members.size() > 1 && std::next(m_members.begin())->first <= index) {
        m_members.pop_front();
    }
}

void ReplicatedLog::compact(LogIndex index, std::string payload)
{
    Snapshot snapshot{{index, *termAt(index)}, membersAt(index), std::move(payload)};
    dropUpTo(index);
    m_snapshot = std::move(snapshot);
}

void ReplicatedLog::install(Snapshot snapshot)
{
    if (!contains(snapshot.last)) {
        m_entries.clear();
        m_members.clear();
        m_members.emplace_back(snapshot.last.index, snapshot.members);
    }
    dropUpTo(snapshot.last.index);
    m_snapshot = std::move(snapshot);
}

} // namespace pimentoshed::consensus
