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

/** The four parts of a session: what the caller sends, the target sees, the target answers, the caller sees. */
struct Session {
    std::string callerSends;
    std::string targetSees;
    std::string targetAnswers;
    std::string callerSees;
};

/** Lines end by \\n in the files and by \\r\\n on the wire. A part's last line is not ended. */
std::string onTheWire(const std::string &text)
{
    return std::regex_replace(text.substr(0, text.size() - 1), std::regex("\n"), "\r\n");
}

std::string partOf(const std::string &text, const std::string &name)
{
    const auto mark = "== " + name + "\n";
    const auto start = text.find(mark);
    REQUIRE(start != std::string::npos);
    const auto from = start + mark.size();
    return onTheWire(text.substr(from, text.find("== ", from) - from));
}

Session readSession(const std::filesystem::path &path)
{
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    return {partOf(text.str(), "caller sends"),
            partOf(text.str(), "target sees"),
            partOf(text.str(), "target answers"),
            partOf(text.str(), "caller sees")};
}

/** The time left differs from run to run. */
std::string normalised(const std::string &bytes)
{
    return std::regex_replace(bytes, std::regex("Deadline-Ms: [0-9]+"), "Deadline-Ms: N");
}

} // namespace

TEST_CASE("whole sessions pass as their golden files say")
{
    unsigned sessions = 0;
    for (const auto &file : std::filesystem::directory_iterator(Folder)) {
        INFO(file.path().filename().string());
        const auto session = readSession(file.path());
        std::string seen;
        ScriptedTarget target([&](RawSocket &socket, unsigned) {
            // As many bytes as the file says, the number's digits being known.
            constexpr std::size_t MoreDigits = 3;
            seen = socket.read(session.targetSees.size() + MoreDigits);
            socket.write(session.targetAnswers);
        });
        RelayServer gate(target.address(), relayOptions(true, 3000));
        auto caller = gate.caller();
        caller.write(session.callerSends);
        CHECK(caller.read(session.callerSees.size()) == session.callerSees);
        gate.nextResult();
        CHECK(normalised(seen) == session.targetSees);
        ++sessions;
    }
    CHECK(sessions == 4);
}

TEST_CASE("mutated answers of a target neither crash nor halt the relay")
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
    RelayServer gate(target.address(), relayOptions(false));
    for (int round = 0; round < 200; ++round) {
        auto caller = gate.caller();
        caller.write("GET /a HTTP/1.0\r\nHost: x\r\n\r\n");
        caller.readAll();
        CHECK(gate.nextResult().outcome.run != requests::RunState::NotRun);
    }
}
