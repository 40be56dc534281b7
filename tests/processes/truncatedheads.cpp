#include "processes/platformfleet.h"
#include "processes/rawtarget.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <mutex>
#include <sys/socket.h>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** A target that answers load probes, and each request with the first bytes of a response before it closes. */
class CuttingTarget
{
public:
    explicit CuttingTarget(const std::string &address)
        : m_target(address, [this](int descriptor, const std::string &head) {
            return respond(descriptor, head);
        })
    {
    }

    /** The response to the next requests, with "ID" for the id of the request, and how much of it is sent. */
    void respondWith(const std::string &response, std::size_t bytes, bool keepsProbeConnections)
    {
        const std::lock_guard lock(m_mutex);
        m_response = response;
        m_bytes = bytes;
        m_keepsProbeConnections = keepsProbeConnections;
    }

    /** Whether load probes get the same bytes as requests. */
    void respondAlikeToProbes(bool isAlike)
    {
        const std::lock_guard lock(m_mutex);
        m_isAlike = isAlike;
    }

    unsigned requests() const
    {
        return m_requests;
    }

private:
    /** Returns whether the connection stays open. */
    bool respond(int descriptor, const std::string &head)
    {
        const std::lock_guard lock(m_mutex);
        std::string bytes;
        bool staysOpen = false;
        if (head.starts_with("GET /health") && !m_isAlike) {
            staysOpen = m_keepsProbeConnections;
            bytes =
                fmt::format("HTTP/1.1 200 OK\r\nX-Instance-Id: i\r\nX-Load: 0,0,6,100\r\n{}Content-Length: 0\r\n\r\n",
                            staysOpen ? "" : "Connection: close\r\n");
        } else {
            ++m_requests;
            bytes = m_response.substr(0, m_bytes);
            const auto id = headerOf(head, "X-Request-Id");
            if (const auto at = bytes.find("ID"); at != std::string::npos) {
                bytes.replace(at, 2, id);
            }
        }
        return send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0 && staysOpen;
    }

    std::atomic<unsigned> m_requests{0};
    std::mutex m_mutex;
    std::string m_response;
    std::size_t m_bytes = 0;
    bool m_keepsProbeConnections = true;
    bool m_isAlike = false;
    /** The last member, as its threads use the others. */
    RawTarget m_target;
};

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: ID\r\nX-Response-Sig: sig\r\n";

struct CutResponse {
    std::string name;
    std::string bytes;
};

/** Responses of each framing; the head of the last one follows an interim response. */
const std::array<CutResponse, 4> Responses{
    CutResponse{"length", Head + "Content-Length: 4\r\n\r\nbody"},
    CutResponse{"chunked", Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
    CutResponse{"until close", Head + "\r\n"},
    CutResponse{"after an interim response",
                "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + Head + "Content-Length: 4\r\n\r\nbody"}};

const std::string Whole = "X-Request-Id: ID\r\nX-Response-Sig: sig\r\nContent-Length: 6\r\n\r\ntheirs";

/** Responses that HTTP does not allow, with an undefined status or a malformed field. */
const std::array<CutResponse, 5> MalformedResponses{
    CutResponse{"status", "HTTP/1.1 000 Trouble\r\n" + Whole},
    CutResponse{"blank in a name", "HTTP/1.1 200 OK\r\nX-A B: 1\r\n" + Whole},
    CutResponse{"control character in a name", "HTTP/1.1 200 OK\r\nX-A\x01: 1\r\n" + Whole},
    CutResponse{"line without a colon", "HTTP/1.1 500 Error\r\nX-A\r\n" + Whole},
    CutResponse{"blank in a name of an interim response",
                "HTTP/1.1 103 Early Hints\r\nX-A B: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + Whole}};

/** Announces two targets, so that a request that is tried again does not wait for another one. */
void announceTargets(const PlatformFleet &fleet, unsigned sequence)
{
    for (unsigned i = 0; i < 2; ++i) {
        const auto id = fmt::format("i-cut-{}", i);
        REQUIRE(announceTarget(fleet.controlAddress(), id, fleet.targetAddress(i), 6, sequence) == 200);
    }
}

} // namespace

TEST_CASE("a caller gets no success if the target closes before the end of its response")
{
    PlatformFleet fleet(77, 1);
    std::array<CuttingTarget, 2> targets{CuttingTarget(fleet.targetAddress(0)), CuttingTarget(fleet.targetAddress(1))};
    unsigned sequence = 0;
    const auto respondWith = [&targets](const CutResponse &response, std::size_t bytes, bool keepsProbeConnections) {
        for (auto &target : targets) {
            target.respondWith(response.bytes, bytes, keepsProbeConnections);
        }
    };
    announceTargets(fleet, ++sequence);
    respondWith(Responses[0], Responses[0].bytes.size(), true);
    REQUIRE(fleet.waitUntilServing());
    auto lastAnnouncement = core::steadyNow();
    for (const auto &response : Responses) {
        const bool endsByClosing = response.bytes.ends_with("sig\r\n\r\n");
        for (std::size_t bytes = 0; bytes < response.bytes.size(); ++bytes) {
            if (core::steadyNow() - lastAnnouncement > 1s) {
                announceTargets(fleet, ++sequence);
                lastAnnouncement = core::steadyNow();
            }
            for (const std::string method : {"GET", "POST"}) {
                // Each cut is tried on a kept connection, that of the probe, and on a new one.
                const bool keepsProbeConnections = (bytes % 2 == 0) == (method == "GET");
                respondWith(response, bytes, keepsProbeConnections);
                CAPTURE(response.name, keepsProbeConnections, bytes, method);
                const auto before = targets[0].requests() + targets[1].requests();
                const auto answer = fleet.request(0, method);
                CHECK((!core::ok(answer) || core::value(answer).status >= 500));
                // The target was asked, so that a refusal can't pass for the answer to a cut response.
                CHECK(targets[0].requests() + targets[1].requests() > before);
            }
        }
        respondWith(response, response.bytes.size(), true);
        const auto whole = fleet.request(0);
        REQUIRE(core::ok(whole));
        CHECK(core::value(whole).status == 200);
        CHECK(core::value(whole).body == (endsByClosing ? "" : "body"));
    }
}

TEST_CASE("a caller gets no response whose head holds a malformed field or an undefined status")
{
    PlatformFleet fleet(97, 1);
    std::array<CuttingTarget, 2> targets{CuttingTarget(fleet.targetAddress(0)), CuttingTarget(fleet.targetAddress(1))};
    const auto respondWith = [&targets](const std::string &response, bool alsoToProbes) {
        for (auto &target : targets) {
            target.respondAlikeToProbes(alsoToProbes);
            target.respondWith(response, response.size(), true);
        }
    };
    unsigned sequence = 0;
    announceTargets(fleet, ++sequence);
    respondWith(Responses[0].bytes, false);
    REQUIRE(fleet.waitUntilServing());
    for (const auto &response : MalformedResponses) {
        announceTargets(fleet, ++sequence);
        for (const bool alsoToProbes : {false, true}) {
            respondWith(response.bytes, alsoToProbes);
            for (const std::string method : {"GET", "POST"}) {
                CAPTURE(response.name, alsoToProbes, method);
                const auto before = targets[0].requests() + targets[1].requests();
                const auto answer = fleet.request(0, method);
                REQUIRE(core::ok(answer));
                CHECK(core::value(answer).status > 500);
                CHECK(core::value(answer).body.find("theirs") == std::string::npos);
                // The targets were asked, so that a refusal can't pass for the answer to a malformed response.
                CHECK((alsoToProbes || targets[0].requests() + targets[1].requests() > before));
            }
        }
    }
}
