/**
 * @file
 * This control host's part in the replicated log: the decisions of consensus::Replica, with a disk and peers.
 */
#pragma once

#include "consensus/replica.h"
#include "core/rankedmutex.h"
#include "core/time.h"
#include "core/workerpool.h"
#include "journal/journal.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pimentoshed::control
{

/** What the log is for, and how its messages travel. */
struct ReplicatorHooks {
    /** Applies a committed command and yields its answer. Called in order, with the mutex held. */
    std::function<std::string(const std::string &)> apply;
    /** Replaces the replicated state. Called with the mutex held. */
    std::function<void(const std::string &)> restore;
    /** The replicated state as bytes that restore takes. Called with the mutex held. */
    std::function<std::string()> snapshot;
    /** Sends a message; may lose it. Called without the mutex. */
    std::function<void(const consensus::Message &)> send;
    /** Called without the mutex after something was applied. */
    std::function<void()> applied;
    core::ClockHook now;
};

/** The answer of an applied command, or why there is none. ChangeNotCommitted: it may yet be applied. */
using SubmitHook = std::function<void(core::Result<std::string>)>;
/** The index that must be applied for the state to be current. */
using ConfirmHook = std::function<void(core::Result<consensus::LogIndex>)>;

/** Thread-safe; rank Replica. Hooks given to its functions run without the mutex, on any thread. */
class Replicator
{
public:
    /** Errors: those of Journal::open and of Replica::Builder::build. */
    static core::Result<std::unique_ptr<Replicator>> open(const std::string &folder,
                                                          const core::HostId &host,
                                                          ReplicatorHooks hooks,
                                                          const core::RandomSource &random);

    /** Makes the data folder of a host of a new system whose first members are @p hosts. */
    static core::Status createDataFolder(const std::string &folder,
                                         const core::HostId &host,
                                         const std::vector<core::HostId> &hosts);

    void tick();
    void receive(const consensus::Message &message);

    /** Has @p payload applied everywhere. Errors: NotLeader, NoQuorum, JournalWriteFailed, ChangeNotCommitted. */
    void submit(std::string payload, SubmitHook hook);

    /** Confirms, after this call, that nothing newer is committed than what the index covers. Errors as submit. */
    void confirm(ConfirmHook hook);

    core::Result<consensus::EntryId> changeMembers(const consensus::MembersChange &change);

    /** The last index applied here. */
    consensus::LogIndex applied() const;
    consensus::ReplicaStatus inspect() const;
    consensus::MemberId self() const;
    std::size_t journalBytes() const;

    /** Stores what is queued and ends. */
    void stop();

private:
    struct Pending {
        consensus::EntryId id;
        SubmitHook hook;
        core::TimePoint until;
    };
    /** What is to run once the mutex is released. */
    using Deferred = std::vector<std::function<void()>>;

    Replicator(journal::Journal journal, consensus::Replica replica, ReplicatorHooks hooks);

    /** Carries out what the replica wants, with @p lock held; releases it. */
    void drive(core::Lock &lock);
    void carryOut(consensus::Effects effects, Deferred &deferred);
    void applyCommitted(const consensus::Effects &effects, Deferred &deferred);
    void answerPending(const consensus::Entry &entry, const std::string &answer, Deferred &deferred);
    void answerReads(const consensus::Effects &effects, Deferred &deferred);
    void expirePending(Deferred &deferred);
    /** Replaces the applied part of the log by a snapshot once it has grown long. */
    void compactIfLong();
    void store(const consensus::Effects &effects);
    core::Status write(const consensus::Effects &effects);
    /** Puts one record in the place of all, so that a restart reads a bounded amount. */
    core::Status compactJournal();

    const ReplicatorHooks m_hooks;
    mutable core::RankedMutex m_mutex{core::LockRank::Replica};
    consensus::Replica m_replica;
    consensus::LogIndex m_applied;
    consensus::LogIndex m_snapshotAt;
    std::map<consensus::LogIndex, Pending> m_pending;
    std::map<consensus::ReadToken, ConfirmHook> m_reads;
    consensus::ReadToken m_lastRead;
    /** Used by the storage worker alone. */
    journal::Journal m_journal;
    bool m_storageFailed = false;
    std::atomic<std::size_t> m_journalBytes{0};
    /** One worker, so that batches are stored in order. */
    core::WorkerPool m_storage{1};
};

} // namespace pimentoshed::control
