#include "configuration/parser.h"

#include "support/files.h"
#include "support/property.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>

using namespace pimentoshed;
using configuration::Mistake;
using core::ErrorCode;

namespace
{

const std::string Source = PIMENTOSHED_SOURCE;

std::vector<Mistake> mistakesOf(std::string_view text)
{
    const auto parsed = configuration::parse(text);
    const auto *mistakes = std::get_if<std::vector<Mistake>>(&parsed);
    return mistakes == nullptr ? std::vector<Mistake>() : *mistakes;
}

/** What `check` would print of @p text. */
std::string described(std::string_view text)
{
    std::string lines;
    for (const auto &mistake : mistakesOf(text)) {
        lines += configuration::describe(mistake) + "\n";
    }
    return lines.empty() ? "valid\n" : lines;
}

/** A file that is not what its author meant, and a mistake that it must give. */
struct Malformed {
    std::string text;
    ErrorCode code;
    unsigned line;
    std::string key;
};

const std::string Head = "replaces = 0\nfailure_domains = [\"a\"]\n[institution.i]\n";

/** One service whose body starts at line 5. */
std::string service(const std::string &body)
{
    return Head + "[service.s]\n" + body;
}

const std::string Own = "institution = \"i\"\npath_prefix = \"/s/\"\n";

/** As many services and failure domains as the users expect. */
std::string largeFile()
{
    std::string text =
        "replaces = 0\nfailure_domains = [\"d1\",\"d2\",\"d3\",\"d4\",\"d5\",\"d6\",\"d7\",\"d8\",\"d9\"]\n"
        "[institution.i]\n";
    for (int i = 0; i < 430; ++i) {
        text += fmt::format("[service.s{0}]\ninstitution = \"i\"\npath_prefix = \"/s{0}/\"\nslots = 6\n"
                            "connections = 250\ndeadline_ms = 5000\nmax_request_bytes = 65536\nimportance = 8\n"
                            "idempotent_methods = [\"GET\", \"HEAD\"]\nrequest_key_header = \"Idempotency-Key\"\n"
                            "probes_per_second = 1.0\nretry_ratio = 0.05\n",
                            i);
    }
    return text;
}

} // namespace

TEST_CASE("each malformed file gives its mistake, with its place and code")
{
    const auto row = GENERATE(values<Malformed>({
        {"", ErrorCode::ConfigMissingKey, 1, "replaces"},
        {"replaces = ", ErrorCode::ConfigSyntax, 1, ""},
        {std::string("replaces\0= 0", 12), ErrorCode::ConfigSyntax, 1, ""},
        {"\xff\xfe", ErrorCode::ConfigSyntax, 1, ""},
        {"replaces = \"0\"", ErrorCode::ConfigWrongType, 1, "replaces"},
        {"replaces = -1", ErrorCode::ConfigOutOfBounds, 1, "replaces"},
        {"replaces = 99999999999999999999999", ErrorCode::ConfigSyntax, 1, ""},
        {"replaces = 1979-05-27", ErrorCode::ConfigWrongType, 1, "replaces"},
        {"failure_domains = [\"a\", 1]", ErrorCode::ConfigWrongType, 1, "failure_domains"},
        {"failure_domains = [\"a\", \"a\"]", ErrorCode::ConfigDuplicate, 1, "failure_domains"},
        {"failure_domains = [\"A b\"]", ErrorCode::ConfigOutOfBounds, 1, "failure_domains"},
        {"failure_domains = []", ErrorCode::ConfigOutOfBounds, 1, "failure_domains"},
        {"service = 1", ErrorCode::ConfigWrongType, 1, "service"},
        {"service.s = 1", ErrorCode::ConfigWrongType, 1, "service.s"},
        {"[[service]]", ErrorCode::ConfigWrongType, 1, "service"},
        {"[limits]\nleases = 1", ErrorCode::ConfigUnknownKey, 2, "limits.leases"},
        {"[institution.Big]", ErrorCode::ConfigOutOfBounds, 1, "institution.Big"},
        {"\"\\u007f\" = 1", ErrorCode::ConfigUnknownKey, 1, "\"\\x7f\""},
        {service("institution = \"j\""), ErrorCode::ConfigUnknownName, 5, "service.s.institution"},
        {service("path_prefix = \"s\""), ErrorCode::ConfigOutOfBounds, 5, "service.s.path_prefix"},
        {service("path_prefix = \"/pimentoshed/x/\""), ErrorCode::ConfigOutOfBounds, 5, "service.s.path_prefix"},
        {service("slots = 1.0"), ErrorCode::ConfigWrongType, 5, "service.s.slots"},
        {service("cold_slots = 2"), ErrorCode::ConfigOutOfBounds, 5, "service.s.cold_slots"},
        {service("slots = 300"), ErrorCode::ConfigOutOfBounds, 4, "service.s.connections"},
        {service("retry_ratio = nan"), ErrorCode::ConfigOutOfBounds, 5, "service.s.retry_ratio"},
        {service("probes_per_second = inf"), ErrorCode::ConfigOutOfBounds, 5, "service.s.probes_per_second"},
        {service("idempotent_methods = [\"FETCH\"]"), ErrorCode::ConfigOutOfBounds, 5, "service.s.idempotent_methods"},
        {service("request_key_header = \"a b\""), ErrorCode::ConfigOutOfBounds, 5, "service.s.request_key_header"},
        {service("slots = 1\nslots = 2"), ErrorCode::ConfigSyntax, 6, ""},
        {service(Own + "[service.t]\ninstitution = \"i\"\npath_prefix = \"/s/t/\""),
         ErrorCode::ConfigDuplicate,
         9,
         "service.t.path_prefix"},
        {service("deadline_ms = 600000\n[limits]\nrequest_key_retention_ms = 1000000"),
         ErrorCode::ConfigOutOfBounds,
         7,
         "limits.request_key_retention_ms"},
        {"[control_host.a]\naddress = \"10.0.0.1:1\"\n[control_host.b]\naddress = \"10.0.0.1:1\"",
         ErrorCode::ConfigDuplicate,
         4,
         "control_host.b.address"},
        {"[control_host.a]\naddress = \"10.0.0.1:1\"\n[control_host.b]\naddress = \"10.0.0.1:2\"",
         ErrorCode::ConfigOutOfBounds,
         1,
         "control_host"},
        {"[control_host.a]\naddress = \"host:1\"", ErrorCode::ConfigOutOfBounds, 2, "control_host.a.address"},
        {"[control_host.a]\naddress = \"0.0.0.0:1\"", ErrorCode::ConfigOutOfBounds, 2, "control_host.a.address"},
        {"[control_host.a]\naddress = \"10.0.0.1:0\"", ErrorCode::ConfigOutOfBounds, 2, "control_host.a.address"},
        {"x = " + std::string(5000, '['), ErrorCode::ConfigSyntax, 1, ""},
        {"a" + std::string(100000, '.') + "b = 1", ErrorCode::ConfigSyntax, 1, ""},
        {std::string(2 << 20, '\n'), ErrorCode::ConfigSyntax, 0, ""},
    }));
    const auto mistakes = mistakesOf(row.text);
    CAPTURE(row.text.substr(0, 200), described(row.text));
    CHECK(std::any_of(mistakes.begin(), mistakes.end(), [&row](const Mistake &mistake) {
        return mistake.code == row.code && mistake.line == row.line && mistake.key == row.key
               && !mistake.expected.empty();
    }));
}

TEST_CASE("characters beyond ASCII are for strings and comments")
{
    CHECK(described(Head + "# Koroška\n[limits] # \"č\"\n") == "valid\n");
    for (const std::string line : {"č = 1", "x = \"#\" č", "x = \"\"\"a\"\"\" č", "x = 1 č", "x = '\\' č"}) {
        const auto mistakes = mistakesOf(Head + line);
        REQUIRE(!mistakes.empty());
        CHECK(mistakes.front().line == 4);
        CHECK(mistakes.front().code == ErrorCode::ConfigSyntax);
    }
}

TEST_CASE("the reading again behind syntax errors is bounded")
{
    std::string text;
    for (int i = 0; i < 50000; ++i) {
        text += fmt::format("key-{} = 1\n", i);
    }
    for (int i = 0; i < 30; ++i) {
        text += "a = = 1\n";
    }
    CHECK(mistakesOf(text).size() < 20);
    CHECK(mistakesOf("a = = 1\n\nb = = 2\n").size() == 2);
}

TEST_CASE("golden files: every mistake of a file in one go")
{
    const auto folder = Source + "/tests/golden/configuration";
    unsigned files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".toml") {
            ++files;
            CAPTURE(entry.path().filename().string());
            auto expected = entry.path();
            CHECK(described(support::readFile(entry.path()))
                  == support::readFile(expected.replace_extension("expected")));
        }
    }
    CHECK(files >= 3);
}

TEST_CASE("the examples are valid and name three control hosts")
{
    const auto *const name = GENERATE("library", "fund");
    const auto text = support::readFile(Source + "/examples/" + name + ".toml");
    CHECK(described(text) == "valid\n");
    const auto parsed = configuration::parse(text);
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->controlHosts.size() == 3);
    CHECK(file->failureDomains.size() == 3);
    CHECK(file->services.size() == 3);
}

TEST_CASE("a file that leaves out the limits has those of the model")
{
    const auto parsed = configuration::parse(Head + "[limits]\n");
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->limits == configuration::Limits{});
}

TEST_CASE("a file of 430 services and 9 failure domains is read")
{
    const auto parsed = configuration::parse(largeFile());
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->services.size() == 430);
}

TEST_CASE("time to read a file of 430 services", "[.measure]")
{
    constexpr int Runs = 101;
    const auto text = largeFile();
    std::vector<double> milliseconds;
    for (int i = 0; i < Runs; ++i) {
        const auto start = core::steadyNow();
        configuration::parse(text);
        milliseconds.push_back(core::toSeconds(core::steadyNow() - start) * 1000);
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    fmt::print("{} bytes, median {:.2f} ms, worst {:.2f} ms of {}\n",
               text.size(),
               milliseconds[Runs / 2],
               milliseconds.back(),
               Runs);
}

TEST_CASE("no mutation of a valid file throws, crashes or gives a mistake without words")
{
    const auto valid = support::readFile(Source + "/examples/fund.toml");
    support::checkProperty("mutated files", {.seed = 20261204, .count = 2000}, [&valid]() {
        auto text = valid;
        const auto edits = *rc::gen::inRange(1, 8);
        for (int i = 0; i < edits; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            const auto piece =
                *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                rc::gen::element<std::string>("[", "]", "\"", "=", "\n", ".", "{", "'''"));
            text.replace(at, length, piece);
        }
        for (const auto &mistake : mistakesOf(text)) {
            support::require(!mistake.expected.empty());
            support::require(!core::errorName(mistake.code).empty());
            const auto line = configuration::describe(mistake);
            support::require(std::all_of(line.begin(), line.end(), [](char c) {
                return c >= ' ' && c <= '~';
            }));
        }
    });
}
