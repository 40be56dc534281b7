/**
 * @file
 * Runs this control host's replica of the log: stores, sends and applies what consensus::Replica decides.
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

/** The state machine that the log drives, and the replicator's access to the network and the clock. */
struct ReplicatorHooks {
    /** Applies a committed command and returns its answer. Called in log order, with the mutex locked. */
    std::function<std::string(const std::string &)> apply;
    /**
     * Replaces the replicated state by a snapshot. After an error this member takes no part any more, as its state is
     * older than the log says. Called with the mutex locked.
     */
    std::function<core::Status(const std::string &)> restore;
    /** Returns a snapshot of the replicated state. Called with the mutex locked. */
    std::function<std::string()> snapshot;
    /** Sends a message, which may be lost. Called without the mutex. */
    std::function<void(const consensus::Message &)> send;
    /** Called after entries or a snapshot were applied, without the mutex. */
    std::function<void()> applied;
    core::ClockHook now;
};

/** Gets the answer of an applied command, or an error. ChangeNotCommitted: the command may still be applied. */
using SubmitHook = std::function<void(core::Result<std::string>)>;
/** Gets the log index up to which entries must be applied for the state to be current. */
using ConfirmHook = std::function<void(core::Result<consensus::LogIndex>)>;

/** Thread-safe; lock rank Replica. Hooks passed to its functions run without the mutex, on any thread. */
class Replicator
{
public:
    /**
     * Restores the log from the journal in @p folder. Errors: those of Journal::open, Replica::Builder::build
     * and the restore hook.
     */
    static core::Result<std::unique_ptr<Replicator>> open(const std::string &folder,
                                                          const core::HostId &host,
                                                          ReplicatorHooks hooks,
                                                          const core::RandomSource &random);

    /** Creates the data folder of @p host for a new system whose first members are @p hosts. */
    static core::Status createDataFolder(const std::string &folder,
                                         const core::HostId &host,
                                         const std::vector<core::HostId> &hosts);

    /** Runs the replica's timers; to be called periodically. */
    void tick();
    /** Processes a message of another member. */
    void receive(const consensus::Message &message);

    /**
     * Replicates the command @p payload; @p hook gets its answer when it is applied here. Errors: NotLeader, NoQuorum,
     * JournalWriteFailed, ChangeNotCommitted.
     */
    void submit(std::string payload, SubmitHook hook);

    /** Confirms with a quorum which index covers every entry committed before this call. Errors as submit(). */
    void confirm(ConfirmHook hook);

    /** Starts a change of the members; returns the id of its log entry. */
    core::Result<consensus::EntryId> changeMembers(const consensus::MembersChange &change);

    /** The last index applied here. */
    consensus::LogIndex applied() const;
    consensus::ReplicaStatus status() const;
    consensus::MemberId self() const;
    std::size_t journalBytes() const;

    /**
     * Hands the leadership on if this host has it, answers all pending submissions and confirmations with an error, and
     * refuses new ones.
     */
    void close();

    /** Writes all queued batches to the journal and stops. */
    void stop();

private:
    struct Submission {
        consensus::EntryId id;
        SubmitHook hook;
        core::TimePoint deadline;
    };
    enum class StorageState : std::uint8_t {
        Working,
        /** A write or sync failed, so that what the journal holds is unknown. Batches are not written. */
        Failed,
        /** The journal is being written anew; batches that follow the image wait behind it. */
        Restoring,
    };
    /** Calls to make once the mutex is released. */
    using Deferred = std::vector<std::function<void()>>;

    Replicator(journal::Journal journal, consensus::Replica replica, ReplicatorHooks hooks);

    /** Carries out the effects that the replica has produced, then @p deferred. @p lock is locked; unlocks it. */
    void processEffects(core::Lock &lock, Deferred deferred = {});
    void carryOut(consensus::Effects effects, Deferred &deferred);
    void applyCommitted(const consensus::Effects &effects, Deferred &deferred);
    void answerSubmission(const consensus::Entry &entry, const std::string &answer, Deferred &deferred);
    /** Refuses the submission at @p index, if any: its entry is no longer in the log and will never be applied. */
    void refuseReplaced(consensus::LogIndex index, Deferred &deferred);
    void answerConfirmations(const consensus::Effects &effects, Deferred &deferred);
    void expireSubmissions(Deferred &deferred);
    /** Replaces the applied part of the log by a snapshot, if enough entries were applied since the last one. */
    void compactIfLong();
    void store(const consensus::Effects &effects);
    core::Status write(const consensus::Effects &effects);
    /** Notes that a write failed. @p lock is locked; unlocks it. */
    void recordStorageFailure(core::Lock &lock, const core::Error &failure);
    /** Starts to write the journal anew if a write has failed and the pause since the last attempt has passed. */
    void restoreStorageIfDue(core::TimePoint now);
    /** Writes the journal anew with everything that must be in it. Called by the storage worker. */
    void restoreStorage();
    /** Replaces all journal records by a single one, so that a restart reads a bounded amount. */
    core::Status compactJournal();

    const ReplicatorHooks m_hooks;
    mutable core::RankedMutex m_mutex{core::LockRank::Replica};
    consensus::Replica m_replica;
    consensus::LogIndex m_applied;
    consensus::LogIndex m_snapshotIndex;
    std::map<consensus::LogIndex, Submission> m_submissions;
    std::map<consensus::ReadToken, ConfirmHook> m_confirmations;
    consensus::ReadToken m_lastReadToken;
    bool m_isClosed = false;
    /** Used only by the storage worker. */
    journal::Journal m_journal;
    StorageState m_storageState = StorageState::Working;
    bool m_isRestorePosted = false;
    core::TimePoint m_storageFailedAt{};
    core::TimePoint m_nextRestore{};
    std::atomic<std::size_t> m_journalBytes{0};
    /** A single worker, so that batches are stored in order. */
    core::WorkerPool m_storage{1};
};

} // namespace pimentoshed::control
