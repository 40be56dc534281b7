#include "changes/ledger.h"

#include "core/text.h"
#include "support/property.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

using namespace pimentoshed;
using changes::ApplyFile;
using changes::Ledger;
using changes::SetDomainAvailability;

namespace
{

const core::FailureDomain Ravne{"ravne"};

ApplyFile file(const std::string &id, unsigned replaces)
{
    return {core::ChangeId(id),
            "replaces = " + std::to_string(replaces) + "\nfailure_domains = [\"ravne\", \"dravograd\"]\n"};
}

SetDomainAvailability setOut(const std::string &id, bool out, std::uint64_t replaces)
{
    return {core::ChangeId(id), Ravne, out, replaces};
}

core::ErrorCode codeOf(const changes::Answer &answer)
{
    REQUIRE(!core::ok(answer));
    return core::error(answer).code;
}

/** A simple model of a ledger: every change that was ever sent, with its first answer. */
struct Model {
    std::uint64_t accepted = 0;
    std::map<std::uint64_t, core::ChangeId> replacedBy;
    std::map<core::FailureDomain, bool> out;
    std::vector<changes::Change> sent;
    std::vector<changes::Answer> answers;

    void checkNew(const changes::Change &change, const changes::Answer &answer)
    {
        sent.push_back(change);
        answers.push_back(answer);
        const bool ok = core::ok(answer);
        accepted += ok ? 1 : 0;
        support::require(!ok || core::value(answer).revision == accepted);
        if (const auto *file = std::get_if<ApplyFile>(&change)) {
            checkFile(*file, answer);
        } else if (ok) {
            const auto &availability = std::get<SetDomainAvailability>(change);
            out[availability.domain] = availability.out;
        }
    }

    void checkFile(const ApplyFile &file, const changes::Answer &answer)
    {
        const auto replaces = std::stoull(file.text.substr(std::string("replaces = ").size()));
        if (core::ok(answer)) {
            support::require(replacedBy.emplace(replaces, file.id).second);
            support::require(core::value(answer).version == replaces + 1);
        } else if (const auto replacement = replacedBy.find(replaces); replacement != replacedBy.end()) {
            support::require(core::error(answer).code == core::ErrorCode::VersionConflict);
            support::require(core::error(answer).detail.find("replaced by change " + replacement->second.str() + ";")
                             != std::string::npos);
        }
    }
};

/** Generates a change by an operator whose view of the active configuration may be outdated. */
changes::Change anyChange(unsigned number, const changes::ActiveConfiguration &active)
{
    const core::ChangeId id(fmt::format("change-{}", number));
    const auto lag = *rc::gen::element<std::uint64_t>(0, 0, 0, 1, 2);
    const auto before = [lag](std::uint64_t count) {
        return count - std::min(lag, count);
    };
    if (*rc::gen::inRange(0, 2) == 0) {
        const auto *const domains = *rc::gen::element("\"ravne\"", "\"ravne\", \"mezica\"", "\"mezica\"");
        return ApplyFile{id, fmt::format("replaces = {}\nfailure_domains = [{}]\n", before(active.version), domains)};
    }
    const core::FailureDomain domain(*rc::gen::element<std::string>("ravne", "mezica"));
    const auto found = active.domains.find(domain);
    const auto count = found == active.domains.end() ? 0 : found->second.changeCount;
    return SetDomainAvailability{id, domain, *rc::gen::inRange(0, 2) == 0, before(count)};
}

/** Applies one change, new or sent before, and checks the answer against @p model. */
void step(unsigned number, Ledger &ledger, Model &model)
{
    if (!model.sent.empty() && *rc::gen::inRange(0, 3) == 0) {
        const auto at = *rc::gen::inRange<std::size_t>(0, model.sent.size());
        support::require(ledger.apply(model.sent[at]) == model.answers[at]);
    } else {
        const auto change = anyChange(number, ledger.activeConfiguration());
        model.checkNew(change, ledger.apply(change));
    }
    support::require(ledger.activeConfiguration().revision == model.accepted);
    support::require(ledger.activeConfiguration().version == model.replacedBy.size());
    for (const auto &[domain, out] : model.out) {
        support::require(changes::isOutOfService(ledger.activeConfiguration(), domain) == out);
    }
}

} // namespace

TEST_CASE("of two files that replace the same version the second is refused with the id of the first")
{
    Ledger ledger;
    CHECK(core::ok(ledger.apply(file("a", 0))));
    const auto second = ledger.apply(file("b", 0));
    REQUIRE(!core::ok(second));
    CHECK(core::error(second).code == core::ErrorCode::VersionConflict);
    CHECK_THAT(core::error(second).detail, Catch::Matchers::Contains("change a"));
}

TEST_CASE("a change sent again gets its first answer and takes effect once")
{
    Ledger ledger;
    const auto first = ledger.apply(file("a", 0));
    CHECK(core::ok(ledger.apply(file("b", 1))));
    CHECK(ledger.apply(file("a", 0)) == first);
    CHECK(ledger.activeConfiguration().version == 2);
}

TEST_CASE("a file does not return a failure domain to service")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    CHECK(core::ok(ledger.apply(SetDomainAvailability{core::ChangeId("out"), Ravne, true, 0})));
    CHECK(core::ok(ledger.apply(file("b", 1))));
    CHECK(changes::isOutOfService(ledger.activeConfiguration(), Ravne));
}

TEST_CASE("a take-out based on the state before a later return is refused")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    ledger.apply(SetDomainAvailability{core::ChangeId("out"), Ravne, true, 0});
    ledger.apply(SetDomainAvailability{core::ChangeId("in"), Ravne, false, 1});
    const auto late = ledger.apply(SetDomainAvailability{core::ChangeId("another"), Ravne, true, 0});
    REQUIRE(!core::ok(late));
    CHECK(core::error(late).code == core::ErrorCode::ChangeSuperseded);
    CHECK(!changes::isOutOfService(ledger.activeConfiguration(), Ravne));
}

TEST_CASE("the refusal of a file names the change that replaced the same version")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    ledger.apply(file("b", 1));
    const auto late = ledger.apply(file("c", 0));
    REQUIRE(!core::ok(late));
    CHECK_THAT(core::error(late).detail, Catch::Matchers::Contains("version 0 was replaced by change a"));
    CHECK_THAT(core::error(late).detail, Catch::Matchers::Contains("made by change b"));
    CHECK(codeOf(ledger.apply(file("d", 7))) == core::ErrorCode::VersionConflict);
}

TEST_CASE("the refusal of an outdated take-out names the last change of the domain")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    ledger.apply(setOut("first", true, 0));
    const auto late = ledger.apply(setOut("second", true, 0));
    CHECK(codeOf(late) == core::ErrorCode::ChangeSuperseded);
    CHECK_THAT(core::error(late).detail, Catch::Matchers::Contains("change first"));
}

TEST_CASE("another change under a used id is refused and changes nothing")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    CHECK(codeOf(ledger.apply(file("a", 1))) == core::ErrorCode::ChangeIdReused);
    CHECK(codeOf(ledger.apply(setOut("a", true, 0))) == core::ErrorCode::ChangeIdReused);
    CHECK(ledger.activeConfiguration().revision == 1);
    CHECK(core::ok(ledger.apply(file("b", 1))));
}

TEST_CASE("a take-out that is sent again with a newer change count gets its first answer")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    const auto first = ledger.apply(setOut("out", true, 0));
    CHECK(ledger.apply(setOut("out", true, 1)) == first);
    CHECK(ledger.activeConfiguration().domains.at(Ravne).changeCount == 1);
}

TEST_CASE("a refused change can be applied later under a new id")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    CHECK(codeOf(ledger.apply(file("b", 0))) == core::ErrorCode::VersionConflict);
    CHECK(core::ok(ledger.apply(file("b2", 1))));
    CHECK(codeOf(ledger.apply(file("b", 0))) == core::ErrorCode::VersionConflict);
}

TEST_CASE("the refusal of a file lists its mistakes, up to a maximum length")
{
    Ledger ledger;
    const auto two = ledger.apply(ApplyFile{core::ChangeId("a"), "replaces = -1\nzones = 1\n"});
    CHECK(codeOf(two) == core::ErrorCode::ConfigMissingKey);
    CHECK_THAT(core::error(two).detail, Catch::Matchers::Contains("replaces") && Catch::Matchers::Contains("zones"));
    std::string many;
    for (int i = 0; i < 1000; ++i) {
        many += fmt::format("key-{} = 1\n", i);
    }
    constexpr std::size_t Bound = 4096;
    CHECK(core::error(ledger.apply(ApplyFile{core::ChangeId("b"), many})).detail.size() == Bound);
}

TEST_CASE("every accepted change has its own revision")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    const auto same = ledger.apply(setOut("in", false, 0));
    REQUIRE(core::ok(same));
    CHECK(core::value(same).revision == 2);
}

TEST_CASE("a failure domain stays out of service while files drop it and name it again")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    ledger.apply(setOut("out", true, 0));
    const std::string without = "replaces = 1\nfailure_domains = [\"dravograd\"]\n";
    CHECK(core::ok(ledger.apply(ApplyFile{core::ChangeId("b"), without})));
    CHECK(changes::isOutOfService(ledger.activeConfiguration(), Ravne));
    CHECK(codeOf(ledger.apply(setOut("in", false, 1))) == core::ErrorCode::UnknownDomain);
    CHECK(core::ok(ledger.apply(file("c", 2))));
    CHECK(changes::isOutOfService(ledger.activeConfiguration(), Ravne));
    CHECK(codeOf(ledger.apply(setOut("late", true, 0))) == core::ErrorCode::ChangeSuperseded);
    CHECK(core::ok(ledger.apply(setOut("in-again", false, 1))));
    CHECK(!changes::isOutOfService(ledger.activeConfiguration(), Ravne));
}

TEST_CASE("failure domains that the file no longer names and no change moved are dropped")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    CHECK(core::ok(ledger.apply(ApplyFile{core::ChangeId("b"), "replaces = 1\nfailure_domains = [\"x\"]\n"})));
    CHECK(ledger.activeConfiguration().domains.size() == 1);
}

TEST_CASE("a change with an invalid id is refused")
{
    Ledger ledger;
    CHECK(codeOf(ledger.apply(file("", 0))) == core::ErrorCode::MessageMalformed);
    CHECK(codeOf(ledger.apply(file(std::string(129, 'x'), 0))) == core::ErrorCode::MessageMalformed);
    CHECK(codeOf(ledger.apply(file("a\n", 0))) == core::ErrorCode::MessageMalformed);
    CHECK(ledger.snapshot() == changes::LedgerState{});
}

TEST_CASE("the number of kept answers is limited, and refusals do not evict answers of accepted changes")
{
    Ledger ledger;
    const auto first = ledger.apply(file("a", 0));
    for (std::size_t i = 0; i < 2 * changes::MaxAcceptedAnswers; ++i) {
        ledger.apply(file(fmt::format("refused-{}", i), 0));
    }
    CHECK(ledger.apply(file("a", 0)) == first);
    for (std::size_t i = 0; i < changes::MaxAcceptedAnswers; ++i) {
        ledger.apply(setOut(fmt::format("move-{}", i), i % 2 == 0, i));
    }
    CHECK(ledger.snapshot().answers.size() == changes::MaxAcceptedAnswers + changes::MaxRefusedAnswers);
    CHECK(codeOf(ledger.apply(file("a", 0))) == core::ErrorCode::VersionConflict);
}

TEST_CASE("an inconsistent snapshot is not restored")
{
    Ledger ledger;
    ledger.apply(file("a", 0));
    auto state = ledger.snapshot();
    state.text = "replaces =";
    CHECK(core::error(Ledger::restore(state)).code == core::ErrorCode::SnapshotDamaged);
    state = ledger.snapshot();
    state.replacements.clear();
    CHECK(core::error(Ledger::restore(state)).code == core::ErrorCode::SnapshotDamaged);
}

namespace
{

const rollouts::Order Order{core::ServiceName("labels"), "v2", std::chrono::seconds(16)};

changes::StartRollout startRollout(const std::string &id, std::uint64_t replaces)
{
    return {core::ChangeId(id), Order, replaces};
}

ApplyFile fileWithService(const std::string &id, unsigned replaces)
{
    return {core::ChangeId(id),
            fmt::format("replaces = {}\nfailure_domains = "
                        "[\"ravne\"]\n[institution.tourism]\n[service.labels]\ninstitution = \"tourism\"\n"
                        "path_prefix = \"/labels/\"\nslots = 4\ndeadline_ms = 500\n",
                        replaces)};
}

Ledger ledgerWithService()
{
    Ledger ledger;
    const auto applied = ledger.apply(fileWithService("f", 0));
    INFO((core::ok(applied) ? std::string() : core::describe(core::error(applied))));
    REQUIRE(core::ok(applied));
    return ledger;
}

changes::MoveRollout rollBack(std::uint64_t number)
{
    return {Order.service, {number, 0, rollouts::MoveKind::RollBack, rollouts::Reason::Failures, {}}};
}

} // namespace

TEST_CASE("an order of a rollout that is sent again while it runs gets its first answer")
{
    auto ledger = ledgerWithService();
    const auto first = ledger.apply(startRollout("a", 0));
    REQUIRE(core::ok(first));
    CHECK(ledger.apply(startRollout("a", 0)) == first);
    CHECK(ledger.apply(startRollout("b", 0)) == first);
    CHECK(ledger.apply(startRollout("c", 1)) == first);
    CHECK(ledger.activeConfiguration().rollouts.at(Order.service).number == 1);
}

TEST_CASE("another order for a service is refused while a rollout runs, and so is one for an unknown service")
{
    auto ledger = ledgerWithService();
    REQUIRE(core::ok(ledger.apply(startRollout("a", 0))));
    auto other = startRollout("b", 1);
    other.order.softwareVersion = "v3";
    CHECK(codeOf(ledger.apply(other)) == core::ErrorCode::RolloutRunning);
    other.id = core::ChangeId("c");
    other.order.service = core::ServiceName("unknown");
    CHECK(codeOf(ledger.apply(other)) == core::ErrorCode::NoSuchService);
}

TEST_CASE("a rollout that went back can be ordered again, but not by an order that was based on the one before")
{
    auto ledger = ledgerWithService();
    REQUIRE(core::ok(ledger.apply(startRollout("a", 0))));
    const auto revision = ledger.activeConfiguration().revision;
    REQUIRE(core::ok(ledger.apply(rollBack(1))));
    CHECK(ledger.activeConfiguration().revision == revision + 1);
    CHECK(codeOf(ledger.apply(rollBack(1))) == core::ErrorCode::ChangeSuperseded);
    CHECK(ledger.activeConfiguration().revision == revision + 1);
    CHECK(codeOf(ledger.apply(startRollout("b", 0))) == core::ErrorCode::ChangeSuperseded);
    REQUIRE(core::ok(ledger.apply(startRollout("c", 1))));
    const auto &again = ledger.activeConfiguration().rollouts.at(Order.service);
    CHECK(again.number == 2);
    CHECK(again.state == rollouts::State::Running);
    CHECK(codeOf(ledger.apply(rollBack(1))) == core::ErrorCode::ChangeSuperseded);
}

TEST_CASE("a file that drops a service ends its rollout, and a restored ledger has the same rollouts")
{
    auto ledger = ledgerWithService();
    REQUIRE(core::ok(ledger.apply(startRollout("a", 0))));
    REQUIRE(core::ok(ledger.apply(fileWithService("g", 1))));
    CHECK(ledger.activeConfiguration().rollouts.at(Order.service).state == rollouts::State::Running);
    const auto restored = Ledger::restore(ledger.snapshot());
    REQUIRE(core::ok(restored));
    CHECK(core::value(restored).activeConfiguration().rollouts == ledger.activeConfiguration().rollouts);
    REQUIRE(core::ok(ledger.apply(file("h", 2))));
    const auto &dropped = ledger.activeConfiguration().rollouts.at(Order.service);
    CHECK(dropped.state == rollouts::State::RolledBack);
    CHECK(dropped.reason == rollouts::Reason::ServiceDropped);
    auto damaged = ledger.snapshot();
    damaged.rollouts.front().step = 99;
    CHECK_FALSE(core::ok(Ledger::restore(damaged)));
}

TEST_CASE("changes race, repeat and arrive late: one file per version, each change once, no domain returned by a file")
{
    support::checkProperty("races", {.seed = 4121, .count = 500}, []() {
        Ledger ledger;
        Model model;
        const auto steps = *rc::gen::inRange(1U, 60U);
        for (unsigned i = 0; i < steps; ++i) {
            if (*rc::gen::inRange(0, 10) == 0) {
                const auto state = ledger.snapshot();
                ledger = core::value(Ledger::restore(state));
                support::require(ledger.snapshot() == state);
            }
            step(i, ledger, model);
        }
    });
}

// Guards against a kept refusal that is cut inside a character, after which no earlier program could read its snapshot.
TEST_CASE("the detail of a refusal is cut at the end of a character")
{
    for (std::size_t before = 0; before < 3; ++before) {
        std::string name(before, 'a');
        while (name.size() < 5000) {
            name += "\xe2\x82\xac";
        }
        Ledger ledger;
        const auto answer =
            ledger.apply(SetDomainAvailability{core::ChangeId("a"), core::FailureDomain(name), true, 0});
        REQUIRE(codeOf(answer) == core::ErrorCode::UnknownDomain);
        const auto &detail = core::error(answer).detail;
        CHECK(core::isReadable(detail));
        CHECK(name.starts_with(detail));
        CHECK(detail.size() > 4096 - 3);
    }
}

TEST_CASE("a change with a name that nobody can read is recognized before it is submitted")
{
    const SetDomainAvailability evacuation{core::ChangeId("a"), core::FailureDomain("caf\xc3"), true, 0};
    const changes::StartRollout rollout{core::ChangeId("b"), {core::ServiceName("\xff"), "v2", {}}, 0};
    CHECK(core::error(changes::checkNames(evacuation)).code == core::ErrorCode::RequestMalformed);
    CHECK(core::error(changes::checkNames(rollout)).code == core::ErrorCode::RequestMalformed);
    CHECK(core::ok(changes::checkNames(setOut("c", true, 0))));
    CHECK(core::ok(changes::checkNames(file("d", 0))));
}
