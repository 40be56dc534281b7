#include "quotas/leaseholder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentoshed::quotas
{

namespace
{

constexpr core::Duration DemandMemory = std::chrono::seconds(1);
/** Below this demand no request has come for most of DemandMemory. */
constexpr double IdleDemand = 0.5;
/** From this demand on a call in advance is cheaper than one for each request: a lease lasts about half a second. */
constexpr double MinAheadDemand = 4;
/** A lease in advance covers the demand of this time: half of its lifetime, so that most of it is used. */
constexpr double AheadSeconds = 0.3;
/** What is unused is returned this long before the lease ends, so that it arrives before the leader counts it as used.
 */
constexpr core::Duration ReturnBefore = std::chrono::milliseconds(120);
/**
 * The longest time for which requests are refused without a call after the leader had none: by then a limit that one
 * host can use up has some requests again, and a bucket is far from full.
 */
constexpr core::Duration DenialTime = std::chrono::milliseconds(250);
/** Time between two asks in advance for one workspace: less than what one of them covers. */
constexpr core::Duration AheadPause = std::chrono::milliseconds(200);
/** Pause after a call without an answer of the leader. */
constexpr core::Duration RetryPause = std::chrono::milliseconds(25);
/** The same while the control hosts can't be reached. */
constexpr core::Duration OutOfTouchPause = std::chrono::milliseconds(200);
/** From this number of failed calls on, requests don't wait for the next one: an answer may be lost once. */
constexpr unsigned OutOfTouchFailures = 3;
/** Retry-After while nobody can say: an election takes about so long. */
constexpr core::Duration UnknownRetryAfter = std::chrono::milliseconds(400);
constexpr core::Duration LogPeriod = std::chrono::seconds(1);

} // namespace

LeaseHolder::LeaseHolder(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_start(m_dependencies.now())
    , m_lastCall(m_dependencies.firstCall - 1)
{
}

void LeaseHolder::spend(const configuration::Workspace &workspace,
                        core::TimePoint latest,
                        const std::function<void(const Decision &)> &callback)
{
    if (workspace.requestsPerSecond <= 0) {
        callback({});
        return;
    }
    Actions actions;
    {
        const core::Lock lock(m_mutex);
        const auto now = m_dependencies.now();
        auto &account = accountOf(workspace);
        recordDemand(account, now);
        if (const auto token = takeLeased(account, now)) {
            decide(account, callback, {Verdict::Admitted, *token, {}}, now, actions);
        } else if (now < account.deniedUntil) {
            decide(account, callback, refusal(account, now), now, actions);
        } else if (isOutOfTouch() || latest <= now) {
            decide(account, callback, decideAlone(account, now), now, actions);
        } else {
            account.waiters.push_back({latest, callback, 0});
        }
        callIfDue(now, actions);
    }
    carryOut(actions);
}

void LeaseHolder::giveBack(const configuration::Workspace &workspace, const Token &token)
{
    const core::Lock lock(m_mutex);
    for (auto &held : accountOf(workspace).held) {
        if (held.call == token.call && held.unused < held.requests) {
            ++held.unused;
        }
    }
}

void LeaseHolder::receive(CallNumber number, const core::Result<LeaseAnswer> &answer)
{
    Actions actions;
    {
        const core::Lock lock(m_mutex);
        if (!m_isCalling || number != m_lastCall) {
            return;
        }
        const auto now = m_dependencies.now();
        m_isCalling = false;
        if (core::ok(answer) && core::value(answer)) {
            m_failures = 0;
            applyGrants(number, *core::value(answer), now);
            answerWaiters(number, now, actions);
        } else {
            ++m_failures;
            m_nextCall = now + (isOutOfTouch() ? OutOfTouchPause : RetryPause);
            for (auto *account : m_active) {
                for (auto &waiter : account->waiters) {
                    waiter.call = 0;
                }
            }
            endWaits(
                [this](const Waiter &) {
                    return isOutOfTouch();
                },
                now,
                actions);
        }
        callIfDue(now, actions);
    }
    carryOut(actions);
}

void LeaseHolder::setHosts(std::vector<core::HostId> hosts)
{
    const core::Lock lock(m_mutex);
    m_hosts = std::move(hosts);
}

void LeaseHolder::tick()
{
    Actions actions;
    {
        const core::Lock lock(m_mutex);
        const auto now = m_dependencies.now();
        endWaits(
            [now](const Waiter &waiter) {
                return waiter.latest <= now;
            },
            now,
            actions);
        callIfDue(now, actions);
    }
    carryOut(actions);
}

bool LeaseHolder::needsTick() const
{
    const core::Lock lock(m_mutex);
    const auto now = m_dependencies.now();
    return std::any_of(m_active.begin(), m_active.end(), [now](const Account *account) {
        return !account->waiters.empty() || unusedOf(*account, now) > 0;
    });
}

std::vector<SpendCounts> LeaseHolder::counts() const
{
    const core::Lock lock(m_mutex);
    std::vector<SpendCounts> counts;
    counts.reserve(m_accounts.size());
    for (const auto &[name, account] : m_accounts) {
        counts.push_back(account.counts);
    }
    return counts;
}

void LeaseHolder::carryOut(const Actions &actions) const
{
    for (const auto &[workspace, retryAfter] : actions.overQuota) {
        if (m_dependencies.onOverQuota) {
            m_dependencies.onOverQuota(workspace, retryAfter);
        }
    }
    for (const auto &[callback, decision] : actions.decisions) {
        callback(decision);
    }
    if (actions.call) {
        m_dependencies.call(*actions.call);
    }
}

LeaseHolder::Account &LeaseHolder::accountOf(const configuration::Workspace &workspace)
{
    auto &account = m_accounts[workspace.name];
    account.limit = {workspace.requestsPerSecond, workspace.burst};
    account.counts.workspace = workspace.name;
    if (!account.isActive) {
        account.isActive = true;
        m_active.push_back(&account);
    }
    return account;
}

double LeaseHolder::demandOf(const Account &account, core::TimePoint now)
{
    return account.demand * std::exp(-core::toSeconds(now - account.demandAt) / core::toSeconds(DemandMemory));
}

void LeaseHolder::recordDemand(Account &account, core::TimePoint now)
{
    account.demand = demandOf(account, now) + 1 / core::toSeconds(DemandMemory);
    account.demandAt = now;
}

unsigned LeaseHolder::unusedOf(const Account &account, core::TimePoint now)
{
    unsigned unused = 0;
    for (const auto &held : account.held) {
        unused += held.end > now ? held.unused : 0;
    }
    return unused;
}

std::optional<Token> LeaseHolder::takeLeased(Account &account, core::TimePoint now)
{
    // Those that end first are used first.
    Held *first = nullptr;
    for (auto &held : account.held) {
        if (held.unused > 0 && held.end > now && (first == nullptr || held.end < first->end)) {
            first = &held;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    --first->unused;
    return Token{first->call, first->end};
}

Decision LeaseHolder::decideAlone(Account &account, core::TimePoint now) const
{
    auto &uses = account.reserveUses;
    while (!uses.empty() && uses.front() + ReservePeriod <= now) {
        uses.pop_front();
    }
    // A process that has just started doesn't know what the one before it sent.
    const bool mayUseReserve = now >= m_start + ReservePeriod;
    if (mayUseReserve
        && uses.size() < reservePart(account.limit, account.counts.workspace, m_hosts, m_dependencies.host)) {
        uses.push_back(now);
        return {Verdict::Admitted, {0, now + ShortLifetime}, {}};
    }
    return now < account.freeAt ? refusal(account, now) : Decision{Verdict::Unknown, {}, UnknownRetryAfter};
}

Decision LeaseHolder::refusal(const Account &account, core::TimePoint now)
{
    return {Verdict::OverQuota, {}, std::max(account.freeAt - now, core::Duration{})};
}

void LeaseHolder::decide(Account &account,
                         const std::function<void(const Decision &)> &callback,
                         const Decision &decision,
                         core::TimePoint now,
                         Actions &actions) const
{
    auto &counts = account.counts;
    switch (decision.verdict) {
    case Verdict::Admitted:
        ++counts.admitted;
        break;
    case Verdict::OverQuota:
        ++counts.overQuota;
        if (now >= account.lastLogged + LogPeriod) {
            account.lastLogged = now;
            actions.overQuota.emplace_back(counts.workspace, decision.retryAfter);
        }
        break;
    case Verdict::Unknown:
        ++counts.unknown;
        break;
    }
    actions.decisions.emplace_back(callback, decision);
}

void LeaseHolder::applyGrants(CallNumber number, const std::vector<Grant> &grants, core::TimePoint now)
{
    for (const auto &grant : grants) {
        const auto found = m_accounts.find(grant.workspace);
        if (found == m_accounts.end()) {
            continue;
        }
        auto &account = found->second;
        std::erase_if(account.held, [now](const Held &held) {
            return held.end <= now;
        });
        if (grant.requests > 0) {
            account.held.push_back({number, grant.requests, grant.requests, m_calledAt + grant.lifetime});
        }
        if (grant.retryAfter > core::Duration{}) {
            account.freeAt = now + grant.retryAfter;
            account.deniedUntil = now + std::min(grant.retryAfter, DenialTime);
        }
    }
}

void LeaseHolder::answerWaiters(CallNumber number, core::TimePoint now, Actions &actions)
{
    for (auto *active : m_active) {
        auto &account = *active;
        std::deque<Waiter> left;
        for (auto &waiter : account.waiters) {
            if (const auto token = takeLeased(account, now)) {
                decide(account, waiter.callback, {Verdict::Admitted, *token, {}}, now, actions);
            } else if (waiter.call == number && now < account.freeAt) {
                decide(account, waiter.callback, refusal(account, now), now, actions);
            } else if (waiter.call == number) {
                // The answer came too late to be used.
                decide(account, waiter.callback, decideAlone(account, now), now, actions);
            } else {
                left.push_back(std::move(waiter));
            }
        }
        account.waiters = std::move(left);
    }
}

void LeaseHolder::endWaits(const std::function<bool(const Waiter &)> &isDue, core::TimePoint now, Actions &actions)
{
    for (auto *active : m_active) {
        auto &account = *active;
        std::deque<Waiter> left;
        for (auto &waiter : account.waiters) {
            if (isDue(waiter)) {
                decide(account, waiter.callback, decideAlone(account, now), now, actions);
            } else {
                left.push_back(std::move(waiter));
            }
        }
        account.waiters = std::move(left);
    }
}

void LeaseHolder::callIfDue(core::TimePoint now, Actions &actions)
{
    if (m_isCalling || now < m_nextCall) {
        return;
    }
    dropIdle(now);
    LeaseCall call{m_dependencies.host, m_lastCall + 1, {}, {}};
    bool isAnyReturnDue = false;
    for (auto *active : m_active) {
        auto &account = *active;
        const auto ask = askFor(account, call.number, now);
        if (ask.waiting + ask.ahead > 0) {
            call.asks.push_back(ask);
        }
        isAnyReturnDue =
            isAnyReturnDue || std::any_of(account.held.begin(), account.held.end(), [now](const Held &held) {
                return isReturnDue(held, now);
            });
    }
    if (call.asks.empty() && !isAnyReturnDue) {
        return;
    }
    for (auto *account : m_active) {
        collectReturns(*account, now, call.returns);
    }
    m_lastCall = call.number;
    m_isCalling = true;
    m_calledAt = now;
    actions.call = std::move(call);
}

Ask LeaseHolder::askFor(Account &account, CallNumber number, core::TimePoint now) const
{
    Ask ask{account.counts.workspace, static_cast<unsigned>(account.waiters.size()), 0};
    for (auto &waiter : account.waiters) {
        waiter.call = number;
    }
    const auto demand = demandOf(account, now);
    if (isOutOfTouch()) {
        // Only to learn whether the control hosts can be reached again.
        ask.ahead = demand >= IdleDemand ? 1 : 0;
    } else if (demand >= MinAheadDemand && now >= std::max(account.nextAhead, account.deniedUntil)) {
        const auto wanted = demand * AheadSeconds;
        const auto unused = static_cast<double>(unusedOf(account, now));
        ask.ahead = unused < wanted / 2 ? static_cast<unsigned>(std::ceil(wanted - unused)) : 0;
        account.nextAhead = ask.ahead > 0 ? now + AheadPause : account.nextAhead;
    }
    return ask;
}

bool LeaseHolder::isReturnDue(const Held &held, core::TimePoint now)
{
    return held.unused > 0 && held.end > now && held.end - ReturnBefore <= now;
}

void LeaseHolder::collectReturns(Account &account, core::TimePoint now, std::vector<Return> &returns)
{
    for (auto &held : account.held) {
        if (isReturnDue(held, now)) {
            returns.push_back({account.counts.workspace, held.call, held.unused});
            held.requests -= held.unused;
            held.unused = 0;
        }
    }
}

void LeaseHolder::dropIdle(core::TimePoint now)
{
    std::erase_if(m_active, [now](Account *account) {
        account->isActive =
            !account->waiters.empty() || unusedOf(*account, now) > 0 || demandOf(*account, now) >= IdleDemand;
        return !account->isActive;
    });
}

bool LeaseHolder::isOutOfTouch() const
{
    return m_failures >= OutOfTouchFailures;
}

} // namespace pimentoshed::quotas
