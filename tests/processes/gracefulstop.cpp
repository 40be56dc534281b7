#include "processes/harness.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>

#include "http/address.h"

using namespace pimentoshed;
using namespace pimentoshed::processes;
namespace beast = boost::beast;

namespace
{

const std::string LibraryFile = PIMENTOSHED_SOURCE "/examples/library.toml";

/** The text of @p file with a deadline of 20 s in place of the first one, that of look-ups. */
std::string withLongLookups(const std::string &file)
{
    constexpr std::string_view Deadline = "deadline_ms = 2000\n";
    std::ifstream stream(file);
    std::string text{std::istreambuf_iterator<char>(stream), {}};
    return text.replace(text.find(Deadline), Deadline.size(), "deadline_ms = 20000\n");
}

/** Sends requests to one entry host one after the other, in its own thread, and checks each response. */
class ContinuousCaller
{
public:
    explicit ContinuousCaller(std::string address)
        : m_address(std::move(address))
        , m_thread([this]() {
            run();
        })
    {
    }

    ~ContinuousCaller()
    {
        stop();
    }

    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    std::atomic<unsigned> answered{0};
    std::atomic<unsigned> wrong{0};

private:
    void run()
    {
        for (unsigned number = 0; !m_stopped; ++number) {
            try {
                lookUp(fmt::format("/catalogue/{}/{}", m_address, number));
            } catch (const std::exception &failure) {
                ++wrong;
                m_stream.reset();
                fmt::print(stderr, "{}: {}\n", m_address, failure.what());
            }
        }
    }

    void lookUp(const std::string &path)
    {
        if (!m_stream) {
            m_stream.emplace(m_context);
            m_stream->connect(core::value(http::parseAddress(m_address)));
        }
        beast::http::request<beast::http::empty_body> request(beast::http::verb::get, path, 11);
        request.set(beast::http::field::host, m_address);
        beast::http::write(*m_stream, request);
        beast::flat_buffer buffer;
        beast::http::response<beast::http::string_body> answer;
        beast::http::read(*m_stream, buffer, answer);
        ++answered;
        if (answer.result_int() != 200 || answer.body() != "GET " + path + " ") {
            ++wrong;
            fmt::print(stderr, "{}: {} {}\n", path, answer.result_int(), answer.body());
        }
        if (!answer.keep_alive()) {
            m_stream.reset();
        }
    }

    const std::string m_address;
    std::atomic<bool> m_stopped{false};
    boost::asio::io_context m_context;
    std::optional<beast::tcp_stream> m_stream;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a graceful stop of a target, an entry host and the control host under load loses no request")
{
    constexpr unsigned EntryHosts = 4;
    Fleet fleet(20, EntryHosts);
    REQUIRE(fleet.run({"apply", "--at=" + fleet.operatorAddress(), LibraryFile}) == 0);
    fleet.addTargets("catalogue", 6);
    REQUIRE(fleet.waitUntilReady(6));
    std::vector<std::unique_ptr<ContinuousCaller>> callers;
    for (unsigned i = 0; i < EntryHosts; ++i) {
        callers.push_back(std::make_unique<ContinuousCaller>(fleet.callerAddress(i)));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet.target(0).signal(SIGTERM);
    CHECK(fleet.target(0).wait() == 0);

    fleet.entry(0).signal(SIGTERM);
    const auto listsStoppingHost = [&fleet](unsigned entry) {
        const auto answer = sendRequest(fleet.callerAddress(entry), "/pimentoshed/v1/addresses?failure_domain=ravne");
        return core::ok(answer) && core::value(answer).body.find(fleet.callerAddress(0)) != std::string::npos;
    };
    for (unsigned i = 0; i < EntryHosts; ++i) {
        CHECK(eventually(
            [&listsStoppingHost, i]() {
                return !listsStoppingHost(i);
            },
            std::chrono::seconds(2)));
    }
    // A caller that received the address just before the stop may use it until its lifetime ends.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    callers[0]->stop();
    CHECK(fleet.entry(0).wait() == 0);

    fleet.control().signal(SIGTERM);
    CHECK(fleet.control().wait() == 0);
    for (const auto &caller : callers) {
        caller->stop();
        CHECK(caller->wrong == 0);
        CHECK(caller->answered > 100);
    }
}

TEST_CASE("an entry host whose stop limit ends with a request in progress exits with code 4")
{
    setenv("PIMENTOSHED_STOP_LIMIT", "0", 1);
    Fleet fleet(21, 1);
    unsetenv("PIMENTOSHED_STOP_LIMIT");
    // Look-ups that may take longer than the 8 s for which the host accepts requests after the signal.
    const support::TemporaryFolder folder;
    const auto file = folder.path() / "library.toml";
    std::ofstream(file) << withLongLookups(LibraryFile);
    REQUIRE(fleet.run({"apply", "--at=" + fleet.operatorAddress(), file}) == 0);
    fleet.addTargets("catalogue", 1);
    REQUIRE(fleet.waitUntilReady(1));
    for (unsigned i = 0; i < 20; ++i) {
        REQUIRE(core::ok(sendRequest(fleet.callerAddress(0), "/catalogue/a")));
    }
    fleet.target(0).signal(SIGSTOP);
    std::thread caller([&fleet]() {
        http::ClientRequest request;
        request.method = "GET";
        request.target = "/catalogue/b";
        CHECK_FALSE(core::ok(http::fetch(fleet.callerAddress(0), request, std::chrono::seconds(20))));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.entry(0).signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(7200));
    // By its usual processing time it would end long before the host does, but not by the time that it has.
    const auto late = sendRequest(fleet.callerAddress(0), "/catalogue/c");
    REQUIRE(core::ok(late));
    CHECK(core::value(late).status == 503);
    CHECK(core::value(late).body.find("\"code\":4011") != std::string::npos);
    constexpr int StoppedWithRequests = 4;
    CHECK(fleet.entry(0).wait() == StoppedWithRequests);
    fleet.target(0).signal(SIGCONT);
    caller.join();
}

TEST_CASE("a stopping entry host refuses a request that may run once only and may outlast it")
{
    setenv("PIMENTOSHED_STOP_LIMIT", "0", 1);
    Fleet fleet(22, 1);
    unsetenv("PIMENTOSHED_STOP_LIMIT");
    REQUIRE(fleet.run({"apply", "--at=" + fleet.operatorAddress(), LibraryFile}) == 0);
    fleet.addTargets("loans", 1, {"--service-micros=4500000"});
    REQUIRE(fleet.waitUntilReady(1));
    fleet.entry(0).signal(SIGTERM);
    const auto lend = [&fleet](const std::string &key) {
        return sendRequest(fleet.callerAddress(0), "/loans/", "POST", "card 17", {{"Idempotency-Key", key}});
    };
    // The host ends 8 s after the signal; a loan may take 5 s.
    const auto early = lend("loan-1");
    REQUIRE(core::ok(early));
    CHECK(core::value(early).status == 200);
    const auto late = lend("loan-2");
    REQUIRE(core::ok(late));
    CHECK(core::value(late).status == 503);
    CHECK(core::value(late).body.find("\"code\":4011") != std::string::npos);
    CHECK(fleet.entry(0).wait() == 0);
}
