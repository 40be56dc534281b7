#include "core/random.h"
#include "http/fakes.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

using namespace pimentoshed;
using namespace pimentoshed::http::fakes;

namespace
{

const std::filesystem::path Folder = std::filesystem::path(PIMENTOSHED_SOURCE) / "tests/golden/sessions";

/** The four parts of a golden file: the bytes that caller and target send, and those that each must receive. */
struct Session {
    std::string callerSends;
    std::string targetSees;
    std::string targetAnswers;
    std::string callerSees;
};

/** Lines end with \\n in the files and with \\r\\n on the wire. The last line of a part has no line end on the wire. */
std::string toWireFormat(const std::string &text)
{
    return std::regex_replace(text.substr(0, text.size() - 1), std::regex("\n"), "\r\n");
}

std::string readPart(const std::string &text, const std::string &name)
{
    const auto heading = "== " + name + "\n";
    const auto start = text.find(heading);
    REQUIRE(start != std::string::npos);
    const auto from = start + heading.size();
    return toWireFormat(text.substr(from, text.find("== ", from) - from));
}

Session readSession(const std::filesystem::path &path)
{
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    return {readPart(text.str(), "caller sends"),
            readPart(text.str(), "target sees"),
            readPart(text.str(), "target answers"),
            readPart(text.str(), "caller sees")};
}

/** Replaces the time left until the deadline, which differs from run to run. */
std::string withoutTimeLeft(const std::string &bytes)
{
    return std::regex_replace(bytes, std::regex("Deadline-Ms: [0-9]+"), "Deadline-Ms: N");
}

} // namespace

TEST_CASE("relayed sessions match their golden files")
{
    unsigned sessions = 0;
    for (const auto &file : std::filesystem::directory_iterator(Folder)) {
        INFO(file.path().filename().string());
        const auto session = readSession(file.path());
        std::string seen;
        ScriptedTarget target([&](RawSocket &socket, unsigned) {
            // The golden file has "N" in place of the four digits of Deadline-Ms.
            constexpr std::size_t MoreDigits = 3;
            seen = socket.read(session.targetSees.size() + MoreDigits);
            socket.write(session.targetAnswers);
        });
        RelayServer server(target.address(), relayOptions(true, 3000));
        auto caller = server.caller();
        caller.write(session.callerSends);
        CHECK(caller.read(session.callerSees.size()) == session.callerSees);
        server.nextResult();
        CHECK(withoutTimeLeft(seen) == session.targetSees);
        ++sessions;
    }
    CHECK(sessions == 4);
}

TEST_CASE("mutated responses of a target neither crash nor stop the relay and never prove not run")
{
    const auto random = core::seededRandom(20260802);
    const std::string whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n"
                              "3\r\nabc\r\n0\r\nX: y\r\n\r\n";
    ScriptedTarget target([&](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        auto bytes = whole;
        for (std::size_t changes = 1 + core::randomBelow(random, 3); changes > 0; --changes) {
            bytes[core::randomBelow(random, bytes.size())] = static_cast<char>(core::randomBelow(random, 256));
        }
        socket.write(bytes);
    });
    RelayServer server(target.address(), relayOptions(false));
    for (int round = 0; round < 200; ++round) {
        auto caller = server.caller();
        caller.write("GET /a HTTP/1.0\r\nHost: x\r\n\r\n");
        caller.readAll();
        CHECK(server.nextResult().outcome.run != requests::RunState::NotRun);
    }
}
