#include "admission/queue.h"

#include <algorithm>

namespace pimentoshed::admission
{

namespace
{

/** Weight of the newest interval between turns, as one part in this many. */
constexpr int IntervalGainDivisor = 8;

} // namespace

Queue::Queue(std::size_t hostLimit)
    : m_hostLimit(hostLimit)
{
}

std::vector<Ticket> Queue::configure(const configuration::Configuration &configuration)
{
    const core::Lock lock(m_mutex);
    for (const auto &institution : configuration.institutions) {
        m_shares[institution.name].weight = institution.weight;
    }
    std::vector<Ticket> dropped;
    for (auto &[name, queue] : m_services) {
        if (configuration::findService(configuration, name) != nullptr) {
            continue;
        }
        while (!queue.waiting.empty()) {
            dropped.push_back(queue.waiting.begin()->second);
            remove(queue, *queue.waiting.begin());
        }
    }
    std::erase_if(m_services, [&](const auto &entry) {
        return configuration::findService(configuration, entry.first) == nullptr;
    });
    for (const auto &service : configuration.services) {
        auto &queue = m_services[service.name];
        if (queue.institution != service.institution) {
            m_shares[queue.institution].waiting -= queue.waiting.size();
            m_shares[service.institution].waiting += queue.waiting.size();
        }
        queue.institution = service.institution;
        queue.importance = service.importance;
        queue.limit = service.queueLimit;
    }
    return dropped;
}

core::Result<EnqueueResult> Queue::enqueue(const core::ServiceName &service,
                                           core::TimePoint deadline,
                                           core::Duration expectedLatency,
                                           core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return core::Error{core::ErrorCode::NoSuchService, service.str()};
    }
    auto &queue = found->second;
    const auto checked = check(queue, deadline, expectedLatency, now);
    if (!core::ok(checked)) {
        return core::error(checked);
    }
    EnqueueResult admitted;
    if (m_tickets.size() >= m_hostLimit) {
        admitted.evicted = evictBelow(queue);
        if (!admitted.evicted) {
            return core::Error{core::ErrorCode::QueueFull, "entry host"};
        }
    }
    queue.expectedLatency = expectedLatency;
    admitted.ticket = m_nextTicket++;
    insert(service, queue, {deadline, admitted.ticket});
    return admitted;
}

std::optional<DequeuedRequest> Queue::dequeue(core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    auto *chosen = m_tickets.empty() ? nullptr : choose();
    if (chosen == nullptr) {
        return std::nullopt;
    }
    auto &[name, queue] = *chosen;
    const auto key = *queue.waiting.begin();
    remove(queue, key);
    noteTurn(queue, now);
    auto &share = m_shares[queue.institution];
    m_shareClock = share.served;
    share.served += 1 / share.weight;
    queue.served += 1;
    return DequeuedRequest{key.second, name, key.first, queue.readiness};
}

bool Queue::requeue(const DequeuedRequest &turn)
{
    const core::Lock lock(m_mutex);
    const auto found = m_services.find(turn.service);
    if (found == m_services.end()) {
        return false;
    }
    auto &queue = found->second;
    insert(turn.service, queue, {turn.deadline, turn.ticket});
    auto &share = m_shares[queue.institution];
    share.served -= 1 / share.weight;
    queue.served -= 1;
    queue.ready = queue.readiness != turn.readiness;
    return true;
}

void Queue::markReady(const core::ServiceName &service)
{
    const core::Lock lock(m_mutex);
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.ready = true;
        ++found->second.readiness;
    }
}

std::vector<Ticket> Queue::removeExpired(core::TimePoint now)
{
    const core::Lock lock(m_mutex);
    std::vector<Ticket> expired;
    for (auto &[name, queue] : m_services) {
        while (!queue.waiting.empty() && queue.waiting.begin()->first < now + queue.expectedLatency) {
            expired.push_back(queue.waiting.begin()->second);
            remove(queue, *queue.waiting.begin());
        }
    }
    return expired;
}

bool Queue::cancel(Ticket ticket)
{
    const core::Lock lock(m_mutex);
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end()) {
        return false;
    }
    const auto [service, deadline] = found->second;
    remove(m_services.at(service), {deadline, ticket});
    return true;
}

std::size_t Queue::waitingCount(const core::ServiceName &service) const
{
    const core::Lock lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.waiting.size();
}

core::Status Queue::check(const ServiceQueue &queue,
                          core::TimePoint deadline,
                          core::Duration expectedLatency,
                          core::TimePoint now) const
{
    if (queue.waiting.size() >= queue.limit) {
        return core::Error{core::ErrorCode::QueueFull, "service"};
    }
    const auto later = queue.waiting.lower_bound({deadline, 0});
    const auto before = std::distance(queue.waiting.begin(), later);
    const auto wait = queue.turnInterval.value_or(core::Duration{}) * before;
    if (now + wait + expectedLatency > deadline) {
        return core::Error{core::ErrorCode::DeadlinePassed, "expected wait"};
    }
    return std::monostate{};
}

/** Makes room for @p newcomer at the cost of a less important request, or one of an institution above its share. */
std::optional<Ticket> Queue::evictBelow(const ServiceQueue &newcomer)
{
    auto *victim = mostExpendable();
    if (victim == nullptr || victim->importance > newcomer.importance) {
        return std::nullopt;
    }
    const auto &victimShare = m_shares[victim->institution];
    const auto &ownShare = m_shares[newcomer.institution];
    const double own = static_cast<double>(ownShare.waiting + 1) / ownShare.weight;
    const bool fairer = static_cast<double>(victimShare.waiting) / victimShare.weight > own;
    if (victim->importance == newcomer.importance && !fairer) {
        return std::nullopt;
    }
    const auto key = *victim->waiting.rbegin();
    remove(*victim, key);
    return key.second;
}

Queue::ServiceQueue *Queue::mostExpendable()
{
    ServiceQueue *worst = nullptr;
    double worstShare = 0;
    for (auto &[name, queue] : m_services) {
        if (queue.waiting.empty()) {
            continue;
        }
        const auto &share = m_shares[queue.institution];
        const double held = static_cast<double>(share.waiting) / share.weight;
        const bool less = worst != nullptr && queue.importance < worst->importance;
        const bool equal = worst != nullptr && queue.importance == worst->importance;
        if (worst == nullptr || less || (equal && held > worstShare)) {
            worst = &queue;
            worstShare = held;
        }
    }
    return worst;
}

void Queue::insert(const core::ServiceName &name, ServiceQueue &queue, const Key &key)
{
    auto &share = m_shares[queue.institution];
    if (share.waiting == 0) {
        // Who was idle gets no turns for that time.
        share.served = std::max(share.served, m_shareClock);
    }
    if (queue.waiting.empty()) {
        double least = queue.served;
        bool others = false;
        for (const auto &[otherName, other] : m_services) {
            if (!other.waiting.empty() && other.institution == queue.institution) {
                least = others ? std::min(least, other.served) : other.served;
                others = true;
            }
        }
        queue.served = std::max(queue.served, least);
    }
    ++share.waiting;
    queue.waiting.insert(key);
    m_tickets.emplace(key.second, std::pair(name, key.first));
}

void Queue::remove(ServiceQueue &queue, const Key &key)
{
    // The key may be a reference into the set.
    const auto ticket = key.second;
    --m_shares[queue.institution].waiting;
    queue.waiting.erase(Key(key));
    m_tickets.erase(ticket);
    if (queue.waiting.empty()) {
        queue.lastTurn.reset();
    }
}

std::pair<const core::ServiceName, Queue::ServiceQueue> *Queue::choose()
{
    std::pair<const core::ServiceName, ServiceQueue> *best = nullptr;
    double bestShare = 0;
    for (auto &entry : m_services) {
        auto &queue = entry.second;
        if (queue.waiting.empty() || !queue.ready) {
            continue;
        }
        const double share = m_shares[queue.institution].served;
        const bool same = best != nullptr && best->second.institution == queue.institution;
        if (best == nullptr || share < bestShare || (same && queue.served < best->second.served)) {
            best = &entry;
            bestShare = share;
        }
    }
    return best;
}

void Queue::noteTurn(ServiceQueue &queue, core::TimePoint now)
{
    if (queue.lastTurn) {
        const auto interval = now - *queue.lastTurn;
        const auto usual = queue.turnInterval.value_or(interval);
        queue.turnInterval = usual + (interval - usual) / IntervalGainDivisor;
    }
    // With nobody left waiting, the time to the next turn says nothing of the targets.
    queue.lastTurn = queue.waiting.empty() ? std::nullopt : std::optional(now);
}

} // namespace pimentoshed::admission
