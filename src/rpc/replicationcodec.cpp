#include "rpc/replicationcodec.h"

#include <utility>

namespace pimentoshed::rpc
{

namespace
{

core::Error malformed(const std::string &detail)
{
    return {core::ErrorCode::MessageMalformed, detail};
}

void encodeId(const consensus::EntryId &id, EntryId &message)
{
    message.set_index(id.index.value());
    message.set_term(id.term.value());
}

consensus::EntryId decodeId(const EntryId &message)
{
    return {consensus::LogIndex(message.index()), consensus::Term(message.term())};
}

void encodeEntry(const consensus::Entry &entry, LogEntry &message)
{
    encodeId(entry.id, *message.mutable_id());
    message.set_kind(static_cast<std::uint32_t>(entry.kind));
    message.set_payload(entry.payload);
    if (entry.kind == consensus::EntryKind::Members) {
        encode(entry.members, *message.mutable_members());
    }
}

core::Result<consensus::Entry> decodeEntry(const LogEntry &message)
{
    const auto kind = static_cast<consensus::EntryKind>(message.kind());
    if (core::nameOf(consensus::EntryKindNames, kind).empty()) {
        return malformed("log entry of unknown kind");
    }
    consensus::Entry entry;
    entry.id = decodeId(message.id());
    entry.kind = kind;
    entry.payload = message.payload();
    entry.members = decode(message.members());
    return entry;
}

void encodeSnapshot(const consensus::Snapshot &snapshot, LogSnapshot &message)
{
    encodeId(snapshot.last, *message.mutable_last());
    encode(snapshot.members, *message.mutable_members());
    message.set_payload(snapshot.payload);
}

consensus::Snapshot decodeSnapshot(const LogSnapshot &message)
{
    return {decodeId(message.last()), decode(message.members()), message.payload()};
}

void encodeHardState(const consensus::HardState &state, HardState &message)
{
    message.set_term(state.term.value());
    if (state.votedFor) {
        encode(*state.votedFor, *message.mutable_voted_for());
    }
}

consensus::HardState decodeHardState(const HardState &message)
{
    consensus::HardState state;
    state.term = consensus::Term(message.term());
    if (message.has_voted_for()) {
        state.votedFor = decode(message.voted_for());
    }
    return state;
}

/** Writes a message body into an envelope; one overload for each type of body. */
struct BodyEncoder {
    Envelope &envelope;

    void operator()(const consensus::PreVoteRequest &body) const
    {
        auto *message = envelope.mutable_pre_vote_request();
        message->set_term(body.term.value());
        encodeId(body.last, *message->mutable_last());
    }
    void operator()(const consensus::PreVoteReply &body) const
    {
        auto *message = envelope.mutable_pre_vote_reply();
        message->set_term(body.term.value());
        message->set_asked(body.requestedTerm.value());
        message->set_granted(body.granted);
    }
    void operator()(const consensus::VoteRequest &body) const
    {
        auto *message = envelope.mutable_vote_request();
        message->set_term(body.term.value());
        encodeId(body.last, *message->mutable_last());
        message->set_handover(body.isHandover);
    }
    void operator()(const consensus::VoteReply &body) const
    {
        auto *message = envelope.mutable_vote_reply();
        message->set_term(body.term.value());
        message->set_granted(body.granted);
    }
    void operator()(const consensus::AppendRequest &body) const
    {
        auto *message = envelope.mutable_append_request();
        message->set_term(body.term.value());
        encodeId(body.previous, *message->mutable_previous());
        for (const auto &entry : body.entries) {
            encodeEntry(entry, *message->add_entries());
        }
        message->set_commit(body.commit.value());
        message->set_round(body.round.value());
    }
    void operator()(const consensus::AppendReply &body) const
    {
        auto *message = envelope.mutable_append_reply();
        message->set_term(body.term.value());
        message->set_round(body.round.value());
        message->set_match(body.match.value());
        if (body.conflict) {
            auto *conflict = message->mutable_conflict();
            conflict->set_previous(body.conflict->previous.value());
            conflict->set_first(body.conflict->first.value());
            if (body.conflict->term) {
                conflict->set_term(body.conflict->term->value());
            }
        }
    }
    void operator()(const consensus::InstallSnapshotRequest &body) const
    {
        auto *message = envelope.mutable_install_snapshot_request();
        message->set_term(body.term.value());
        encodeSnapshot(body.snapshot, *message->mutable_snapshot());
        message->set_round(body.round.value());
    }
    void operator()(const consensus::InstallSnapshotReply &body) const
    {
        auto *message = envelope.mutable_install_snapshot_reply();
        message->set_term(body.term.value());
        message->set_round(body.round.value());
        message->set_match(body.match.value());
    }
    void operator()(const consensus::HandoverRequest &body) const
    {
        envelope.mutable_handover_request()->set_term(body.term.value());
    }
};

core::Result<consensus::MessageBody> decodeAppend(const AppendRequest &message)
{
    consensus::AppendRequest body;
    body.term = consensus::Term(message.term());
    body.previous = decodeId(message.previous());
    body.commit = consensus::LogIndex(message.commit());
    body.round = consensus::Round(message.round());
    for (const auto &encoded : message.entries()) {
        auto entry = decodeEntry(encoded);
        if (!core::ok(entry)) {
            return core::error(entry);
        }
        body.entries.push_back(std::move(core::value(entry)));
    }
    return consensus::MessageBody(std::move(body));
}

consensus::MessageBody decodeAppendReply(const AppendReply &message)
{
    consensus::AppendReply body;
    body.term = consensus::Term(message.term());
    body.round = consensus::Round(message.round());
    body.match = consensus::LogIndex(message.match());
    if (message.has_conflict()) {
        const auto &conflict = message.conflict();
        body.conflict = consensus::Conflict{
            consensus::LogIndex(conflict.previous()), std::nullopt, consensus::LogIndex(conflict.first())};
        if (conflict.has_term()) {
            body.conflict->term = consensus::Term(conflict.term());
        }
    }
    return body;
}

core::Result<consensus::MessageBody> decodeBody(const Envelope &envelope)
{
    using consensus::MessageBody;
    using consensus::Term;
    switch (envelope.body_case()) {
    case Envelope::kPreVoteRequest: {
        const auto &message = envelope.pre_vote_request();
        return MessageBody(consensus::PreVoteRequest{Term(message.term()), decodeId(message.last())});
    }
    case Envelope::kPreVoteReply: {
        const auto &message = envelope.pre_vote_reply();
        return MessageBody(consensus::PreVoteReply{Term(message.term()), Term(message.asked()), message.granted()});
    }
    case Envelope::kVoteRequest: {
        const auto &message = envelope.vote_request();
        return MessageBody(consensus::VoteRequest{Term(message.term()), decodeId(message.last()), message.handover()});
    }
    case Envelope::kVoteReply:
        return MessageBody(consensus::VoteReply{Term(envelope.vote_reply().term()), envelope.vote_reply().granted()});
    case Envelope::kAppendRequest:
        return decodeAppend(envelope.append_request());
    case Envelope::kAppendReply:
        return decodeAppendReply(envelope.append_reply());
    case Envelope::kInstallSnapshotRequest: {
        const auto &message = envelope.install_snapshot_request();
        return MessageBody(consensus::InstallSnapshotRequest{
            Term(message.term()), decodeSnapshot(message.snapshot()), consensus::Round(message.round())});
    }
    case Envelope::kInstallSnapshotReply: {
        const auto &message = envelope.install_snapshot_reply();
        return MessageBody(consensus::InstallSnapshotReply{
            Term(message.term()), consensus::Round(message.round()), consensus::LogIndex(message.match())});
    }
    case Envelope::kHandoverRequest:
        return MessageBody(consensus::HandoverRequest{Term(envelope.handover_request().term())});
    case Envelope::BODY_NOT_SET:
        break;
    }
    return malformed("envelope has no body");
}

/** Applies one record to @p log. Error: JournalDamaged. */
core::Status applyRecord(const JournalRecord &record, RestoredLog &log)
{
    if (record.has_initial_members()) {
        log.initialMembers = decode(record.initial_members());
    }
    if (record.has_hard_state()) {
        log.hardState = decodeHardState(record.hard_state());
    }
    if (record.has_snapshot()) {
        log.snapshot = decodeSnapshot(record.snapshot());
        std::erase_if(log.entries, [&log](const consensus::Entry &entry) {
            return entry.id.index <= log.snapshot->last.index;
        });
    }
    if (record.has_truncate_from()) {
        const consensus::LogIndex from(record.truncate_from());
        std::erase_if(log.entries, [from](const consensus::Entry &entry) {
            return entry.id.index >= from;
        });
    }
    for (const auto &encoded : record.entries()) {
        auto entry = decodeEntry(encoded);
        if (!core::ok(entry)) {
            return core::Error{core::ErrorCode::JournalDamaged, core::error(entry).detail};
        }
        log.entries.push_back(std::move(core::value(entry)));
    }
    return std::monostate{};
}

} // namespace

void encode(const consensus::MemberId &member, MemberId &message)
{
    message.set_host(member.host.str());
    message.set_disk(member.disk.str());
}

consensus::MemberId decode(const MemberId &message)
{
    return {core::HostId(message.host()), consensus::DiskId(message.disk())};
}

void encode(const consensus::Members &members, Members &message)
{
    for (const auto &voter : members.voters) {
        encode(voter, *message.add_voters());
    }
    if (members.joining) {
        encode(*members.joining, *message.mutable_joining());
    }
    if (members.leaving) {
        encode(*members.leaving, *message.mutable_leaving());
    }
}

consensus::Members decode(const Members &message)
{
    consensus::Members members;
    for (const auto &voter : message.voters()) {
        members.voters.push_back(decode(voter));
    }
    if (message.has_joining()) {
        members.joining = decode(message.joining());
    }
    if (message.has_leaving()) {
        members.leaving = decode(message.leaving());
    }
    return members;
}

void encode(const consensus::Message &message, Envelope &envelope)
{
    encode(message.from, *envelope.mutable_from());
    encode(message.to, *envelope.mutable_to());
    std::visit(BodyEncoder{envelope}, message.body);
}

core::Result<consensus::Message> decode(const Envelope &envelope)
{
    auto body = decodeBody(envelope);
    if (!core::ok(body)) {
        return core::error(body);
    }
    return consensus::Message{decode(envelope.from()), decode(envelope.to()), std::move(core::value(body))};
}

std::string encodeRecord(const consensus::Effects &effects)
{
    JournalRecord record;
    if (effects.hardState) {
        encodeHardState(*effects.hardState, *record.mutable_hard_state());
    }
    if (effects.snapshot) {
        encodeSnapshot(*effects.snapshot, *record.mutable_snapshot());
    }
    if (effects.truncateFrom) {
        record.set_truncate_from(effects.truncateFrom->value());
    }
    for (const auto &entry : effects.entries) {
        encodeEntry(entry, *record.add_entries());
    }
    return record.SerializeAsString();
}

core::Result<RestoredLog> decodeRecords(const std::vector<std::string> &records)
{
    RestoredLog log;
    for (const auto &bytes : records) {
        JournalRecord record;
        if (!record.ParseFromString(bytes)) {
            return core::Error{core::ErrorCode::JournalDamaged, "journal record does not parse"};
        }
        const auto status = applyRecord(record, log);
        if (!core::ok(status)) {
            return core::error(status);
        }
    }
    return log;
}

std::string encodeRecord(const RestoredLog &log)
{
    JournalRecord record;
    if (log.initialMembers) {
        encode(*log.initialMembers, *record.mutable_initial_members());
    }
    encodeHardState(log.hardState, *record.mutable_hard_state());
    if (log.snapshot) {
        encodeSnapshot(*log.snapshot, *record.mutable_snapshot());
    }
    for (const auto &entry : log.entries) {
        encodeEntry(entry, *record.add_entries());
    }
    return record.SerializeAsString();
}

} // namespace pimentoshed::rpc
