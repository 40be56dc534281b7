#include "http/address.h"
#include "processes/platformfleet.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** Applies @p version with the @p tenants. The route of /a/ needs a key, that of /open/ none. Returns the status. */
unsigned configure(const PlatformFleet &fleet, unsigned version, const std::string &tenants)
{
    const auto document = fmt::format(
        R"({{"version":"{:08x}","base_version":"{:08x}","routes":{{
            "reads":{{"hostname":"loans.example","path_prefix":"/a/","kind":"safe","timeout":"5000ms","service":"loans"}},
            "open":{{"hostname":"loans.example","path_prefix":"/open/","kind":"safe","timeout":"5000ms",
                     "service":"loans","public":true}}}},
          "services":{{"loans":{{"health_path":"/health","max_conns":260,"cold":"3s","cold_per_s":20.0}}}},
          "limits":{{}},"tenants":{}}})",
        version,
        version - 1,
        tenants);
    const auto answer = sendRequest(fleet.controlAddress(), "/config", "PUT", document);
    return core::ok(answer) ? core::value(answer).status : 0;
}

std::string encode(const std::string &id, const std::string &path, const std::string &headers)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: loans.example\r\nX-Request-Id: {}\r\nX-Timeout-Ms: 5000\r\n{}\r\n",
                       path,
                       id,
                       headers);
}

/** A caller that keeps its connection. */
class Caller
{
public:
    explicit Caller(const std::string &address)
        : m_socket(m_context)
    {
        m_socket.connect(core::value(http::parseAddress(address)));
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    /** The status of the next response; 0 if the connection ends before all of it has come. */
    unsigned receive()
    {
        boost::beast::http::response<boost::beast::http::string_body> response;
        boost::system::error_code failure;
        boost::beast::http::read(m_socket, m_buffer, response, failure);
        return failure ? 0 : response.result_int();
    }

    unsigned request(const std::string &id, const std::string &headers, const std::string &path = "/a/x")
    {
        send(encode(id, path, headers));
        return receive();
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

/** What @p target saw of the caller of request @p id: "not run", or its X-Tenant headers and Authorization. */
std::string seenBy(const PlatformTarget &target, const std::string &id)
{
    for (const auto &request : target.requests()) {
        if (request.id != id) {
            continue;
        }
        std::string seen;
        for (const auto &header : request.head) {
            const auto name = header.name_string();
            if (boost::beast::iequals(name, "X-Tenant") || boost::beast::iequals(name, "Authorization")) {
                seen += fmt::format("{}: {};", std::string(name), std::string(header.value()));
            }
        }
        return seen;
    }
    return "not run";
}

const std::string FirstKeys = R"({"huka":{"api_keys":["key-of-huka"]},"lena":{"api_keys":["key-of-lena"]}})";

} // namespace

TEST_CASE("a target gets the name of the workspace that holds the key, and keys count for each request")
{
    PlatformFleet fleet(89, 1, 5s);
    PlatformTarget target("i-one", fleet.targetAddress(0), 1ms, [](const ReceivedRequest & /*request*/) {
        return http::Reply{};
    });
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    const std::string spoofed = "x-TENANT: lena\r\nX-Tenant: lena\r\nConnection: X-Tenant\r\n";
    const std::string withKey = "Authorization: Bearer key-of-huka  \r\n" + spoofed;
    Caller caller(fleet.callerAddress(0));
    // Without workspaces, headers are passed on.
    CHECK(caller.request("before", "Authorization: Bearer key-of-huka\r\nX-Tenant: a\r\n") == 200);
    CHECK(seenBy(target, "before") == "Authorization: Bearer key-of-huka;X-Tenant: a;");
    REQUIRE(configure(fleet, 2, FirstKeys) == 200);
    REQUIRE(eventually(
        [&]() {
            return caller.request("without-key", spoofed) == 401;
        },
        2s));
    // Requests behind each other on the same connection.
    caller.send(encode("valid", "/a/x", withKey) + encode("other", "/a/x", "Authorization: Bearer key-of-none\r\n")
                + encode("lower", "/a/x", "authorization: bearer key-of-lena\r\n")
                + encode("twice", "/a/x", "Authorization: Bearer key-of-huka\r\n" + withKey)
                + encode("open", "/open/x", spoofed)
                + encode("open-other", "/open/x", "Authorization: Bearer key-of-none\r\n" + spoofed));
    for (const auto status : {200U, 401U, 200U, 401U, 200U, 200U}) {
        CHECK(caller.receive() == status);
    }
    CHECK(seenBy(target, "valid") == "X-Tenant: huka;");
    CHECK(seenBy(target, "other") == "not run");
    CHECK(seenBy(target, "lower") == "X-Tenant: lena;");
    CHECK(seenBy(target, "twice") == "not run");
    CHECK(seenBy(target, "open").empty());
    CHECK(seenBy(target, "open-other").empty());
    // The key moves to the other workspace, and is then taken away.
    REQUIRE(configure(fleet, 3, R"({"lena":{"api_keys":["key-of-huka"]}})") == 200);
    unsigned attempt = 0;
    CHECK(eventually(
        [&]() {
            const auto id = fmt::format("moved-{}", ++attempt);
            return caller.request(id, withKey) == 200 && seenBy(target, id) == "X-Tenant: lena;";
        },
        2s));
    REQUIRE(configure(fleet, 4, R"({"lena":{"api_keys":["key-of-lena"]}})") == 200);
    CHECK(eventually(
        [&]() {
            return caller.request("taken-away", withKey) == 401;
        },
        2s));
    const auto callers = fleet.callerAddress(0);
    const auto metrics = sendRequest(callers.substr(0, callers.find(':')) + ":8542", "/metrics");
    REQUIRE(core::ok(metrics));
    CHECK_THAT(core::value(metrics).body, Catch::Matchers::Contains("pimentoshed_key_refusals_total{route=\"reads\"}"));
    const auto log = fleet.entryLog(0);
    CHECK_THAT(log, Catch::Matchers::Contains("\"key-refused\""));
    CHECK_THAT(log, !Catch::Matchers::Contains("key-of-"));
    CHECK_THAT(fleet.controlLog(0), !Catch::Matchers::Contains("key-of-"));
}

TEST_CASE("a request that waits is refused once its key is taken away, and its key moves with the configuration")
{
    PlatformFleet fleet(90, 1, 5s);
    REQUIRE(configure(fleet, 2, FirstKeys) == 200);
    Caller refused(fleet.callerAddress(0));
    REQUIRE(eventually(
        [&]() {
            return refused.request("without-key", {}) == 401;
        },
        2s));
    // There is no target yet, so requests wait.
    refused.send(encode("taken-away", "/a/x", "Authorization: Bearer key-of-huka\r\n"));
    Caller moved(fleet.callerAddress(0));
    moved.send(encode("moved", "/a/x", "Authorization: Bearer key-of-lena\r\n"));
    std::this_thread::sleep_for(200ms);
    REQUIRE(configure(fleet, 3, R"({"mara":{"api_keys":["key-of-lena"]}})") == 200);
    CHECK(refused.receive() == 401);
    PlatformTarget target("i-one", fleet.targetAddress(0), 1ms, [](const ReceivedRequest & /*request*/) {
        return http::Reply{};
    });
    CHECK(target.announce(fleet.controlAddress()) == 200);
    CHECK(moved.receive() == 200);
    CHECK(seenBy(target, "taken-away") == "not run");
    CHECK(seenBy(target, "moved") == "X-Tenant: mara;");
}
