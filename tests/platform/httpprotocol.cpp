#include "platform/httpprotocol.h"

#include "configuration/keydigest.h"

#include <catch2/catch.hpp>

using namespace pimentoshed;
using boost::beast::http::status;
using http::AnswerKind;
using requests::RunState;

namespace
{

http::RequestHead request()
{
    http::RequestHead head;
    head.set("X-Request-Id", "r1");
    return head;
}

http::AnswerHead answer(status code, const std::vector<std::pair<std::string, std::string>> &headers)
{
    http::AnswerHead head;
    head.result(code);
    for (const auto &[name, value] : headers) {
        head.set(name, value);
    }
    return head;
}

AnswerKind kindOf(const http::AnswerHead &head)
{
    return platform::platformProtocolHooks().classifyAnswer(request(), head).kind;
}

unsigned refusalStatus(RunState run, core::ErrorCode code)
{
    const auto reply =
        platform::platformProtocolHooks().makeRefusal({{run, core::Error{code, {}}}, std::chrono::milliseconds(250)});
    return static_cast<unsigned>(reply.status);
}

/** The head of a request with @p values as its Authorization headers. */
http::RequestHead withAuthorization(const std::vector<std::string> &values)
{
    auto head = request();
    for (const auto &value : values) {
        head.insert("aUTHORIZATION", value);
    }
    return head;
}

workspaces::PresentedKey keyOf(const std::vector<std::string> &values)
{
    return platform::platformProtocolHooks().callerKey(withAuthorization(values));
}

/** The Authorization and X-Tenant headers of a request with @p head for the workspace @p name, as a target gets it. */
std::string sentCredentials(http::RequestHead head, const std::string &name)
{
    platform::platformProtocolHooks().setWorkspace(head, core::WorkspaceName(name));
    std::string sent;
    for (const auto &header : head) {
        if (header.name_string() != "X-Request-Id") {
            sent += std::string(header.name_string()) + "=" + std::string(header.value()) + ";";
        }
    }
    return sent;
}

} // namespace

TEST_CASE("a key is the token of a single Authorization header with the scheme Bearer, in any case")
{
    using workspaces::KeyPresence;
    for (const auto *text : {"Bearer key-1", "bearer key-1", "BEARER   key-1", "Bearer\tkey-1"}) {
        CAPTURE(text);
        CHECK(keyOf({text}).presence == KeyPresence::Single);
        CHECK(keyOf({text}).digest == configuration::digestOfKey("key-1"));
    }
    for (const auto *text : {"", "Bearer", "Bearer ", "Basic key-1", "key-1", "Bearerkey-1", "Bearer=key-1"}) {
        CAPTURE(text);
        CHECK(keyOf({text}).presence == KeyPresence::Missing);
    }
    for (const auto *text :
         {"Bearer key-1, Bearer key-2", "Bearer key-1 key-2", "Bearer Bearer key-1", "Bearer KEY-1"}) {
        CAPTURE(text);
        CHECK(keyOf({text}).digest != configuration::digestOfKey("key-1"));
    }
    CHECK(keyOf({}).presence == KeyPresence::Missing);
    CHECK(keyOf({"Bearer key-1", "Bearer key-1"}).presence == KeyPresence::Several);
    CHECK(keyOf({"Basic abc", "Bearer key-1"}).presence == KeyPresence::Several);
}

TEST_CASE("a target gets the name of the workspace instead of the key, whatever the caller sent as X-Tenant")
{
    CHECK(sentCredentials(withAuthorization({"Bearer key-1"}), "huka") == "X-Tenant=huka;");
    auto spoofed = withAuthorization({"bearer key-1"});
    spoofed.insert("x-tENANT", "lena");
    spoofed.insert("X-Tenant", "huka");
    spoofed.insert("X-TENANT", "");
    CHECK(sentCredentials(spoofed, "huka") == "X-Tenant=huka;");
    // Requests of public routes.
    CHECK(sentCredentials(spoofed, "").empty());
    CHECK(sentCredentials(withAuthorization({"Bearer key-1", "Basic abc"}), "").empty());
    CHECK(sentCredentials(withAuthorization({"Basic abc"}), "") == "aUTHORIZATION=Basic abc;");
}

TEST_CASE("a request without a valid key gets status 401, which names the scheme")
{
    const auto reply = platform::platformProtocolHooks().makeRefusal(
        {{RunState::NotRun, core::Error{core::ErrorCode::KeyUnknown, {}}}, std::chrono::milliseconds(250)});
    CHECK(reply.status == status::unauthorized);
    CHECK(reply.headers == std::vector<http::Header>{{"WWW-Authenticate", "Bearer"}});
}

TEST_CASE("only a signed, unencoded response with the id of the request is genuine")
{
    CHECK(kindOf(answer(status::ok, {{"X-Request-Id", "r1"}, {"X-Response-Sig", "s"}})) == AnswerKind::Genuine);
    CHECK(kindOf(answer(status::internal_server_error, {{"X-Request-Id", "r1"}, {"X-Response-Sig", "s"}}))
          == AnswerKind::Genuine);
    CHECK(kindOf(answer(status::ok, {{"X-Request-Id", "r0"}, {"X-Response-Sig", "s"}})) == AnswerKind::Stray);
    CHECK(kindOf(answer(status::ok, {{"X-Request-Id", "r1"}})) == AnswerKind::Unverified);
    CHECK(kindOf(answer(status::ok, {{"X-Response-Sig", "s"}})) == AnswerKind::Unverified);
    CHECK(kindOf(answer(status::ok, {{"X-Request-Id", "r1"}, {"X-Response-Sig", "s"}, {"Content-Encoding", "gzip"}}))
          == AnswerKind::Unverified);
}

TEST_CASE("X-Not-Executed and status 421 prove that the request was not run")
{
    CHECK(kindOf(answer(status::service_unavailable, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}}))
          == AnswerKind::NotRun);
    CHECK(kindOf(answer(status::misdirected_request, {{"X-Request-Id", "r1"}, {"X-Instance-Id", "i-2"}}))
          == AnswerKind::NotRun);
    CHECK(kindOf(answer(status::service_unavailable, {{"X-Not-Executed", "1"}})) == AnswerKind::Unverified);
    CHECK(kindOf(answer(status::misdirected_request, {{"X-Instance-Id", "i-2"}})) == AnswerKind::Unverified);
    CHECK(kindOf(answer(status::service_unavailable, {{"X-Request-Id", "r0"}, {"X-Not-Executed", "1"}}))
          == AnswerKind::Stray);
}

TEST_CASE("statuses that guarantee that a request was not run are sent only if that is proven")
{
    const auto code = GENERATE(core::ErrorCode::NoTarget,
                               core::ErrorCode::TargetFailed,
                               core::ErrorCode::DeadlinePassed,
                               core::ErrorCode::CallerTooSlow,
                               core::ErrorCode::AnswerTruncated,
                               core::ErrorCode::NotCurrent);
    const auto unknown = refusalStatus(RunState::Unknown, code);
    CHECK((unknown == 502 || unknown == 504));
    const auto notRun = refusalStatus(RunState::NotRun, code);
    CHECK((notRun == 503 || notRun == 408));
}

TEST_CASE("a refusal of a request that was not run has a Retry-After header")
{
    const auto reply = platform::platformProtocolHooks().makeRefusal(
        {{RunState::NotRun, core::Error{core::ErrorCode::NoTarget, {}}}, std::chrono::milliseconds(250)});
    REQUIRE_FALSE(reply.headers.empty());
    CHECK(reply.headers.front() == http::Header("Retry-After", "0.250"));
}

TEST_CASE("each request carries the remaining time and the id of the expected target")
{
    auto head = request();
    head.set("X-Expect-Instance", "forged");
    platform::platformProtocolHooks().setRequestHeaders(head, core::TargetId("i-1"), std::chrono::microseconds(599900));
    CHECK(head["X-Timeout-Ms"] == "599");
    CHECK(head["X-Expect-Instance"] == "i-1");
    CHECK(head["X-Request-Id"] == "r1");
}

TEST_CASE("a request limit is a finite decimal number from 0; anything else is unreadable")
{
    using routing::LimitStatement;
    const auto read = [](const std::string &limit) {
        return *platform::platformProtocolHooks().readSignals(answer(status::ok, {{"Server-Limit", limit}}));
    };
    CHECK(read("4.5") == routing::TargetSignals{{}, LimitStatement::Named, 4.5});
    CHECK(read("0") == routing::TargetSignals{{}, LimitStatement::Named, 0});
    CHECK(read("1e300").limitStatement == LimitStatement::Named);
    const auto *const text = GENERATE("-1", "nan", "inf", "1e999", "many", "4,5", "4 5", "4.5/s");
    CAPTURE(text);
    CHECK(read(text) == routing::TargetSignals{{}, LimitStatement::Unreadable, 0});
    const auto none = platform::platformProtocolHooks().readSignals(answer(status::ok, {}));
    CHECK_FALSE(platform::platformProtocolHooks().readSignals(answer(status::ok, {{"X-Request-Id", "r1"}})));
    CHECK(none->limitStatement == LimitStatement::None);
}

TEST_CASE("a pause is a positive decimal number of seconds in a refusal with status 503")
{
    const auto read = [](status code, const std::string &seconds) {
        return platform::platformProtocolHooks().readSignals(answer(code, {{"Retry-After", seconds}}))->pause;
    };
    CHECK(read(status::service_unavailable, "2.5") == std::chrono::milliseconds(2500));
    CHECK(read(status::service_unavailable, "1e300") == std::chrono::hours(24));
    CHECK_FALSE(read(status::too_many_requests, "2.5"));
    CHECK_FALSE(read(status::ok, "2.5"));
    const auto *const text = GENERATE("0", "-1", "nan", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT");
    CAPTURE(text);
    CHECK_FALSE(read(status::service_unavailable, text));
}

TEST_CASE("signals are read only from responses of the target of the request")
{
    const auto hooks = platform::platformProtocolHooks();
    const auto limited = [&hooks](status code, std::vector<std::pair<std::string, std::string>> headers) {
        headers.emplace_back("Server-Limit", "3");
        return hooks.classifyAnswer(request(), answer(code, headers)).signals.has_value();
    };
    CHECK(limited(status::ok, {{"X-Request-Id", "r1"}, {"X-Response-Sig", "s"}}));
    CHECK(limited(status::internal_server_error, {{"X-Request-Id", "r1"}}));
    CHECK(limited(status::service_unavailable, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}}));
    CHECK_FALSE(limited(status::ok, {{"X-Request-Id", "r0"}, {"X-Response-Sig", "s"}}));
    CHECK_FALSE(limited(status::ok, {{"X-Request-Id", "r1"}}));
    CHECK_FALSE(limited(status::misdirected_request, {}));
    CHECK_FALSE(hooks.readSignals(answer(status::misdirected_request, {{"Server-Limit", "3"}})));
}

TEST_CASE("the load header is decoded with or without the slowness, and ignored if it is invalid")
{
    const auto read = [](const std::string &load) {
        return platform::platformProtocolHooks()
            .readSignals(answer(status::ok, {{"X-Load", load}, {"X-Cold-Ms", "1200"}}))
            ->load;
    };
    const auto report = read("3,1,6,500");
    REQUIRE(report);
    CHECK(report->running == 3);
    CHECK(report->waiting == 1);
    CHECK(report->slots == 6);
    CHECK(report->slowness == 5);
    CHECK(report->remainingColdTime == std::chrono::milliseconds(1200));
    CHECK(read("3,1,6")->slowness == 1);
    CHECK_FALSE(read("3,1"));
    CHECK_FALSE(read("3,x,6"));
    CHECK_FALSE(read(""));
    const auto unhealthy = answer(status::service_unavailable, {{"X-Load", "0,0,6"}});
    CHECK_FALSE(platform::platformProtocolHooks().readSignals(unhealthy)->load->healthy);
}
