#include "processes/platformfleet.h"

#include "http/address.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>
#include <vector>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

constexpr const char *Evacuation = "/evacuate/ravne";
/** Longer than an operator waits for a response, and shorter than it takes to elect another leader. */
constexpr auto FreezeTime = 1200ms;

/** An order on a connection of its own, whose response nobody reads. */
class AbandonedOrder
{
public:
    AbandonedOrder(const std::string &address, const std::string &method)
        : m_socket(m_context)
    {
        m_socket.connect(core::value(http::parseAddress(address)));
        const auto order = fmt::format("{} {} HTTP/1.1\r\nHost: control\r\n\r\n", method, Evacuation);
        boost::asio::write(m_socket, boost::asio::buffer(order));
    }

    void close()
    {
        m_socket.close();
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

/** Sends an order as operators do: after a second without an acknowledgement to the next of the control hosts. */
void order(const PlatformFleet &fleet, std::vector<unsigned> controls, const std::string &method)
{
    REQUIRE(eventually(
        [&]() {
            const auto answer = http::fetch(fleet.controlAddress(controls.front()), {method, Evacuation, {}, {}}, 1s);
            std::rotate(controls.begin(), controls.begin() + 1, controls.end());
            return core::ok(answer) && core::value(answer).status == 200;
        },
        10s));
}

} // namespace

// Guards against an order that its operator gave up and that undoes a newer one when a frozen control host runs again.
TEST_CASE("a control host that was frozen does not apply an order that was given up meanwhile")
{
    const bool closes = GENERATE(true, false);
    CAPTURE(closes);
    constexpr unsigned Freezes = 6;
    PlatformFleet fleet(closes ? 175 : 176, 1, 1s, 3);
    PlatformTarget target("i-1", fleet.targetAddress(0), 1ms, succeed);
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    order(fleet, {0}, "POST");
    for (unsigned freeze = 0; freeze < Freezes; ++freeze) {
        const auto frozen = 1 + freeze % 2;
        const auto thawAt = core::steadyNow() + FreezeTime;
        fleet.control(frozen).signal(SIGSTOP);
        AbandonedOrder abandoned(fleet.controlAddress(frozen), "DELETE");
        std::this_thread::sleep_for(1s);
        if (closes) {
            abandoned.close();
        }
        order(fleet, {0, 3 - frozen}, "DELETE");
        order(fleet, {0, 3 - frozen}, "POST");
        std::this_thread::sleep_until(thawAt);
        fleet.control(frozen).signal(SIGCONT);
        std::this_thread::sleep_for(1s);
        const auto before = target.requests().size();
        fleet.load(40, 500ms);
        CAPTURE(freeze);
        REQUIRE(target.requests().size() == before);
    }
    order(fleet, {0, 1, 2}, "DELETE");
    CHECK(fleet.waitUntilServing());
}
