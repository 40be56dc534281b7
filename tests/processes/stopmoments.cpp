#include "processes/platformfleet.h"

#include "core/enumtable.h"
#include "http/address.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <list>
#include <map>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** How a caller sends its request. */
enum class Form : std::uint8_t {
    NewConnection,
    KeptConnection,
    OldVersion,
    CloseAsked,
    SplitHead,
    SplitLength,
    SplitChunks,
    Continue,
    LongBody,
};

constexpr std::array FormNames{
    core::EnumName<Form>{Form::NewConnection, "new"},
    core::EnumName<Form>{Form::KeptConnection, "kept"},
    core::EnumName<Form>{Form::OldVersion, "http-1.0"},
    core::EnumName<Form>{Form::CloseAsked, "close"},
    core::EnumName<Form>{Form::SplitHead, "split-head"},
    core::EnumName<Form>{Form::SplitLength, "split-length"},
    core::EnumName<Form>{Form::SplitChunks, "split-chunks"},
    core::EnumName<Form>{Form::Continue, "continue"},
    core::EnumName<Form>{Form::LongBody, "long-body"},
};

/** Time that a request sent in two parts takes. */
constexpr auto SplitTime = 300ms;
/** How long a request may go unanswered whose connection ends (`loss_slack` of the deployments). */
constexpr auto LossSlack = 200ms;
constexpr std::string_view BlankLine = "\r\n\r\n";

/** A request that is sent at a moment of the stop, and how it ended. */
struct TimedCaller {
    Form form{};
    core::Duration afterSignal{};
    std::string received{};
    /** Whether the last byte was sent, then when, and when the connection ended. */
    bool hasSent = false;
    core::TimePoint sent{};
    core::TimePoint ended{};

    std::string id() const
    {
        return fmt::format("{}.{}", core::nameOf(FormNames, form), core::toSeconds(afterSignal));
    }

    bool isAnswered(const std::string &status) const
    {
        return received.starts_with("HTTP/1.1 " + status) && received.ends_with(BlankLine);
    }

    void run(const std::string &address, core::TimePoint signalled)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        boost::system::error_code failure;
        if (form == Form::KeptConnection) {
            socket.connect(core::value(http::parseAddress(address)), failure);
            const auto first = head("GET /a/x HTTP/1.1", "first-" + id()) + "\r\n";
            boost::asio::write(socket, boost::asio::buffer(first), failure);
            readHead(socket);
            received.clear();
        }
        std::this_thread::sleep_until(signalled + afterSignal);
        if (form != Form::KeptConnection) {
            socket.connect(core::value(http::parseAddress(address)), failure);
        }
        if (!failure) {
            sendParts(socket);
            while (fill(socket)) {
            }
        }
        ended = core::steadyNow();
    }

private:
    static std::string head(const std::string &line, const std::string &id)
    {
        return fmt::format("{}\r\nHost: loans.example\r\nX-Request-Id: {}\r\nX-Timeout-Ms: 1000\r\n", line, id);
    }

    /** The two parts of the request. The second one may be empty. */
    std::pair<std::string, std::string> parts() const
    {
        constexpr std::size_t LongBodyBytes = 200'000;
        const auto read = head("GET /a/x HTTP/1.1", id());
        const auto write = head("POST /b/x HTTP/1.1", id());
        switch (form) {
        case Form::NewConnection:
        case Form::KeptConnection:
            return {read + "\r\n", {}};
        case Form::OldVersion:
            return {head("GET /a/x HTTP/1.0", id()) + "\r\n", {}};
        case Form::CloseAsked:
            return {read + "Connection: close\r\n\r\n", {}};
        case Form::SplitHead:
            return {read, "\r\n"};
        case Form::SplitLength:
            return {write + "Content-Length: 10\r\n\r\n12345", "67890"};
        case Form::SplitChunks:
            return {write + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", "5\r\n67890\r\n0\r\n\r\n"};
        case Form::Continue:
            return {write + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", "12345"};
        case Form::LongBody:
            break;
        }
        return {write + fmt::format("Content-Length: {}\r\n\r\n", 2 * LongBodyBytes) + std::string(LongBodyBytes, 'x'),
                std::string(LongBodyBytes, 'x')};
    }

    void sendParts(boost::asio::ip::tcp::socket &socket)
    {
        const auto [first, second] = parts();
        boost::system::error_code failure;
        boost::asio::write(socket, boost::asio::buffer(first), failure);
        if (form == Form::Continue) {
            readHead(socket);
            // A final response takes the place of the interim one.
            if (!received.starts_with("HTTP/1.1 100")) {
                return;
            }
            received.clear();
        } else if (!second.empty()) {
            std::this_thread::sleep_for(SplitTime);
        }
        if (!failure && !second.empty()) {
            boost::asio::write(socket, boost::asio::buffer(second), failure);
        }
        hasSent = !failure;
        sent = core::steadyNow();
    }

    void readHead(boost::asio::ip::tcp::socket &socket)
    {
        while (received.find(BlankLine) == std::string::npos && fill(socket)) {
        }
    }

    bool fill(boost::asio::ip::tcp::socket &socket)
    {
        std::array<char, 4096> piece{};
        boost::system::error_code failure;
        received.append(piece.data(), socket.read_some(boost::asio::buffer(piece), failure));
        return !failure;
    }
};

} // namespace

// Guards against requests that a stopping host reads, or sends to a target, and doesn't answer.
TEST_CASE("a stopping entry host answers each request that it reads, whatever its form and its moment")
{
    constexpr auto Step = 100ms;
    PlatformFleet fleet(141, 1, 1s);
    std::list<PlatformTarget> targets;
    for (unsigned i = 0; i < 8; ++i) {
        auto &target =
            targets.emplace_back(fmt::format("i-{}", i), fleet.targetAddress(i), 100ms, [](const ReceivedRequest &) {
                return http::Reply{};
            });
        REQUIRE(target.announce(fleet.controlAddress()) == 200);
    }
    REQUIRE(fleet.waitUntilServing());
    std::list<TimedCaller> callers;
    std::vector<std::thread> threads;
    const auto signalled = core::steadyNow() + 1500ms;
    for (core::Duration moment = -400ms; moment < PlatformFleet::GracePeriod; moment += Step) {
        for (const auto &form : FormNames) {
            auto &caller = callers.emplace_back(TimedCaller{form.value, moment});
            threads.emplace_back([&caller, address = fleet.callerAddress(0), signalled]() {
                caller.run(address, signalled);
            });
        }
    }
    std::this_thread::sleep_until(signalled);
    fleet.entry(0).signal(SIGTERM);
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(fleet.entry(0).wait() == 0);
    std::map<std::string, unsigned> runs;
    for (const auto &target : targets) {
        for (const auto &request : target.requests()) {
            ++runs[request.id];
        }
    }
    std::size_t served = 0;
    std::vector<std::string> lost;
    std::vector<std::string> other;
    for (const auto &caller : callers) {
        const bool isServed = caller.isAnswered("200");
        served += isServed ? 1 : 0;
        const bool isRefused = caller.received.starts_with("HTTP/1.1 503");
        if (runs.count(caller.id()) > 0 && !isServed) {
            lost.push_back(fmt::format("run: {}: {}", caller.id(), caller.received));
        } else if (!isServed && !isRefused && caller.hasSent && caller.ended - caller.sent > LossSlack) {
            lost.push_back(fmt::format("read: {}: {}", caller.id(), caller.received));
        } else if (!isServed && !isRefused && !caller.received.empty()) {
            other.push_back(fmt::format("{}: {}", caller.id(), caller.received));
        }
    }
    CHECK_THAT(lost, Catch::Matchers::Equals(std::vector<std::string>()));
    CHECK_THAT(other, Catch::Matchers::Equals(std::vector<std::string>()));
    CHECK(served > callers.size() / 2);
}
