#include "consensus/outbox.h"

#include <algorithm>
#include <utility>

namespace pimentoshed::consensus
{

Outbox::Outbox(HardState durable, LogIndex last)
    : m_durableIndex(last)
    , m_durableState(std::move(durable))
{
    m_effects.batch = BatchNumber(1);
}

void Outbox::store(const HardState &state)
{
    m_effects.hardState = state;
}

void Outbox::append(const Entry &entry)
{
    m_effects.entries.push_back(entry);
}

void Outbox::truncateFrom(LogIndex index)
{
    std::erase_if(m_effects.entries, [index](const Entry &entry) {
        return entry.id.index >= index;
    });
    m_effects.truncateFrom = std::min(index, m_effects.truncateFrom.value_or(index));
    m_durableIndex = std::min(m_durableIndex, index.previous());
    // Once a pending batch is synced, the indices that were truncated meanwhile do not count as durable.
    for (auto &pending : m_pending) {
        pending.last = std::min(pending.last, index.previous());
    }
}

void Outbox::store(const Snapshot &snapshot)
{
    std::erase_if(m_effects.entries, [&snapshot](const Entry &entry) {
        return entry.id.index <= snapshot.last.index;
    });
    m_effects.snapshot = snapshot;
}

void Outbox::install(const Snapshot &snapshot)
{
    store(snapshot);
    // The snapshot includes the committed entries that have not been applied yet.
    m_effects.committed.clear();
    m_effects.restore = snapshot;
}

void Outbox::send(Message message, bool afterSync)
{
    if (!m_isSuspended || !afterSync) {
        m_effects.messages.push_back({std::move(message), afterSync});
    }
}

void Outbox::addCommitted(const Entry &entry)
{
    m_effects.committed.push_back(entry);
}

void Outbox::addConfirmedRead(const ReadConfirmed &read)
{
    m_effects.confirmedReads.push_back(read);
}

void Outbox::addFailedRead(const ReadFailed &read)
{
    m_effects.failedReads.push_back(read);
}

void Outbox::addRoleChange(const RoleChange &change)
{
    m_effects.roleChanges.push_back(change);
}

Effects Outbox::takeBatch(LogIndex last, const HardState &state)
{
    if (m_effects.needsSync()) {
        m_pending.push_back({m_effects.batch, last, state});
    }
    Effects next;
    next.batch = m_effects.batch.next();
    return std::exchange(m_effects, std::move(next));
}

void Outbox::persisted(BatchNumber batch)
{
    while (!m_pending.empty() && m_pending.front().batch <= batch) {
        m_durableIndex = m_pending.front().last;
        m_durableState = m_pending.front().state;
        m_pending.pop_front();
    }
}

void Outbox::suspend()
{
    m_isSuspended = true;
    std::erase_if(m_effects.messages, [](const OutgoingMessage &outgoing) {
        return outgoing.afterSync;
    });
}

void Outbox::resume()
{
    m_isSuspended = false;
}

} // namespace pimentoshed::consensus
