#include "processes/platformfleet.h"
#include "processes/rawtarget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sys/socket.h>

using namespace pimentoshed;
using namespace pimentoshed::processes;

namespace
{

constexpr unsigned Requests = 20;

/** The head of a response of status @p status to the request with @p id, with further @p fields; there is no body. */
std::string response(const std::string &status, const std::string &id, const std::string &fields = "")
{
    return fmt::format("HTTP/1.1 {}\r\n{}{}X-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n",
                       status,
                       id.empty() ? "" : fmt::format("X-Request-Id: {}\r\n", id),
                       fields);
}

/**
 * A target that refuses some requests. If a request that it has refused comes again on the same connection, it sends
 * the copy of its refusal before it runs the request.
 */
class RepeatingTarget
{
public:
    /** Returns the refusal of the request with @p head, whose id is @p id; empty if it is to be run. */
    using Refusal = std::function<std::string(const std::string &head, const std::string &id)>;

    RepeatingTarget(const std::string &address, Refusal refuse)
        : m_refuse(std::move(refuse))
        , m_target(address, [this](int descriptor, const std::string &head) {
            return respond(descriptor, head);
        })
    {
    }

    /** Whether any request has run after a refusal. */
    bool hasRunRefused() const
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_refusals.begin(), m_refusals.end(), [this](const auto &refusal) {
            return m_runs.count(refusal.first.second) > 0;
        });
    }

    bool hasRun(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.count(id) > 0;
    }

private:
    bool respond(int descriptor, const std::string &head)
    {
        const auto id = headerOf(head, "X-Request-Id");
        const auto success = response("200 OK", id, "X-Response-Sig: s\r\nX-Instance-Id: i\r\n");
        const bool isRun = head.starts_with("POST");
        const std::lock_guard lock(m_mutex);
        auto bytes = isRun ? m_refuse(head, id) : "";
        if (!bytes.empty()) {
            m_refusals[{descriptor, id}] = bytes;
        } else {
            if (const auto refused = m_refusals.find({descriptor, id}); isRun && refused != m_refusals.end()) {
                bytes = refused->second;
            }
            bytes += success;
            if (isRun) {
                m_runs.insert(id);
            }
        }
        return send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
    }

    const Refusal m_refuse;
    mutable std::mutex m_mutex;
    /** By connection and id. */
    std::map<std::pair<int, std::string>, std::string> m_refusals;
    std::set<std::string> m_runs;
    RawTarget m_target;
};

unsigned statusOf(const core::Result<http::ClientAnswer> &answer)
{
    return core::ok(answer) ? core::value(answer).status : 0;
}

} // namespace

// Guards against the copy of a refusal that is taken for the response to the same request on the same connection.
TEST_CASE("a caller that sends a refused request again is not told that it was not run when it runs")
{
    PlatformFleet fleet(178, 1);
    std::set<std::string> seen;
    const RepeatingTarget target(fleet.targetAddress(0), [&seen](const std::string &, const std::string &id) {
        const bool isFirst = seen.insert(id).second;
        return isFirst ? response("503 Service Unavailable", id, "X-Not-Executed: 1\r\n") : "";
    });
    REQUIRE(announceTarget(fleet.controlAddress(), "i-1", fleet.targetAddress(0), 6, 1) == 200);
    REQUIRE(fleet.waitUntilServing());
    unsigned runs = 0;
    for (unsigned i = 0; i < Requests; ++i) {
        const auto id = fmt::format("again-{}", i);
        fleet.request(0, "POST", id);
        const auto status = statusOf(fleet.request(0, "POST", id));
        CAPTURE(id);
        if (target.hasRun(id)) {
            ++runs;
            CHECK(status == 200);
        }
    }
    CHECK(runs > 0);
}

// Guards against the copy of a refusal to a former target id that is taken for the response to the address's new one.
TEST_CASE("a request that is sent to one address under two target ids is not answered as not run when it runs")
{
    PlatformFleet fleet(179, 1);
    const RepeatingTarget target(fleet.targetAddress(0), [](const std::string &head, const std::string &id) {
        const bool isForFormer = headerOf(head, "X-Expect-Instance") == "i-former";
        return isForFormer ? response("421 Misdirected Request", id, "X-Not-Executed: 1\r\n") : "";
    });
    REQUIRE(announceTarget(fleet.controlAddress(), "i-former", fleet.targetAddress(0), 6, 1) == 200);
    REQUIRE(announceTarget(fleet.controlAddress(), "i-next", fleet.targetAddress(0), 6, 1) == 200);
    REQUIRE(fleet.waitUntilServing());
    // Each first attempt adds a part of a retry to the service's budget.
    for (unsigned i = 0; i < Requests; ++i) {
        CHECK(statusOf(fleet.request(0)) == 200);
    }
    for (unsigned i = 0; i < Requests; ++i) {
        const auto id = fmt::format("moved-{}", i);
        const auto status = statusOf(fleet.request(0, "POST", id));
        CAPTURE(id);
        if (target.hasRun(id)) {
            CHECK(status == 200);
        }
    }
    CHECK(target.hasRunRefused());
}

// Guards against a target's status that callers take for a proof that it did not run the request, although it ran it.
TEST_CASE("a target's status that refuses a request without proof is not passed on for one that must not run twice")
{
    const std::string status = GENERATE(as<std::string>{}, "503 Busy", "429 Too Many Requests", "408 Request Timeout");
    PlatformFleet fleet(177, 1);
    const RawTarget target(fleet.targetAddress(0), [&status](int descriptor, const std::string &head) {
        const auto bytes = response(head.starts_with("POST") ? status : "200 OK",
                                    headerOf(head, "X-Request-Id"),
                                    "X-Response-Sig: s\r\nX-Instance-Id: i\r\n");
        return send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
    });
    REQUIRE(announceTarget(fleet.controlAddress(), "i-1", fleet.targetAddress(0), 6, 1) == 200);
    REQUIRE(fleet.waitUntilServing());
    CHECK(statusOf(fleet.request(0, "POST", "unproven")) == 502);
}
