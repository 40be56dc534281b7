#include "configuration/parser.h"
#include "configuration/keydigest.h"

#include "support/files.h"
#include "support/property.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <tuple>

using namespace pimentoshed;
using configuration::Mistake;
using core::ErrorCode;

namespace
{

const std::string SourceFolder = PIMENTOSHED_SOURCE;

std::vector<Mistake> mistakesOf(std::string_view text)
{
    const auto parsed = configuration::parse(text);
    const auto *mistakes = std::get_if<std::vector<Mistake>>(&parsed);
    return mistakes == nullptr ? std::vector<Mistake>() : *mistakes;
}

/** Returns what the `check` command would print for @p text, without the file's name. */
std::string describeMistakes(std::string_view text)
{
    std::string lines;
    for (const auto &mistake : mistakesOf(text)) {
        lines += configuration::describe(mistake) + "\n";
    }
    return lines.empty() ? "valid\n" : lines;
}

/** An invalid file, and a mistake that must be reported for it. */
struct InvalidFile {
    std::string text;
    ErrorCode code;
    unsigned line;
    std::string key;
};

const std::string FileHeader = "replaces = 0\nfailure_domains = [\"a\"]\n[institution.i]\n";

/** A file with one service, whose keys start at line 5. */
std::string fileWithService(const std::string &body)
{
    return FileHeader + "[service.s]\n" + body;
}

const std::string RequiredKeys = "institution = \"i\"\npath_prefix = \"/s/\"\n";

/** A file with the number of services and failure domains that the users expect. */
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

TEST_CASE("parse: reports the code, line and key of the mistake in an invalid file")
{
    const auto row = GENERATE(values<InvalidFile>({
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
        {fileWithService("institution = \"j\""), ErrorCode::ConfigUnknownName, 5, "service.s.institution"},
        {fileWithService("path_prefix = \"s\""), ErrorCode::ConfigOutOfBounds, 5, "service.s.path_prefix"},
        {fileWithService("path_prefix = \"/pimentoshed/x/\""),
         ErrorCode::ConfigOutOfBounds,
         5,
         "service.s.path_prefix"},
        {fileWithService("slots = 1.0"), ErrorCode::ConfigWrongType, 5, "service.s.slots"},
        {fileWithService("cold_slots = 2"), ErrorCode::ConfigOutOfBounds, 5, "service.s.cold_slots"},
        {fileWithService("slots = 300"), ErrorCode::ConfigOutOfBounds, 4, "service.s.connections"},
        {fileWithService("retry_ratio = nan"), ErrorCode::ConfigOutOfBounds, 5, "service.s.retry_ratio"},
        {fileWithService("probes_per_second = inf"), ErrorCode::ConfigOutOfBounds, 5, "service.s.probes_per_second"},
        {fileWithService("idempotent_methods = [\"FETCH\"]"),
         ErrorCode::ConfigOutOfBounds,
         5,
         "service.s.idempotent_methods"},
        {fileWithService("request_key_header = \"a b\""),
         ErrorCode::ConfigOutOfBounds,
         5,
         "service.s.request_key_header"},
        {fileWithService("slots = 1\nslots = 2"), ErrorCode::ConfigSyntax, 6, ""},
        {fileWithService(RequiredKeys + "[service.t]\ninstitution = \"i\"\npath_prefix = \"/s/t/\""),
         ErrorCode::ConfigDuplicate,
         9,
         "service.t.path_prefix"},
        {fileWithService("deadline_ms = 600000\n[limits]\nrequest_key_retention_ms = 1000000"),
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
        {std::string((4 << 20) + 1, '\n'), ErrorCode::ConfigSyntax, 0, ""},
    }));
    const auto mistakes = mistakesOf(row.text);
    CAPTURE(row.text.substr(0, 200), describeMistakes(row.text));
    CHECK(std::any_of(mistakes.begin(), mistakes.end(), [&row](const Mistake &mistake) {
        return mistake.code == row.code && mistake.line == row.line && mistake.key == row.key
               && !mistake.expected.empty();
    }));
}

TEST_CASE("parse: accepts non-ASCII characters only in strings and comments")
{
    CHECK(describeMistakes(FileHeader + "# Koroška\n[limits] # \"č\"\n") == "valid\n");
    for (const std::string line : {"č = 1", "x = \"#\" č", "x = \"\"\"a\"\"\" č", "x = 1 č", "x = '\\' č"}) {
        const auto mistakes = mistakesOf(FileHeader + line);
        REQUIRE(!mistakes.empty());
        CHECK(mistakes.front().line == 4);
        CHECK(mistakes.front().code == ErrorCode::ConfigSyntax);
    }
}

TEST_CASE("parse: limits how much text it parses again after syntax errors")
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

TEST_CASE("parse: reports all mistakes of a file at once, as in the golden files")
{
    const auto folder = SourceFolder + "/tests/golden/configuration";
    unsigned files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".toml") {
            ++files;
            CAPTURE(entry.path().filename().string());
            auto expected = entry.path();
            CHECK(describeMistakes(support::readFile(entry.path()))
                  == support::readFile(expected.replace_extension("expected")));
        }
    }
    CHECK(files >= 3);
}

TEST_CASE("parse: accepts the example files, each with three control hosts, failure domains and services")
{
    const auto *const name = GENERATE("library", "fund");
    const auto text = support::readFile(SourceFolder + "/examples/" + name + ".toml");
    CHECK(describeMistakes(text) == "valid\n");
    const auto parsed = configuration::parse(text);
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->controlHosts.size() == 3);
    CHECK(file->failureDomains.size() == 3);
    CHECK(file->services.size() == 3);
}

TEST_CASE("parse: uses the defaults of the model for limits that the file omits")
{
    const auto parsed = configuration::parse(FileHeader + "[limits]\n");
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->limits == configuration::Limits{});
}

TEST_CASE("parse: reads a file of 430 services and 9 failure domains")
{
    const auto parsed = configuration::parse(largeFile());
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->services.size() == 430);
}

TEST_CASE("parse: time for a file of 430 services", "[.measure]")
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

TEST_CASE("parse: a mutated file neither throws nor crashes, and its mistakes have printable descriptions")
{
    const auto valid = support::readFile(SourceFolder + "/examples/fund.toml");
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

TEST_CASE("workspaces are read with the digests of their keys")
{
    const auto parsed =
        configuration::parse(fileWithService(RequiredKeys + "public = true\n")
                             + "[workspace.w]\nkeys = [\"0123456789abcdef\", \"fedcba9876543210\"]\nimportance = 8\n"
                               "requests_per_second = 2.5\nburst = 10\n[workspace.v]\nkeys = []\n");
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->routes.front().isPublic);
    REQUIRE(file->workspaces.size() == 2);
    const auto &[v, w] = std::tie(file->workspaces[0], file->workspaces[1]);
    CHECK(w.name == core::WorkspaceName("w"));
    CHECK(
        w.keys
        == std::vector{configuration::digestOfKey("0123456789abcdef"), configuration::digestOfKey("fedcba9876543210")});
    CHECK(w.importance == 8U);
    CHECK(w.requestsPerSecond == 2.5);
    CHECK(w.burst == 10);
    CHECK_FALSE(v.importance);
    CHECK(v.requestsPerSecond == 0);
}

TEST_CASE("digestOfKey: is the SHA-256 digest")
{
    // The first example of FIPS 180-2, appendix B.1.
    const auto digest = configuration::digestOfKey("abc");
    std::string shown;
    for (const auto byte : digest) {
        shown += fmt::format("{:02x}", byte);
    }
    CHECK(shown == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("mistakes in workspaces are reported at their places, without the keys")
{
    const std::string key = "0123456789abcdef";
    const auto text = fileWithService(RequiredKeys) + "[workspace.a]\nkeys = [\"" + key + "\"]\nburst = -1\n"
                      + "[workspace.b]\nkeys = [\"another-key-of-b\", \"" + key + "\"]\nrequests_per_second = inf\n"
                      + "[workspace.c]\nkeys = [\"short\", \"with blanks inside\", 7]\nrequests_per_second = nan\n"
                      + "[workspace.d]\nimportance = 10\nkey = [\"" + key + "\"]\npublic = true\n";
    const auto shown = describeMistakes(text);
    const std::vector<std::string> expected{
        "9:9 workspace.a.burst: expected a number from 0 to 2000000 (requests) (E2005 config-out-of-bounds)",
        "11:29 workspace.b.keys: expected a key that workspace.a does not have (E2007 config-duplicate)",
        "12:23 workspace.b.requests_per_second: expected a number from 0 to",
        "14:9 workspace.c.keys: expected a list of strings",
        "14:18 workspace.c.keys: expected a list of strings",
        "14:40 workspace.c.keys: expected a list of strings",
        "15:23 workspace.c.requests_per_second: expected a number from 0 to",
        "16:1 workspace.d.keys: expected a list of strings",
        "17:14 workspace.d.importance: expected an integer from 0 to 9",
        "18:1 workspace.d.key: expected a key that docs/CONFIGURATION.md lists",
        "19:1 workspace.d.public: expected a key that docs/CONFIGURATION.md lists",
    };
    for (const auto &mistake : expected) {
        CHECK_THAT(shown, Catch::Matchers::Contains(mistake));
    }
    CHECK(static_cast<std::size_t>(std::count(shown.begin(), shown.end(), '\n')) == expected.size());
    CHECK_THAT(shown, !Catch::Matchers::Contains(key));
}

TEST_CASE("a file has room for 10,000 workspaces with four keys each")
{
    auto text = fileWithService(RequiredKeys);
    for (int i = 0; i < 10000; ++i) {
        text += fmt::format("[workspace.workspace-{0}]\nkeys = [\"key-0-of-{0}-0123456789abcdef\", "
                            "\"key-1-of-{0}-0123456789abcdef\", \"key-2-of-{0}-0123456789abcdef\", "
                            "\"key-3-of-{0}-0123456789abcdef\"]\nrequests_per_second = 100\nburst = 100\n",
                            i);
    }
    const auto parsed = configuration::parse(text);
    const auto *file = std::get_if<configuration::Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->workspaces.size() == 10000);
}
