#include "rpc/statecodec.h"

#include "core/log.h"
#include "replication.pb.h"
#include "rpc/codec.h"
#include "rpc/commandcodec.h"
#include "rpc/compression.h"

#include <utility>

namespace pimentoshed::rpc
{

namespace
{

core::Error damaged(const std::string &detail)
{
    return {core::ErrorCode::SnapshotDamaged, detail};
}

void encode(const changes::LedgerState &ledger, StateSnapshot &message)
{
    message.set_revision(ledger.revision);
    message.set_version(ledger.version);
    message.set_packed_text(compress(ledger.text));
    for (const auto &[name, state] : ledger.domains) {
        auto *domain = message.add_domains();
        domain->set_name(name.str());
        domain->set_out(state.out);
        domain->set_changes(state.changeCount);
        const auto lastMove = ledger.lastMoves.find(name);
        if (lastMove != ledger.lastMoves.end()) {
            domain->set_mover(lastMove->second.str());
        }
    }
    for (const auto &replacement : ledger.replacements) {
        auto *encoded = message.add_winners();
        encoded->set_replaced(replacement.replaced);
        encoded->set_change_id(replacement.id.str());
    }
    for (const auto &answered : ledger.answers) {
        auto *encoded = message.add_answers();
        encoded->set_id(answered.id.str());
        encoded->set_digest_low(answered.digest.low);
        encoded->set_digest_high(answered.digest.high);
        encoded->mutable_answer()->ParseFromString(encodeAnswer(answered.answer));
    }
    for (const auto &rollout : ledger.rollouts) {
        encode(rollout, *message.add_rollouts());
    }
}

core::Result<changes::LedgerState> decodeLedger(const StateSnapshot &message)
{
    auto text = decompress(message.packed_text());
    if (!core::ok(text)) {
        return damaged(core::error(text).detail);
    }
    changes::LedgerState ledger;
    ledger.revision = message.revision();
    ledger.version = message.version();
    ledger.text = std::move(core::value(text));
    for (const auto &domain : message.domains()) {
        const core::FailureDomain name(domain.name());
        ledger.domains[name] = {domain.out(), domain.changes()};
        if (!domain.mover().empty()) {
            ledger.lastMoves[name] = core::ChangeId(domain.mover());
        }
    }
    for (const auto &replacement : message.winners()) {
        ledger.replacements.push_back({replacement.replaced(), core::ChangeId(replacement.change_id())});
    }
    for (const auto &answered : message.answers()) {
        ledger.answers.push_back({core::ChangeId(answered.id()),
                                  {answered.digest_high(), answered.digest_low()},
                                  decodeAnswer(answered.answer().SerializeAsString())});
    }
    for (const auto &encoded : message.rollouts()) {
        const auto rollout = decode(encoded);
        if (!core::ok(rollout)) {
            return damaged(core::error(rollout).detail);
        }
        ledger.rollouts.push_back(core::value(rollout));
    }
    return ledger;
}

} // namespace

std::string encodeState(const SnapshotContent &content)
{
    StateSnapshot message;
    encode(content.ledger, message);
    for (const auto &target : content.withdrawals) {
        encode(target, *message.add_withdrawals());
    }
    return message.SerializeAsString();
}

core::Result<SnapshotContent> decodeState(const std::string &bytes)
{
    StateSnapshot message;
    if (!message.ParseFromString(bytes)) {
        return damaged("snapshot payload does not parse");
    }
    auto ledger = decodeLedger(message);
    if (!core::ok(ledger)) {
        return core::error(ledger);
    }
    SnapshotContent content;
    content.ledger = std::move(core::value(ledger));
    for (const auto &encoded : message.withdrawals()) {
        const auto target = decode(encoded);
        if (!core::ok(target) && core::error(target).code == core::ErrorCode::AnnouncementMalformed) {
            // An earlier program accepted it. No target with such names can announce itself any more.
            core::log(core::LogLevel::Warning, "withdrawal-unreadable", {{"error", describe(core::error(target))}});
            continue;
        }
        if (!core::ok(target)) {
            return damaged(core::error(target).detail);
        }
        content.withdrawals.push_back(core::value(target));
    }
    return content;
}

} // namespace pimentoshed::rpc
