#include "admission/queue.h"

#include <algorithm>

namespace pimentoshed::admission
{

namespace
{

/** The newest interval between dequeues has a weight of 1 / IntervalGainDivisor in the moving average. */
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
        admitted.evicted = evictFor(queue);
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
    auto *chosen = m_tickets.empty() ? nullptr : selectService();
    if (chosen == nullptr) {
        return std::nullopt;
    }
    auto &[name, queue] = *chosen;
    const auto key = *queue.waiting.begin();
    remove(queue, key);
    recordDequeue(queue, now);
    auto &share = m_shares[queue.institution];
    m_systemVirtualTime = share.virtualTime;
    share.virtualTime += 1 / share.weight;
    queue.virtualTime += 1;
    return DequeuedRequest{key.second, name, key.first, queue.readyCount};
}

bool Queue::requeue(const DequeuedRequest &request)
{
    const core::Lock lock(m_mutex);
    const auto found = m_services.find(request.service);
    if (found == m_services.end()) {
        return false;
    }
    auto &queue = found->second;
    insert(request.service, queue, {request.deadline, request.ticket});
    auto &share = m_shares[queue.institution];
    share.virtualTime -= 1 / share.weight;
    queue.virtualTime -= 1;
    queue.ready = queue.readyCount != request.readyCount;
    return true;
}

void Queue::markReady(const core::ServiceName &service)
{
    const core::Lock lock(m_mutex);
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.ready = true;
        ++found->second.readyCount;
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

std::vector<Ticket> Queue::removeEndingAfter(core::TimePoint latest)
{
    const core::Lock lock(m_mutex);
    std::vector<Ticket> removed;
    for (auto &[name, queue] : m_services) {
        while (!queue.waiting.empty() && queue.waiting.rbegin()->first > latest) {
            removed.push_back(queue.waiting.rbegin()->second);
            remove(queue, *queue.waiting.rbegin());
        }
    }
    return removed;
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
    const auto wait = queue.dequeueInterval.value_or(core::Duration{}) * before;
    if (now + wait + expectedLatency > deadline) {
        return core::Error{core::ErrorCode::DeadlinePassed, "expected wait and latency exceed the time left"};
    }
    return std::monostate{};
}

/**
 * Frees a place for a request of @p newcomer by evicting a request of a less important service, or of an equally
 * important one whose institution has more queued requests per weight. Returns nullopt if there is no such request.
 */
std::optional<Ticket> Queue::evictFor(const ServiceQueue &newcomer)
{
    auto *victim = findVictim();
    if (victim == nullptr || victim->importance > newcomer.importance) {
        return std::nullopt;
    }
    const auto &victimShare = m_shares[victim->institution];
    const auto &newcomerShare = m_shares[newcomer.institution];
    const double newcomerPerWeight = static_cast<double>(newcomerShare.waiting + 1) / newcomerShare.weight;
    const bool isFairer = static_cast<double>(victimShare.waiting) / victimShare.weight > newcomerPerWeight;
    if (victim->importance == newcomer.importance && !isFairer) {
        return std::nullopt;
    }
    const auto key = *victim->waiting.rbegin();
    remove(*victim, key);
    return key.second;
}

Queue::ServiceQueue *Queue::findVictim()
{
    ServiceQueue *victim = nullptr;
    double victimPerWeight = 0;
    for (auto &[name, queue] : m_services) {
        if (queue.waiting.empty()) {
            continue;
        }
        const auto &share = m_shares[queue.institution];
        const double queuedPerWeight = static_cast<double>(share.waiting) / share.weight;
        const bool isLessImportant = victim != nullptr && queue.importance < victim->importance;
        const bool isEquallyImportant = victim != nullptr && queue.importance == victim->importance;
        if (victim == nullptr || isLessImportant || (isEquallyImportant && queuedPerWeight > victimPerWeight)) {
            victim = &queue;
            victimPerWeight = queuedPerWeight;
        }
    }
    return victim;
}

void Queue::insert(const core::ServiceName &name, ServiceQueue &queue, const Key &key)
{
    auto &share = m_shares[queue.institution];
    if (share.waiting == 0) {
        // An institution that was idle earns no credit for that time.
        share.virtualTime = std::max(share.virtualTime, m_systemVirtualTime);
    }
    if (queue.waiting.empty()) {
        double least = queue.virtualTime;
        bool hasOthers = false;
        for (const auto &[otherName, other] : m_services) {
            if (!other.waiting.empty() && other.institution == queue.institution) {
                least = hasOthers ? std::min(least, other.virtualTime) : other.virtualTime;
                hasOthers = true;
            }
        }
        queue.virtualTime = std::max(queue.virtualTime, least);
    }
    ++share.waiting;
    queue.waiting.insert(key);
    m_tickets.emplace(key.second, std::pair(name, key.first));
}

void Queue::remove(ServiceQueue &queue, const Key &key)
{
    // The key may be a reference to an element of the set, which is erased here.
    const auto ticket = key.second;
    --m_shares[queue.institution].waiting;
    queue.waiting.erase(Key(key));
    m_tickets.erase(ticket);
    if (queue.waiting.empty()) {
        queue.lastDequeue.reset();
    }
}

std::pair<const core::ServiceName, Queue::ServiceQueue> *Queue::selectService()
{
    std::pair<const core::ServiceName, ServiceQueue> *best = nullptr;
    double bestVirtualTime = 0;
    for (auto &entry : m_services) {
        auto &queue = entry.second;
        if (queue.waiting.empty() || !queue.ready) {
            continue;
        }
        const double virtualTime = m_shares[queue.institution].virtualTime;
        const bool isSameInstitution = best != nullptr && best->second.institution == queue.institution;
        if (best == nullptr || virtualTime < bestVirtualTime
            || (isSameInstitution && queue.virtualTime < best->second.virtualTime)) {
            best = &entry;
            bestVirtualTime = virtualTime;
        }
    }
    return best;
}

void Queue::recordDequeue(ServiceQueue &queue, core::TimePoint now)
{
    if (queue.lastDequeue) {
        const auto interval = now - *queue.lastDequeue;
        const auto average = queue.dequeueInterval.value_or(interval);
        queue.dequeueInterval = average + (interval - average) / IntervalGainDivisor;
    }
    // If no request is left in the queue, the time to the next dequeue depends on arrivals, not on the targets.
    queue.lastDequeue = queue.waiting.empty() ? std::nullopt : std::optional(now);
}

} // namespace pimentoshed::admission
