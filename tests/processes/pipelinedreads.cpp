#include "http/address.h"
#include "processes/platformfleet.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

/** Time that reads usually take, and that they take at targets that have turned slow. */
constexpr auto UsualTime = 100ms;
constexpr auto SlowTime = 3000ms;
/** When reads are sent after the signal. Later than 3 s after it, none may be cut, however long it takes. */
constexpr std::array SendTimes{3200ms, 3400ms, 3600ms, 3800ms, 4000ms};

struct PipelinedReads {
    std::string firstId;
    std::string secondId;
    /** Everything that the caller received before its connection ended. */
    std::string received;

    bool hasWholeResponse() const
    {
        const auto head = received.find("\r\n\r\n");
        return received.starts_with("HTTP/1.1 200") && head != std::string::npos;
    }

    bool isRefused() const
    {
        return received.starts_with("HTTP/1.1 503");
    }
};

std::string encodeRead(const std::string &id)
{
    return fmt::format("GET /a/x HTTP/1.1\r\nHost: loans.example\r\nX-Request-Id: {}\r\nX-Timeout-Ms: 4000\r\n\r\n",
                       id);
}

/** Sends both of @p reads at once and receives until the connection ends. */
void sendBoth(const std::string &address, PipelinedReads &reads)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code failure;
    socket.connect(core::value(http::parseAddress(address)), failure);
    boost::asio::write(socket, boost::asio::buffer(encodeRead(reads.firstId) + encodeRead(reads.secondId)), failure);
    boost::asio::read(socket, boost::asio::dynamic_buffer(reads.received), failure);
}

bool hasRun(const std::string &id, const PlatformTarget &target)
{
    const auto requests = target.requests();
    return std::any_of(requests.begin(), requests.end(), [&id](const ReceivedRequest &request) {
        return request.id == id;
    });
}

} // namespace

// Guards against pipelined look-ups that targets still work on when a stopping host ends and closes their connections.
TEST_CASE("a stopping entry host cuts no pipelined reads when its targets turn slow")
{
    PlatformFleet fleet(84, 1, 4s);
    const auto respond = [](const ReceivedRequest &) {
        return http::Reply{};
    };
    PlatformTarget first("i-first", fleet.targetAddress(0), UsualTime, respond);
    PlatformTarget second("i-second", fleet.targetAddress(1), UsualTime, respond);
    for (auto *target : {&first, &second}) {
        REQUIRE(target->announce(fleet.controlAddress()) == 200);
    }
    REQUIRE(fleet.waitUntilServing());
    fleet.load(20, 2s);
    for (auto *target : {&first, &second}) {
        target->setProcessingTime(SlowTime);
    }

    fleet.entry(0).signal(SIGTERM);
    const auto start = core::steadyNow();
    std::vector<PipelinedReads> all(SendTimes.size());
    std::vector<std::thread> callers;
    callers.reserve(all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].firstId = fmt::format("first-{}", i);
        all[i].secondId = fmt::format("second-{}", i);
        std::this_thread::sleep_until(start + SendTimes[i]);
        callers.emplace_back([&fleet, &reads = all[i]]() {
            sendBoth(fleet.callerAddress(0), reads);
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(fleet.entry(0).wait() == 0);
    CHECK(core::steadyNow() - start < PlatformFleet::GracePeriod);
    for (const auto &reads : all) {
        CAPTURE(reads.firstId, reads.received);
        const bool ran = hasRun(reads.firstId, first) || hasRun(reads.firstId, second);
        CHECK((ran ? reads.hasWholeResponse() : reads.isRefused()));
        CHECK_FALSE(hasRun(reads.secondId, first));
        CHECK_FALSE(hasRun(reads.secondId, second));
    }
}
