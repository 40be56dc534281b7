#include "control/replicator.h"

#include "core/log.h"
#include "rpc/replicationcodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentoshed::control
{

namespace
{

/** Short, as hosts that start together elect a leader within a few of their round trips. */
constexpr auto FirstElectionTimeout = std::chrono::milliseconds(100);
constexpr auto SubmitTimeout = std::chrono::seconds(5);
/** Limits the applied entries that a restart reads again; operators make some hundred changes a day. */
constexpr std::uint64_t EntriesPerSnapshot = 256;
/** Pause between two attempts to write the journal anew after a write has failed. */
constexpr auto StorageRestorePeriod = std::chrono::milliseconds(300);
/** Disk id of the first members of a new system. */
constexpr const char *InitialDiskId = "initial";

const core::Error ReplacedInLog{core::ErrorCode::NoQuorum, "a new leader replaced the change in the log"};
const core::Error Closing{core::ErrorCode::NoQuorum, "this host stops"};
const core::Error OutcomeUnknown{core::ErrorCode::ChangeNotCommitted,
                                 "the change may still be applied; send it again with the same id"};

consensus::LogIndex snapshotIndex(const rpc::RestoredLog &log)
{
    return log.snapshot ? log.snapshot->last.index : consensus::LogIndex();
}

core::Result<consensus::Replica> makeReplica(const rpc::RestoredLog &log,
                                             const consensus::MemberId &self,
                                             const core::RandomSource &random,
                                             core::TimePoint now)
{
    consensus::Timing timing;
    timing.firstElectionTimeout = FirstElectionTimeout;
    consensus::Replica::Builder builder;
    builder.timing(timing);
    builder.self(self).hardState(log.hardState).entries(log.entries).random(random);
    if (log.initialMembers) {
        builder.initialMembers(*log.initialMembers);
    }
    if (log.snapshot) {
        builder.snapshot(*log.snapshot);
    }
    return builder.build(now);
}

} // namespace

core::Result<std::unique_ptr<Replicator>> Replicator::open(const std::string &folder,
                                                           const core::HostId &host,
                                                           ReplicatorHooks hooks,
                                                           const core::RandomSource &random)
{
    auto opened = journal::Journal::open(folder, host.str());
    if (!core::ok(opened)) {
        return core::error(opened);
    }
    auto &[journal, records, truncatedBytes] = core::value(opened);
    if (truncatedBytes > 0) {
        core::log(core::LogLevel::Warning, "journal-tail-cut", {{"bytes", static_cast<std::uint64_t>(truncatedBytes)}});
    }
    const auto log = rpc::decodeRecords(records);
    if (!core::ok(log)) {
        return core::error(log);
    }
    const consensus::MemberId self{host, consensus::DiskId(journal.identity().disk)};
    auto replica = makeReplica(core::value(log), self, random, hooks.now());
    if (!core::ok(replica)) {
        return core::error(replica);
    }
    std::unique_ptr<Replicator> replicator(
        new Replicator(std::move(journal), std::move(core::value(replica)), std::move(hooks)));
    replicator->m_applied = snapshotIndex(core::value(log));
    replicator->m_snapshotIndex = replicator->m_applied;
    if (core::value(log).snapshot) {
        const auto restored = replicator->m_hooks.restore(core::value(log).snapshot->payload);
        if (!core::ok(restored)) {
            replicator->stop();
            return core::error(restored);
        }
    }
    return replicator;
}

core::Status Replicator::createDataFolder(const std::string &folder,
                                          const core::HostId &host,
                                          const std::vector<core::HostId> &hosts)
{
    rpc::RestoredLog log;
    log.initialMembers.emplace();
    for (const auto &member : hosts) {
        log.initialMembers->voters.push_back({member, consensus::DiskId(InitialDiskId)});
    }
    return journal::Journal::createDataFolder(folder, {host.str(), InitialDiskId}, {rpc::encodeRecord(log)});
}

Replicator::Replicator(journal::Journal journal, consensus::Replica replica, ReplicatorHooks hooks)
    : m_hooks(std::move(hooks))
    , m_replica(std::move(replica))
    , m_journal(std::move(journal))
    , m_journalBytes(m_journal.bytes())
{
}

void Replicator::tick()
{
    core::Lock lock(m_mutex);
    const auto now = m_hooks.now();
    m_replica.tick(now);
    restoreStorageIfDue(now);
    processEffects(lock);
}

void Replicator::receive(const consensus::Message &message)
{
    core::Lock lock(m_mutex);
    m_replica.receive(message, m_hooks.now());
    processEffects(lock);
}

void Replicator::submit(std::string payload, SubmitHook hook)
{
    core::Lock lock(m_mutex);
    const auto now = m_hooks.now();
    const auto proposed = m_isClosed ? Closing : m_replica.propose(std::move(payload), now);
    if (!core::ok(proposed)) {
        lock.unlock();
        hook(core::error(proposed));
        return;
    }
    const auto id = core::value(proposed);
    Deferred deferred;
    refuseReplaced(id.index, deferred);
    m_submissions.emplace(id.index, Submission{id, std::move(hook), now + SubmitTimeout});
    processEffects(lock, std::move(deferred));
}

void Replicator::confirm(ConfirmHook hook)
{
    core::Lock lock(m_mutex);
    m_lastReadToken = m_lastReadToken.next();
    const auto requested = m_isClosed ? Closing : m_replica.requestReadIndex(m_lastReadToken, m_hooks.now());
    if (!core::ok(requested)) {
        lock.unlock();
        hook(core::error(requested));
        return;
    }
    m_confirmations.emplace(m_lastReadToken, std::move(hook));
    processEffects(lock);
}

core::Result<consensus::EntryId> Replicator::changeMembers(const consensus::MembersChange &change)
{
    core::Lock lock(m_mutex);
    auto started = m_replica.changeMembers(change, m_hooks.now());
    processEffects(lock);
    return started;
}

consensus::LogIndex Replicator::applied() const
{
    const core::Lock lock(m_mutex);
    return m_applied;
}

consensus::ReplicaStatus Replicator::status() const
{
    const core::Lock lock(m_mutex);
    return m_replica.status();
}

consensus::MemberId Replicator::self() const
{
    return status().self;
}

std::size_t Replicator::journalBytes() const
{
    return m_journalBytes;
}

void Replicator::close()
{
    core::Lock lock(m_mutex);
    m_isClosed = true;
    m_replica.handOver(m_hooks.now());
    processEffects(lock);
    lock.lock();
    const auto submissions = std::exchange(m_submissions, {});
    const auto confirmations = std::exchange(m_confirmations, {});
    lock.unlock();
    for (const auto &[index, submission] : submissions) {
        submission.hook(OutcomeUnknown);
    }
    for (const auto &[token, hook] : confirmations) {
        hook(Closing);
    }
}

void Replicator::stop()
{
    m_storage.finish();
}

void Replicator::processEffects(core::Lock &lock, Deferred deferred)
{
    carryOut(m_replica.takeEffects(), deferred);
    compactIfLong();
    expireSubmissions(deferred);
    lock.unlock();
    for (const auto &task : deferred) {
        task();
    }
}

void Replicator::carryOut(consensus::Effects effects, Deferred &deferred)
{
    applyCommitted(effects, deferred);
    answerConfirmations(effects, deferred);
    for (const auto &change : effects.roleChanges) {
        core::log(core::LogLevel::Info,
                  "role",
                  {{"role", core::nameOf(consensus::RoleNames, change.role)}, {"term", change.term.value()}});
    }
    bool needsStorage = effects.needsSync();
    for (const auto &outgoing : effects.messages) {
        if (outgoing.afterSync) {
            needsStorage = true;
        } else {
            deferred.push_back([this, message = outgoing.message]() {
                m_hooks.send(message);
            });
        }
    }
    // While the storage has failed, the image that restores it will contain the batch.
    if (needsStorage && m_storageState != StorageState::Failed) {
        m_storage.post([this, batch = std::move(effects)]() {
            store(batch);
        });
    }
}

void Replicator::applyCommitted(const consensus::Effects &effects, Deferred &deferred)
{
    if (effects.restore) {
        const auto restored = m_hooks.restore(effects.restore->payload);
        if (!core::ok(restored)) {
            core::log(core::LogLevel::Error, "snapshot-refused", {{"error", describe(core::error(restored))}});
            m_replica.stop();
            return;
        }
        m_applied = effects.restore->last.index;
        m_snapshotIndex = m_applied;
    }
    for (const auto &entry : effects.committed) {
        std::string answer;
        if (entry.kind == consensus::EntryKind::Change) {
            answer = m_hooks.apply(entry.payload);
        }
        m_applied = entry.id.index;
        answerSubmission(entry, answer, deferred);
    }
    if (effects.restore || !effects.committed.empty()) {
        deferred.push_back(m_hooks.applied);
    }
}

void Replicator::answerSubmission(const consensus::Entry &entry, const std::string &answer, Deferred &deferred)
{
    const auto found = m_submissions.find(entry.id.index);
    if (found == m_submissions.end()) {
        return;
    }
    if (found->second.id != entry.id) {
        refuseReplaced(entry.id.index, deferred);
        return;
    }
    deferred.push_back([hook = std::move(found->second.hook), answer]() {
        hook(answer);
    });
    m_submissions.erase(found);
}

void Replicator::refuseReplaced(consensus::LogIndex index, Deferred &deferred)
{
    if (auto replaced = m_submissions.extract(index)) {
        deferred.push_back([hook = std::move(replaced.mapped().hook)]() {
            hook(ReplacedInLog);
        });
    }
}

void Replicator::answerConfirmations(const consensus::Effects &effects, Deferred &deferred)
{
    for (const auto &confirmed : effects.confirmedReads) {
        if (auto confirmation = m_confirmations.extract(confirmed.token)) {
            deferred.push_back([hook = std::move(confirmation.mapped()), index = confirmed.index]() {
                hook(index);
            });
        }
    }
    for (const auto &failed : effects.failedReads) {
        if (auto confirmation = m_confirmations.extract(failed.token)) {
            deferred.push_back([hook = std::move(confirmation.mapped()), error = failed.error]() {
                hook(error);
            });
        }
    }
}

void Replicator::compactIfLong()
{
    if (m_applied.value() < m_snapshotIndex.value() + EntriesPerSnapshot) {
        return;
    }
    m_snapshotIndex = m_applied;
    const auto compacted = m_replica.compact(m_applied, m_hooks.snapshot());
    if (!core::ok(compacted)) {
        core::log(core::LogLevel::Error, "snapshot-refused", {{"error", describe(core::error(compacted))}});
    }
}

void Replicator::expireSubmissions(Deferred &deferred)
{
    const auto now = m_hooks.now();
    for (auto entry = m_submissions.begin(); entry != m_submissions.end();) {
        if (entry->second.deadline > now) {
            ++entry;
            continue;
        }
        deferred.push_back([hook = std::move(entry->second.hook)]() {
            hook(OutcomeUnknown);
        });
        entry = m_submissions.erase(entry);
    }
}

void Replicator::store(const consensus::Effects &effects)
{
    {
        const core::Lock lock(m_mutex);
        if (m_storageState != StorageState::Working) {
            return;
        }
    }
    const auto written = write(effects);
    core::Lock lock(m_mutex);
    if (!core::ok(written)) {
        recordStorageFailure(lock, core::error(written));
        return;
    }
    lock.unlock();
    for (const auto &outgoing : effects.messages) {
        if (outgoing.afterSync) {
            m_hooks.send(outgoing.message);
        }
    }
    lock.lock();
    m_replica.persisted(effects.batch, m_hooks.now());
    processEffects(lock);
}

void Replicator::recordStorageFailure(core::Lock &lock, const core::Error &failure)
{
    const auto now = m_hooks.now();
    m_storageState = StorageState::Failed;
    m_storageFailedAt = now;
    m_nextRestore = now + StorageRestorePeriod;
    m_replica.storageFailed(now);
    core::log(core::LogLevel::Error, "storage-failed", {{"error", describe(failure)}});
    processEffects(lock);
}

void Replicator::restoreStorageIfDue(core::TimePoint now)
{
    if (m_storageState != StorageState::Failed || m_isRestorePosted || now < m_nextRestore) {
        return;
    }
    m_isRestorePosted = true;
    m_storage.post([this]() {
        restoreStorage();
    });
}

void Replicator::restoreStorage()
{
    core::Lock lock(m_mutex);
    const auto image = m_replica.storageImage();
    m_storageState = StorageState::Restoring;
    lock.unlock();
    const auto written = m_journal.rewrite(
        {rpc::encodeRecord(rpc::RestoredLog{image.hardState, image.snapshot, image.entries, image.initialMembers})});
    m_journalBytes = m_journal.bytes();
    lock.lock();
    const auto now = m_hooks.now();
    m_isRestorePosted = false;
    if (!core::ok(written)) {
        m_storageState = StorageState::Failed;
        m_nextRestore = now + StorageRestorePeriod;
        return;
    }
    m_storageState = StorageState::Working;
    m_replica.storageRestored(image.batch, now);
    core::log(core::LogLevel::Info, "storage-restored", {{"failed_for_s", core::toSeconds(now - m_storageFailedAt)}});
    processEffects(lock);
}

core::Status Replicator::write(const consensus::Effects &effects)
{
    if (!effects.needsSync()) {
        return std::monostate{};
    }
    auto step = m_journal.append(rpc::encodeRecord(effects));
    if (core::ok(step) && effects.snapshot) {
        step = compactJournal();
    }
    m_journalBytes = m_journal.bytes();
    return step;
}

core::Status Replicator::compactJournal()
{
    const auto records = m_journal.records();
    if (!core::ok(records)) {
        return core::error(records);
    }
    const auto log = rpc::decodeRecords(core::value(records));
    if (!core::ok(log)) {
        return core::error(log);
    }
    return m_journal.rewrite({rpc::encodeRecord(core::value(log))});
}

} // namespace pimentoshed::control
