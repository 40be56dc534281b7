#include "rpc/statecodec.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;

namespace
{

rpc::SnapshotContent content()
{
    changes::Ledger ledger;
    ledger.apply(changes::ApplyFile{core::ChangeId("a"), "replaces = 0\nfailure_domains = [\"ravne\"]\n"});
    ledger.apply(changes::SetDomainAvailability{core::ChangeId("b"), core::FailureDomain("ravne"), true, 0});
    ledger.apply(changes::ApplyFile{core::ChangeId("c"), "replaces = 0\n"});
    targets::Target target;
    target.id = core::TargetId("t");
    target.version = {7, 9, 0, true};
    target.condition = targets::Condition::Leaving;
    target.softwareVersion = "v1";
    auto state = ledger.snapshot();
    rollouts::Rollout rollout;
    rollout.order = {core::ServiceName("s"), "v2", std::chrono::seconds(16)};
    rollout.number = 3;
    rollout.state = rollouts::State::RolledBack;
    rollout.step = 2;
    rollout.reason = rollouts::Reason::Durations;
    rollout.elapsed = std::chrono::milliseconds(7250);
    rollout.revision = 9;
    rollout.version = 4;
    state.rollouts.push_back(rollout);
    return {std::move(state), {target}};
}

} // namespace

TEST_CASE("decodeState restores the state that was encoded")
{
    const auto before = content();
    const auto after = rpc::decodeState(rpc::encodeState(before));
    REQUIRE(core::ok(after));
    CHECK(core::value(after).ledger == before.ledger);
    CHECK(core::value(after).withdrawals == before.withdrawals);
    CHECK(core::ok(changes::Ledger::restore(core::value(after).ledger)));
}

TEST_CASE("decodeState refuses truncated bytes")
{
    const auto bytes = rpc::encodeState(content());
    CHECK_FALSE(core::ok(rpc::decodeState(bytes.substr(0, bytes.size() - 1))));
}

// Guards against a control host that can't start, because an earlier program kept a text that it cut inside a
// character.
TEST_CASE("a snapshot with text that is not UTF-8 restores everything else")
{
    auto before = content();
    const core::Error cut{core::ErrorCode::UnknownDomain, "caf\xc3"};
    before.ledger.answers.push_back({core::ChangeId("d"), {}, cut});
    auto unreadable = before.withdrawals.front();
    unreadable.id = core::TargetId("i-\xff\xfe\x80");
    const auto readable = before.withdrawals;
    before.withdrawals.insert(before.withdrawals.begin(), unreadable);
    const auto after = rpc::decodeState(rpc::encodeState(before));
    REQUIRE(core::ok(after));
    CHECK(core::value(after).ledger == before.ledger);
    CHECK(core::value(after).withdrawals == readable);
    CHECK(core::ok(changes::Ledger::restore(core::value(after).ledger)));
}
