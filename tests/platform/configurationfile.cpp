#include "platform/configurationfile.h"
#include "changes/ledger.h"
#include "configuration/keydigest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace pimentoshed;
using configuration::Configuration;
using nlohmann::json;

namespace
{

platform::Settings settings()
{
    platform::Settings made;
    made.domains = {core::FailureDomain("ravne"), core::FailureDomain("mezica")};
    made.announcementPeriod = std::chrono::milliseconds(1500);
    made.retryRatio = 0.2;
    return made;
}

json sample()
{
    return json::parse(R"({"version":"0000000c","base_version":"0000000a","routes":{
        "reads":{"hostname":"a.example","path_prefix":"/a/","kind":"safe","timeout":"600ms","slo":"250ms","priority":2,
                 "split":[{"service":"one","weight":90},{"service":"two","weight":10}],"attempts":2},
        "loans":{"hostname":"a.example","path_prefix":"/a/b/","kind":"unsafe","timeout":"0.8s","service":"two"}},
        "services":{"one":{"health_path":"/health","max_conns":260,"cold":"3s","cold_per_s":21.0},
                    "two":{"health_path":"/health"}},
        "limits":{"max_body_bytes":1024}})");
}

json sampleWithTenants()
{
    auto document = sample();
    document["routes"]["reads"]["public"] = true;
    document["routes"]["loans"]["public"] = false;
    document["routes"]["loans"]["kind"] = "download";
    document["tenants"] = json::parse(R"({"huka":{"api_keys":["key-1-of-huka","key-2-of-huka"],"priority":1,
        "rate_per_s":303,"burst":10.5},"lena":{"api_keys":[]}})");
    return document;
}

configuration::ParseResult parse(const json &document)
{
    return platform::parseConfigurationFile(core::value(platform::makeConfigurationFile(document.dump(), settings())));
}

} // namespace

TEST_CASE("a document is parsed into routes and services")
{
    const auto parsed = parse(sample());
    const auto *file = std::get_if<Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(file->version == 12);
    CHECK(file->replaces == 10);
    CHECK(file->failureDomains.size() == 2);
    CHECK(file->limits.whenStale == configuration::WhenStale::Serve);
    CHECK(file->limits.targetLease == std::chrono::seconds(6));
    const auto *reads = configuration::findRoute(*file, "a.example", "/a/x");
    REQUIRE(reads != nullptr);
    CHECK(reads->idempotency == configuration::Idempotency::Always);
    CHECK(reads->latencyObjective == std::chrono::milliseconds(250));
    CHECK(reads->maxAttempts == 2);
    CHECK(reads->shares.size() == 2);
    const auto *loans = configuration::findRoute(*file, "a.example", "/a/b/x");
    REQUIRE(loans != nullptr);
    CHECK(loans->idempotency == configuration::Idempotency::Never);
    CHECK(loans->deadline == std::chrono::milliseconds(800));
    CHECK(configuration::findRoute(*file, "b.example", "/a/x") == nullptr);
    CHECK(configuration::findRoute(*file, "a.example", "/b/") == nullptr);
    const auto *one = configuration::findService(*file, core::ServiceName("one"));
    REQUIRE(one != nullptr);
    CHECK(one->coldRequestsPerSecond == 21.0);
    CHECK(one->retryRatio == 0.2);
    CHECK(one->hedgeRatio == 0.05);
    CHECK(one->maxRequestBytes == 1024);
}

TEST_CASE("invalid documents are refused with their mistakes")
{
    auto document = sample();
    const auto defect = GENERATE(range(0, 10));
    switch (defect) {
    case 0:
        document["routes"]["reads"]["split"][0]["service"] = "three";
        break;
    case 9:
        // Beside a split, which takes precedence.
        document["routes"]["reads"]["service"] = "three";
        break;
    case 1:
        document["routes"]["reads"]["split"][0]["weight"] = -1;
        break;
    case 2:
        document["routes"]["loans"]["timeout"] = "601s";
        break;
    case 3:
        document["routes"]["loans"]["path_prefix"] = "a/";
        break;
    case 4:
        document["routes"]["loans"]["hostname"] = "";
        break;
    case 5:
        document.erase("version");
        break;
    case 6:
        document["version"] = "xyz";
        break;
    case 7:
        document["routes"] = json::array();
        break;
    default:
        document["routes"]["loans"].erase("timeout");
        break;
    }
    CHECK(std::holds_alternative<std::vector<configuration::Mistake>>(parse(document)));
}

TEST_CASE("a route that leaves no time to answer is refused")
{
    const auto *const timeout = GENERATE("0ms", "0s", "0.0000000001ms", "-0ms");
    auto document = sample();
    document["routes"]["loans"]["timeout"] = timeout;
    CAPTURE(timeout);
    CHECK(std::holds_alternative<std::vector<configuration::Mistake>>(parse(document)));
}

TEST_CASE("a file whose numbers are out of range, or whose routes are ambiguous, is refused")
{
    auto document = sample();
    auto &reads = document["routes"]["reads"];
    auto &one = document["services"]["one"];
    const auto defect = GENERATE(range(0, 10));
    CAPTURE(defect);
    switch (defect) {
    case 0:
        reads["attempts"] = 0;
        break;
    case 1:
        reads["attempts"] = -1;
        break;
    case 2:
        reads["attempts"] = 1.5;
        break;
    case 3:
        reads["priority"] = -1;
        break;
    case 4:
        reads["split"][0]["weight"] = 0;
        reads["split"][1]["weight"] = 0;
        break;
    case 5:
        one["max_conns"] = 0;
        break;
    case 6:
        one["max_conns"] = 1e12;
        break;
    case 7:
        one["cold_per_s"] = -1.0;
        break;
    case 8:
        reads["attempts"] = true;
        break;
    default:
        document["routes"]["loans"]["path_prefix"] = "/a/";
        break;
    }
    CHECK(std::holds_alternative<std::vector<configuration::Mistake>>(parse(document)));
}

TEST_CASE("a document in which a name stands twice is refused")
{
    const auto text = sample().dump();
    const auto place = text.find("\"timeout\"");
    const auto repeated = text.substr(0, place) + R"("timeout":"1s",)" + text.substr(place);
    CHECK(core::ok(platform::makeConfigurationFile(text, settings())));
    CHECK(core::error(platform::makeConfigurationFile(repeated, settings())).code == core::ErrorCode::ConfigDuplicate);
}

TEST_CASE("the difference between two files names what changed, up to a length")
{
    const auto file = core::value(platform::makeConfigurationFile(sample().dump(), settings()));
    auto changed = sample();
    changed["routes"]["loans"]["service"] = "one";
    const auto next = core::value(platform::makeConfigurationFile(changed.dump(), settings()));
    const auto difference = platform::describeDifference(file, next, 1000);
    CHECK(json::parse(difference) == json::parse(R"([{"op":"replace","path":"/routes/loans/service","value":"one"}])"));
    CHECK(platform::describeDifference(file, next, 10).size() == 10);
    CHECK(platform::describeDifference(file, file, 1000) == "[]");
    // The first file has no previous one.
    CHECK_FALSE(json::parse(platform::describeDifference("", file, 100000)).empty());
}

TEST_CASE("a truncated document is refused")
{
    const auto text = sample().dump();
    CHECK_FALSE(core::ok(platform::makeConfigurationFile(text.substr(0, text.size() / 2), settings())));
}

TEST_CASE("equal documents have the same change id whatever their formatting, and are read back unchanged")
{
    const auto text = sample().dump();
    const auto file = core::value(platform::makeConfigurationFile(text, settings()));
    const auto again = core::value(platform::makeConfigurationFile(sample().dump(2), settings()));
    CHECK(platform::changeIdForFile(file) == platform::changeIdForFile(again));
    CHECK(json::parse(platform::operatorDocument(file)) == sample());
}

TEST_CASE("versions may skip numbers, one change replaces each version, and accepted changes are acknowledged again")
{
    changes::Ledger ledger(platform::parseConfigurationFile);
    const auto apply = [&ledger](const json &document) {
        const auto file = core::value(platform::makeConfigurationFile(document.dump(), settings()));
        return ledger.apply(changes::ApplyFile{platform::changeIdForFile(file), file, true});
    };
    auto first = sample();
    first["base_version"] = "00000000";
    CHECK(core::ok(apply(first)));
    CHECK(ledger.activeConfiguration().version == 12);
    auto rival = sample();
    rival["base_version"] = "0000000c";
    rival["version"] = "0000000f";
    auto other = rival;
    other["routes"].erase("loans");
    CHECK(core::ok(apply(rival)));
    CHECK(core::error(apply(other)).code == core::ErrorCode::VersionConflict);
    CHECK(core::ok(apply(rival)));
    CHECK(core::ok(apply(first)));
    auto stale = rival;
    stale["base_version"] = "0000000f";
    CHECK(core::error(apply(stale)).code == core::ErrorCode::ConfigOutOfBounds);
    CHECK(ledger.activeConfiguration().version == 15);
}

TEST_CASE("tenants are read as workspaces with the digests of their keys")
{
    const auto parsed = parse(sampleWithTenants());
    const auto *file = std::get_if<Configuration>(&parsed);
    REQUIRE(file != nullptr);
    CHECK(configuration::findRoute(*file, "a.example", "/a/x")->isPublic);
    const auto *loans = configuration::findRoute(*file, "a.example", "/a/b/x");
    CHECK_FALSE(loans->isPublic);
    CHECK(loans->idempotency == configuration::Idempotency::Always);
    REQUIRE(file->workspaces.size() == 2);
    const auto &huka = file->workspaces.front();
    CHECK(huka.name == core::WorkspaceName("huka"));
    CHECK(huka.keys
          == std::vector{configuration::digestOfKey("key-1-of-huka"), configuration::digestOfKey("key-2-of-huka")});
    CHECK(huka.importance == 8U);
    CHECK(huka.requestsPerSecond == 303);
    CHECK(huka.burst == 10.5);
    CHECK(file->workspaces.back().requestsPerSecond == 0);
    CHECK(file->limits.keysWhenStale == configuration::WhenStale::Serve);
}

TEST_CASE("invalid tenants are refused, without their keys in the mistake")
{
    auto document = sampleWithTenants();
    auto &tenants = document["tenants"];
    const auto defect = GENERATE(range(0, 11));
    CAPTURE(defect);
    switch (defect) {
    case 0:
        tenants["lena"]["api_keys"] = {"key-2-of-huka"};
        break;
    case 1:
        tenants["huka"]["rate_per_s"] = -1;
        break;
    case 2:
        tenants["huka"]["burst"] = -0.5;
        break;
    case 3:
        tenants["huka"]["priority"] = -1;
        break;
    case 4:
        tenants["huka"]["api_keys"] = "key-1-of-huka";
        break;
    case 5:
        tenants["huka"].erase("api_keys");
        break;
    case 6:
        tenants["huka"]["api_keys"][1] = "";
        break;
    case 7:
        tenants = json::array({tenants["huka"]});
        break;
    case 8:
        tenants["a\r\nHost: b"] = tenants["lena"];
        break;
    case 9:
        tenants["huka"] = "key-1-of-huka";
        break;
    default:
        document["routes"]["reads"]["public"] = "yes";
        break;
    }
    const auto parsed = parse(document);
    const auto *mistakes = std::get_if<std::vector<configuration::Mistake>>(&parsed);
    REQUIRE(mistakes != nullptr);
    CHECK_THAT(configuration::describe(mistakes->front()), !Catch::Matchers::Contains("of-huka"));
}

TEST_CASE("the operator reads keys back, but the difference for logs hides them")
{
    const auto document = sampleWithTenants();
    const auto file = core::value(platform::makeConfigurationFile(document.dump(), settings()));
    CHECK(json::parse(platform::operatorDocument(file)) == document);
    auto changed = document;
    changed["tenants"]["lena"]["api_keys"] = {"key-1-of-lena"};
    changed["tenantz"] = document["tenants"];
    const auto next = core::value(platform::makeConfigurationFile(changed.dump(), settings()));
    for (const auto &difference : {platform::describeDifference(file, next, 100000),
                                   platform::describeDifference(next, file, 100000),
                                   platform::describeDifference("", next, 100000)}) {
        CHECK_THAT(difference, !Catch::Matchers::Contains("-of-"));
    }
    CHECK_THAT(platform::describeDifference(file, next, 100000),
               Catch::Matchers::Contains("/tenants/lena/api_keys/-\",\"value\":\"sha256:"));
}

TEST_CASE("a deployment that fails closed does so for requests that need a key")
{
    auto closed = settings();
    closed.failClosed = true;
    const auto file = core::value(platform::makeConfigurationFile(sampleWithTenants().dump(), closed));
    const auto limits = std::get<Configuration>(platform::parseConfigurationFile(file)).limits;
    CHECK(limits.keysWhenStale == configuration::WhenStale::Refuse);
    CHECK(limits.whenStale == configuration::WhenStale::Serve);
}
