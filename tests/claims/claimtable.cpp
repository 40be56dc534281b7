#include "claims/claimtable.h"

#include "support/property.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <fmt/format.h>
#include <malloc.h>
#include <map>
#include <set>

using namespace pimentoshed;
using namespace std::chrono_literals;
using claims::Attempt;
using claims::ClaimResult;
using claims::ClaimTable;
using claims::RunState;

namespace
{

const core::ServiceName Loans{"loans"};
const core::ServiceName Paymaster{"paymaster"};
constexpr claims::LogTime Retention = 100s;

claims::Policy policy(std::uint64_t share)
{
    const core::InstitutionName library{"library"};
    const core::InstitutionName fund{"fund"};
    return {Retention, {{Loans, library}, {Paymaster, fund}}, {{library, share}, {fund, share}}};
}

ClaimTable makeTable(std::uint64_t share)
{
    ClaimTable table;
    table.configure(policy(share));
    return table;
}

claims::RequestIdentity request(const std::string &key)
{
    return {Loans, core::RequestKey(key)};
}

Attempt attempt(std::uint64_t id)
{
    return {core::HostId("e1"), 1, id};
}

} // namespace

TEST_CASE("ClaimTable grants a key to one attempt only, and again to that attempt if it resends its claim")
{
    auto table = makeTable(10);
    CHECK(table.apply(claims::Claim{request("k"), attempt(1), 0s}).result == ClaimResult::Granted);
    CHECK(table.apply(claims::Claim{request("k"), attempt(1), 1s}).result == ClaimResult::AlreadyMine);
    CHECK(table.apply(claims::Claim{request("k"), attempt(2), 1s})
          == claims::ClaimResponse{ClaimResult::Used, RunState::Running});
    CHECK(table.apply(claims::Finish{request("k"), attempt(1), RunState::Ran, 2s}));
    CHECK(table.apply(claims::Claim{request("k"), attempt(2), 2s})
          == claims::ClaimResponse{ClaimResult::Used, RunState::Ran});
    CHECK(table.apply(claims::Claim{request("k"), attempt(1), 2s})
          == claims::ClaimResponse{ClaimResult::Used, RunState::Ran});
}

TEST_CASE("ClaimTable distinguishes attempts with the same id before and after a restart of the entry host")
{
    auto table = makeTable(10);
    table.apply(claims::Claim{request("k"), {core::HostId("e1"), 1, 1}, 0s});
    CHECK(table.apply(claims::Claim{request("k"), {core::HostId("e1"), 2, 1}, 0s}).result == ClaimResult::Used);
}

TEST_CASE("ClaimTable grants a released key to another attempt, but not to a late duplicate of the first claim")
{
    auto table = makeTable(1);
    table.apply(claims::Claim{request("k"), attempt(1), 0s});
    CHECK(!table.apply(claims::Release{request("k"), attempt(2), 0s}));
    CHECK(table.apply(claims::Release{request("k"), attempt(1), 0s}));
    CHECK(table.apply(claims::Claim{request("k"), attempt(1), 1s})
          == claims::ClaimResponse{ClaimResult::Used, RunState::Released});
    CHECK(table.apply(claims::Claim{request("k"), attempt(2), 1s}).result == ClaimResult::Granted);
    CHECK(!table.apply(claims::Release{request("k"), attempt(1), 1s}));
    CHECK(table.apply(claims::Claim{request("k"), attempt(3), 1s}).result == ClaimResult::Used);
}

TEST_CASE("ClaimTable does not release a claim whose attempt has ended, and keeps the state Ran")
{
    auto table = makeTable(10);
    table.apply(claims::Claim{request("k"), attempt(1), 0s});
    CHECK(table.apply(claims::Finish{request("k"), attempt(1), RunState::Unknown, 0s}));
    CHECK(!table.apply(claims::Release{request("k"), attempt(1), 0s}));
    CHECK(table.apply(claims::Finish{request("k"), attempt(1), RunState::Ran, 0s}));
    CHECK(table.apply(claims::Finish{request("k"), attempt(1), RunState::Unknown, 0s}));
    CHECK(table.apply(claims::Claim{request("k"), attempt(2), 0s}).state == RunState::Ran);
}

TEST_CASE(
    "ClaimTable refuses claims beyond an institution's share, drops none early and grants other institutions theirs")
{
    auto table = makeTable(2);
    table.apply(claims::Claim{request("a"), attempt(1), 0s});
    table.apply(claims::Claim{request("b"), attempt(2), 1s});
    CHECK(table.apply(claims::Claim{request("c"), attempt(3), 99s}).result == ClaimResult::Full);
    CHECK(table.apply(claims::Claim{request("a"), attempt(4), 99s}).result == ClaimResult::Used);
    CHECK(table.apply(claims::Claim{{Paymaster, core::RequestKey("a")}, attempt(5), 99s}).result
          == ClaimResult::Granted);
    CHECK(table.apply(claims::Claim{request("c"), attempt(3), 100s}).result == ClaimResult::Granted);
    CHECK(table.apply(claims::Claim{request("b"), attempt(6), 50s}).result == ClaimResult::Used);
}

TEST_CASE("ClaimTable does not set its time back after a command with an earlier time")
{
    auto table = makeTable(10);
    table.apply(claims::Claim{request("a"), attempt(1), 50s});
    table.apply(claims::Claim{request("b"), attempt(2), 10s});
    const auto state = table.snapshot();
    CHECK(state.now == 50s);
    CHECK(state.held.back().since == 50s);
}

TEST_CASE("released claims do not count in the share and are bounded in number")
{
    auto table = makeTable(1);
    for (std::uint64_t i = 0; i < 2 * claims::MaxReleasedClaims; ++i) {
        const auto name = request(fmt::format("k{}", i));
        REQUIRE(table.apply(claims::Claim{name, attempt(i), 0s}).result == ClaimResult::Granted);
        REQUIRE(table.apply(claims::Release{name, attempt(i), 0s}));
    }
    CHECK(table.size() == claims::MaxReleasedClaims);
}

TEST_CASE("ClaimTable keeps existing claims when the share becomes smaller")
{
    auto table = makeTable(2);
    table.apply(claims::Claim{request("a"), attempt(1), 0s});
    table.apply(claims::Claim{request("b"), attempt(2), 0s});
    table.configure(policy(1));
    CHECK(table.apply(claims::Claim{request("b"), attempt(3), 0s}).result == ClaimResult::Used);
}

TEST_CASE("ClaimTable refuses claims for unknown services and malformed keys")
{
    auto table = makeTable(2);
    CHECK(table.apply(claims::Claim{{core::ServiceName("x"), core::RequestKey("k")}, attempt(1), 0s}).result
          == ClaimResult::UnknownService);
    CHECK(table.apply(claims::Claim{request(""), attempt(1), 0s}).result == ClaimResult::Malformed);
    CHECK(table.apply(claims::Claim{request(std::string(129, 'k')), attempt(1), 0s}).result == ClaimResult::Malformed);
    CHECK(table.size() == 0);
}

TEST_CASE("the capacity for claims is divided between institutions by weight")
{
    configuration::Configuration file;
    file.institutions = {{core::InstitutionName("a"), 1}, {core::InstitutionName("b"), 3}};
    file.limits.requestKeyCapacity = 100;
    const auto shares = claims::makePolicy(file).shares;
    CHECK(shares.at(core::InstitutionName("a")) == 25);
    CHECK(shares.at(core::InstitutionName("b")) == 75);
}

namespace
{

/** Reference model: the attempt that holds each key. */
struct Model {
    struct Grant {
        std::uint64_t attempt;
        claims::LogTime at;
    };
    std::map<std::string, Grant> grants;

    void granted(const std::string &key, std::uint64_t id, claims::LogTime now)
    {
        const auto held = grants.find(key);
        support::require(held == grants.end() || now - held->second.at >= Retention);
        grants.insert_or_assign(key, Grant{id, now});
    }
};

/** Applies a random command, which may be new, a duplicate or late, to the table and the model. */
void step(ClaimTable &table, Model &model, claims::LogTime &now)
{
    const auto key = fmt::format("k{}", *rc::gen::inRange(0, 3));
    const auto id = *rc::gen::inRange<std::uint64_t>(0, 6);
    const auto at = now + std::chrono::seconds(*rc::gen::element(-5, 0, 0, 1, 20, 60));
    now = std::max(now, at);
    const auto kind = *rc::gen::inRange(0, 4);
    if (kind <= 1) {
        const auto result = table.apply(claims::Claim{request(key), attempt(id), at}).result;
        if (result == ClaimResult::Granted) {
            model.granted(key, id, now);
        } else if (result == ClaimResult::AlreadyMine) {
            support::require(model.grants.at(key).attempt == id);
        }
    } else if (kind == 2) {
        if (table.apply(claims::Release{request(key), attempt(id), at})) {
            support::require(model.grants.at(key).attempt == id);
            model.grants.erase(key);
        }
    } else {
        table.apply(claims::Finish{request(key), attempt(id), RunState::Ran, at});
    }
}

} // namespace

TEST_CASE("ClaimTable grants no key to two attempts unless the first released it or its retention ended")
{
    support::checkProperty("claims", {.seed = 77031, .count = 2000}, []() {
        auto table = makeTable(*rc::gen::inRange<std::uint64_t>(1, 5));
        Model model;
        claims::LogTime now{};
        const auto steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            step(table, model, now);
            if (*rc::gen::inRange(0, 8) == 0) {
                const auto state = table.snapshot();
                table = ClaimTable::restore(state, policy(4));
                support::require(table.snapshot() == state);
            }
        }
    });
}

TEST_CASE("memory and time for a claim by the size of the table", "[.measure]")
{
    for (const std::size_t size : {1000U, 10000U, 100000U, 1000000U}) {
        auto table = makeTable(10 * size);
        const auto before = mallinfo2().uordblks;
        const auto start = core::steadyNow();
        for (std::size_t i = 0; i < size; ++i) {
            table.apply(claims::Claim{request(fmt::format("{:036}", i)), attempt(i), 0s});
        }
        const auto fill = core::steadyNow() - start;
        const auto bytes = mallinfo2().uordblks - before;
        constexpr std::size_t More = 10000;
        std::vector<claims::Claim> commands;
        for (std::size_t i = 0; i < More; ++i) {
            commands.push_back({request(fmt::format("{:036}", size + i)), attempt(i), 0s});
        }
        const auto resumed = core::steadyNow();
        for (const auto &command : commands) {
            table.apply(command);
        }
        fmt::print("{} claims: {} bytes each, {:.0f} ns each while filling, {:.0f} ns each for {} more\n",
                   size,
                   bytes / size,
                   core::toSeconds(fill) / static_cast<double>(size) * 1e9,
                   core::toSeconds(core::steadyNow() - resumed) / More * 1e9,
                   More);
    }
}
