/**
 * @file
 * The requests of workspaces that one entry host may send.
 */
#pragma once

#include "core/error.h"
#include "core/rankedmutex.h"
#include "quotas/decision.h"
#include "quotas/lease.h"
#include "quotas/limit.h"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pimentoshed::quotas
{

/** Counts of one workspace at one host, since the start of the process. */
struct SpendCounts {
    core::WorkspaceName workspace;
    std::uint64_t admitted = 0;
    std::uint64_t overQuota = 0;
    std::uint64_t unknown = 0;
};

/**
 * Spends leased requests, and asks for more: for each request that finds no lease, and in advance for workspaces with
 * several requests per second here. One call is under way at a time, with the asks of all workspaces. Without an
 * answer, a host sends its part of the reserve.
 *
 * Thread-safe; lock rank Quotas. Callbacks and hooks run without the mutex.
 */
class LeaseHolder
{
public:
    struct Dependencies {
        core::HostId host;
        /** Calls are numbered from here; later for each process of the host. */
        CallNumber firstCall = 1;
        core::ClockHook now;
        /** Makes a call; its result is passed to receive(), with a time limit of CallTimeout. */
        std::function<void(const LeaseCall &)> call;
        /** Called once per second and workspace at most, when requests are over their quota. */
        std::function<void(const core::WorkspaceName &, core::Duration retryAfter)> onOverQuota;
    };

    /** A host with a tenth of a processor may not run for 100 ms; later answers bring leases that have nearly ended. */
    static constexpr core::Duration CallTimeout = std::chrono::milliseconds(200);

    explicit LeaseHolder(Dependencies dependencies);

    /** See SpendHook. */
    void spend(const configuration::Workspace &workspace,
               core::TimePoint latest,
               const std::function<void(const Decision &)> &callback);

    /** See GiveBackHook. */
    void giveBack(const configuration::Workspace &workspace, const Token &token);

    /** Takes the answer to call @p number, or the error that ended it. */
    void receive(CallNumber number, const core::Result<LeaseAnswer> &answer);

    /** Sets the entry hosts, which share the reserve. */
    void setHosts(std::vector<core::HostId> hosts);

    /** Answers the requests that waited for too long, and makes a call if one is due. */
    void tick();

    /** Whether tick() has something to do soon: requests wait, or leases have not ended. */
    bool needsTick() const;

    std::vector<SpendCounts> counts() const;

private:
    /** The lease that one call got. */
    struct Held {
        CallNumber call = 0;
        /** Requests less what was returned. */
        unsigned requests = 0;
        unsigned unused = 0;
        core::TimePoint end{};
    };

    struct Waiter {
        core::TimePoint latest{};
        std::function<void(const Decision &)> callback;
        /** The call that asked for it; 0 if none has yet. */
        CallNumber call = 0;
    };

    struct Account {
        Limit limit;
        std::vector<Held> held;
        std::deque<Waiter> waiters;
        /** Requests per second here, an average that forgets by DemandMemory. */
        double demand = 0;
        core::TimePoint demandAt{};
        /** Until when requests are refused without a call, and when the workspace can send again. */
        core::TimePoint deniedUntil{};
        core::TimePoint freeAt{};
        /** When requests may be asked for in advance again. */
        core::TimePoint nextAhead{};
        /** When requests were sent from the reserve, within the last ReservePeriod. */
        std::deque<core::TimePoint> reserveUses;
        core::TimePoint lastLogged{};
        /** Whether it is one of m_active. */
        bool isActive = false;
        SpendCounts counts;
    };

    /** What is done without the mutex. */
    struct Actions {
        std::vector<std::pair<std::function<void(const Decision &)>, Decision>> decisions;
        std::optional<LeaseCall> call;
        std::vector<std::pair<core::WorkspaceName, core::Duration>> overQuota;
    };

    void carryOut(const Actions &actions) const;
    Account &accountOf(const configuration::Workspace &workspace);
    static void recordDemand(Account &account, core::TimePoint now);
    static double demandOf(const Account &account, core::TimePoint now);
    static unsigned unusedOf(const Account &account, core::TimePoint now);
    static std::optional<Token> takeLeased(Account &account, core::TimePoint now);
    /** Decides by the reserve, and by what the leader said last. */
    Decision decideAlone(Account &account, core::TimePoint now) const;
    static Decision refusal(const Account &account, core::TimePoint now);
    void decide(Account &account,
                const std::function<void(const Decision &)> &callback,
                const Decision &decision,
                core::TimePoint now,
                Actions &actions) const;
    void applyGrants(CallNumber number, const std::vector<Grant> &grants, core::TimePoint now);
    /** Answers the waiting requests that call @p number asked for, and those that its leases suffice for. */
    void answerWaiters(CallNumber number, core::TimePoint now, Actions &actions);
    /** Decides without a lease for the waiting requests for which @p isDue holds. */
    void endWaits(const std::function<bool(const Waiter &)> &isDue, core::TimePoint now, Actions &actions);
    /** Makes the next call, if there is something to ask or to return. */
    void callIfDue(core::TimePoint now, Actions &actions);
    Ask askFor(Account &account, CallNumber number, core::TimePoint now) const;
    /** Whether what is unused of a lease goes back now, before the lease ends. */
    static bool isReturnDue(const Held &held, core::TimePoint now);
    static void collectReturns(Account &account, core::TimePoint now, std::vector<Return> &returns);
    /** Drops the accounts that no request used of late, and that hold and wait for nothing. */
    void dropIdle(core::TimePoint now);
    bool isOutOfTouch() const;

    const Dependencies m_dependencies;
    const core::TimePoint m_start;
    mutable core::RankedMutex m_mutex{core::LockRank::Quotas};
    std::unordered_map<core::WorkspaceName, Account> m_accounts;
    /** The accounts of which something may be due: a host has thousands, and uses few at a time. */
    std::vector<Account *> m_active;
    std::vector<core::HostId> m_hosts;
    CallNumber m_lastCall;
    bool m_isCalling = false;
    core::TimePoint m_calledAt{};
    core::TimePoint m_nextCall{};
    /** Number of consecutive calls without an answer of the leader. */
    unsigned m_failures = 0;
};

} // namespace pimentoshed::quotas
