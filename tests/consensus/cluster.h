/**
 * @file
 * A simulated cluster: replicas that exchange messages in memory, injected faults, and checks of the history.
 */
#pragma once

#include "consensus/replica.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pimentoshed::consensus::testing
{

using std::chrono::milliseconds;

constexpr core::Duration Step = milliseconds(10);

/** Faults of the network and delays of the disks. Chances are in percent, delays in steps of the simulated clock. */
struct NetworkFaults {
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned maxMessageDelay = 1;
    unsigned maxSyncDelay = 1;
    /** How long a sync takes before the random delay. Unless 0, each begins only when the one before it has ended. */
    unsigned minSyncDelay = 0;
};

/** The durable content of a data folder. */
struct Disk {
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;

    void write(const Effects &effects)
    {
        hardState = effects.hardState.value_or(hardState);
        if (effects.truncateFrom) {
            std::erase_if(entries, [&](const Entry &entry) {
                return entry.id.index >= *effects.truncateFrom;
            });
        }
        snapshot = effects.snapshot ? effects.snapshot : snapshot;
        entries.insert(entries.end(), effects.entries.begin(), effects.entries.end());
        std::erase_if(entries, [&](const Entry &entry) {
            return snapshot && entry.id.index <= snapshot->last.index;
        });
    }

    void write(const StorageImage &image)
    {
        hardState = image.hardState;
        snapshot = image.snapshot;
        entries = image.entries;
    }
};

/** A proposal or a read request that is not yet answered. */
struct Request {
    core::TimePoint begun;
    /** The newest index that was acknowledged to any client before this request began. */
    LogIndex acknowledgedBefore;
    std::string payload;
};

/** A simulated host with its replica, its disk and its clients' pending requests. */
struct Host {
    MemberId id;
    Disk disk;
    std::optional<Replica> replica;
    std::deque<std::pair<core::TimePoint, Effects>> pendingSyncs;
    std::vector<Message> inbox;
    bool frozen = false;
    bool isolated = false;
    /** Whether writes and syncs fail. */
    bool diskFails = false;
    /** The image that is being written to restore the storage, and when that ends. */
    std::optional<StorageImage> image;
    core::TimePoint imageWritten;
    /** The factor by which syncs of this host take longer. */
    unsigned syncDelayFactor = 1;
    core::TimePoint isolatedSince;
    std::string state;
    LogIndex applied;
    std::map<EntryId, Request> proposals;
    std::map<ReadToken, Request> reads;
    std::map<ReadToken, LogIndex> confirmed;
};

/**
 * Hosts with one simulated clock and one random seed. Violations of the guarantees of the replicated log are collected
 * in @c violations.
 */
class Cluster
{
public:
    Cluster(std::size_t size, std::uint64_t seed, Timing timing)
        : m_random(core::seededRandom(seed))
        , m_timing(timing)
    {
        for (std::size_t i = 0; i < size; ++i) {
            Host host;
            host.id = {core::HostId(std::string(1, static_cast<char>('a' + i))), DiskId("1")};
            initial.voters.push_back(host.id);
            hosts.push_back(std::move(host));
        }
        for (auto &host : hosts) {
            start(host);
        }
    }

    std::size_t below(std::size_t bound)
    {
        return core::randomBelow(m_random, bound);
    }

    void start(Host &host)
    {
        Replica::Builder builder;
        builder.self(host.id).hardState(host.disk.hardState).entries(host.disk.entries).timing(m_timing);
        builder.limits({4, 1024, 16}).random(core::seededRandom(m_random()));
        if (host.id.disk == DiskId("1")) {
            builder.initialMembers(initial);
        }
        host.state.clear();
        host.applied = LogIndex();
        if (host.disk.snapshot) {
            builder.snapshot(*host.disk.snapshot);
            host.state = host.disk.snapshot->payload;
            host.applied = host.disk.snapshot->last.index;
        }
        auto built = builder.build(now);
        if (core::ok(built)) {
            host.replica.emplace(std::move(core::value(built)));
        } else {
            violations.push_back(core::describe(core::error(built)));
        }
    }

    /** Like kill -9: part of a batch that was being synced may be on disk without having been reported as durable. */
    void kill(Host &host)
    {
        writePartially(host);
        host.replica.reset();
        host.pendingSyncs.clear();
        host.image.reset();
        host.inbox.clear();
        host.proposals.clear();
        host.reads.clear();
    }

    void loseDisk(Host &host)
    {
        kill(host);
        host.disk = Disk();
        host.id.disk = DiskId(std::to_string(++m_diskCount));
    }

    void isolate(Host &host, bool isolated)
    {
        host.isolated = isolated;
        host.isolatedSince = now;
    }

    void run(core::Duration duration)
    {
        for (const auto end = now + duration; now < end;) {
            step();
        }
    }

    void step()
    {
        now += Step;
        while (!m_messages.empty() && m_messages.begin()->first <= now) {
            deliver(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
        }
        for (auto &host : hosts) {
            if (host.replica && !host.frozen) {
                finishSyncs(host);
                for (const auto &message : std::exchange(host.inbox, {})) {
                    host.replica->receive(message, now);
                    flush(host);
                }
                host.replica->tick(now);
                flush(host);
            }
        }
    }

    /** Returns the leader of the newest term, if there is a leader. */
    Host *leader()
    {
        Host *found = nullptr;
        Term term;
        for (auto &host : hosts) {
            if (host.replica && !host.frozen && host.replica->status().role == Role::Leader
                && host.replica->status().term > term) {
                found = &host;
                term = host.replica->status().term;
            }
        }
        return found;
    }

    bool propose(Host &host)
    {
        const auto payload = std::to_string(++m_requestCount);
        const auto result = host.replica->propose(payload, now);
        if (core::ok(result)) {
            host.proposals[core::value(result)] = {now, LogIndex(), payload};
        }
        flush(host);
        return core::ok(result);
    }

    bool read(Host &host)
    {
        const ReadToken token(++m_requestCount);
        host.reads[token] = {now, m_acknowledgedIndex, {}};
        const bool accepted = core::ok(host.replica->requestReadIndex(token, now));
        if (!accepted) {
            host.reads.erase(token);
        }
        flush(host);
        return accepted;
    }

    void flush(Host &host)
    {
        auto effects = host.replica->takeEffects();
        check(host, effects);
        apply(host, effects);
        const bool sync = effects.needsSync();
        std::vector<OutgoingMessage> later;
        for (auto &outgoing : effects.messages) {
            if (outgoing.afterSync && (sync || !host.pendingSyncs.empty())) {
                later.push_back(std::move(outgoing));
            } else {
                send(outgoing.message);
            }
        }
        effects.messages = std::move(later);
        const bool isStored = !host.replica->status().isStorageFailed || host.image;
        if (isStored && (sync || !effects.messages.empty())) {
            const bool queues = faults.minSyncDelay > 0 && !host.pendingSyncs.empty();
            const auto begin = queues ? std::max(now, host.pendingSyncs.back().first) : now;
            const auto delay = below(faults.maxSyncDelay * host.syncDelayFactor + 1) + (sync ? faults.minSyncDelay : 0);
            host.pendingSyncs.emplace_back(begin + Step * delay, std::move(effects));
        }
    }

    std::size_t elections() const
    {
        return m_leaders.size();
    }

    /**
     * Checks that every host runs and that all have applied the same state, which holds each acknowledged change
     * exactly once.
     */
    void checkConverged()
    {
        for (const auto &host : hosts) {
            if (!host.replica || host.state != hosts.front().state) {
                violations.push_back("state differs or host is down: " + host.id.host.str());
            }
            for (const auto &payload : acknowledged) {
                const auto at = host.state.find(" " + payload + ";");
                if (at == std::string::npos || host.state.find(" " + payload + ";", at + 1) != std::string::npos) {
                    violations.push_back("acknowledged change not applied exactly once at " + host.id.host.str() + ": "
                                         + payload);
                }
            }
        }
    }

    std::vector<Host> hosts;
    Members initial;
    NetworkFaults faults;
    core::TimePoint now;
    std::set<std::string> acknowledged;
    std::vector<std::string> violations;
    std::size_t confirmedReads = 0;
    std::size_t sentMessages = 0;
    /** The members of the newest committed Members entry. */
    Members members;

private:
    /** Part of the batch that is being synced may be on disk without having been reported as durable. */
    void writePartially(Host &host)
    {
        if (!host.pendingSyncs.empty() && !host.image && below(2) == 0) {
            auto partial = host.pendingSyncs.front().second;
            partial.entries.resize(below(partial.entries.size() + 1));
            host.disk.write(partial);
        }
    }

    void failSyncs(Host &host)
    {
        if (!host.pendingSyncs.empty() && host.pendingSyncs.front().first <= now) {
            writePartially(host);
            host.pendingSyncs.clear();
            host.replica->storageFailed(now);
            flush(host);
        }
    }

    /** Starts to write the image of a host whose storage has failed, or finishes that. */
    void restoreStorage(Host &host)
    {
        if (!host.image) {
            if (below(10) == 0) {
                host.image = host.replica->storageImage();
                host.imageWritten = now + Step * below(faults.maxSyncDelay * host.syncDelayFactor + 1);
            }
            return;
        }
        if (now < host.imageWritten) {
            return;
        }
        const auto image = *std::exchange(host.image, std::nullopt);
        if (host.diskFails) {
            host.pendingSyncs.clear();
            return;
        }
        host.disk.write(image);
        host.replica->storageRestored(image.batch, now);
        flush(host);
    }

    void finishSyncs(Host &host)
    {
        if (host.replica->status().isStorageFailed) {
            restoreStorage(host);
        } else if (host.diskFails) {
            failSyncs(host);
        }
        while (!host.diskFails && !host.replica->status().isStorageFailed && !host.pendingSyncs.empty()
               && host.pendingSyncs.front().first <= now) {
            const auto effects = std::move(host.pendingSyncs.front().second);
            host.pendingSyncs.pop_front();
            host.disk.write(effects);
            for (const auto &outgoing : effects.messages) {
                send(outgoing.message);
            }
            host.replica->persisted(effects.batch, now);
            flush(host);
        }
    }

    void send(const Message &message)
    {
        ++sentMessages;
        for (unsigned copies = below(100) < faults.duplicatePercent ? 2 : 1; copies > 0; --copies) {
            if (below(100) >= faults.lossPercent) {
                m_messages.emplace(now + Step * below(faults.maxMessageDelay + 1), message);
            }
        }
    }

    void deliver(const Message &message)
    {
        Host *from = find(message.from.host);
        Host *to = find(message.to.host);
        if (from != nullptr && to != nullptr && !from->isolated && !to->isolated && to->replica) {
            to->inbox.push_back(message);
        }
    }

    Host *find(const core::HostId &id)
    {
        for (auto &host : hosts) {
            if (host.id.host == id) {
                return &host;
            }
        }
        return nullptr;
    }

    void apply(Host &host, const Effects &effects)
    {
        if (effects.restore) {
            host.state = effects.restore->payload;
            host.applied = effects.restore->last.index;
        }
        for (const auto &entry : effects.committed) {
            const auto committed = m_committed.try_emplace(entry.id.index, entry).first;
            if (!(committed->second == entry) || entry.id.index != host.applied.next()) {
                violations.push_back("different or non-consecutive entry committed at index "
                                     + std::to_string(entry.id.index.value()));
            }
            host.applied = entry.id.index;
            host.state += entry.kind == EntryKind::Change ? " " + entry.payload + ";" : "";
            if (entry.kind == EntryKind::Members && entry.id.index > m_membersIndex) {
                m_membersIndex = entry.id.index;
                members = entry.members;
            }
            acknowledge(host, entry);
        }
    }

    void acknowledge(Host &host, const Entry &entry)
    {
        if (const auto found = host.proposals.find(entry.id); found != host.proposals.end()) {
            checkNotIsolated(host, found->second);
            acknowledged.insert(found->second.payload);
            m_acknowledgedIndex = std::max(m_acknowledgedIndex, entry.id.index);
            host.proposals.erase(found);
        }
    }

    void check(Host &host, const Effects &effects)
    {
        for (const auto &change : effects.roleChanges) {
            const bool leads = change.role == Role::Leader;
            if (leads && m_leaders.try_emplace(change.term, host.id).first->second != host.id) {
                violations.push_back("two leaders in term " + std::to_string(change.term.value()));
            }
        }
        for (const auto &read : effects.confirmedReads) {
            const auto &request = host.reads.at(read.token);
            if (read.index < request.acknowledgedBefore) {
                violations.push_back("stale read confirmed at " + host.id.host.str());
            }
            checkNotIsolated(host, request);
            host.reads.erase(read.token);
            ++confirmedReads;
        }
        for (const auto &read : effects.failedReads) {
            host.reads.erase(read.token);
        }
    }

    void checkNotIsolated(const Host &host, const Request &request)
    {
        if (host.isolated && request.begun >= host.isolatedSince) {
            violations.push_back("request begun and answered while isolated: " + host.id.host.str());
        }
    }

    core::RandomSource m_random;
    Timing m_timing;
    std::multimap<core::TimePoint, Message> m_messages;
    std::map<LogIndex, Entry> m_committed;
    std::map<Term, MemberId> m_leaders;
    LogIndex m_acknowledgedIndex;
    LogIndex m_membersIndex;
    std::uint64_t m_requestCount = 0;
    unsigned m_diskCount = 1;
};

} // namespace pimentoshed::consensus::testing
