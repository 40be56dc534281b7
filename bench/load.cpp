#include "load.h"

#include "core/time.h"
#include "fleets.h"
#include "http/address.h"
#include "processes/harness.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <stdexcept>
#include <thread>

namespace pimentoshed::bench
{

namespace asio = boost::asio;
namespace message = boost::beast::http;

namespace
{

constexpr unsigned Subnet = 180;
constexpr unsigned Connections = 4;
constexpr auto TimePerRate = std::chrono::seconds(4);
constexpr unsigned WarmUpCalls = 50;
constexpr double MedianShare = 0.5;
constexpr double TailShare = 0.99;

/** Sends one request at a time on one persistent connection. */
class Caller
{
public:
    explicit Caller(const std::string &address)
        : m_address(address)
        , m_socket(m_context)
    {
        m_socket.connect(core::value(http::parseAddress(address)));
        m_socket.set_option(asio::ip::tcp::no_delay(true));
    }

    /** Sends a request. Returns the microseconds until its response is complete. */
    double call()
    {
        message::request<message::empty_body> request(message::verb::get, "/catalogue/1", 11);
        request.set(message::field::host, m_address);
        const auto begin = core::steadyNow();
        message::write(m_socket, request);
        message::response<message::string_body> answer;
        message::read(m_socket, m_buffer, answer);
        if (answer.result() != message::status::ok) {
            throw std::runtime_error("a request was not answered with status 200: " + answer.body());
        }
        return core::toSeconds(core::steadyNow() - begin) * 1e6;
    }

private:
    const std::string m_address;
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

/**
 * Sends @p rate requests per second on one connection, after some requests to warm up. Returns the time of each
 * response in microseconds.
 */
std::vector<double> callAtRate(const std::string &address, double rate)
{
    Caller caller(address);
    for (unsigned i = 0; i < WarmUpCalls; ++i) {
        caller.call();
    }
    const auto begin = core::steadyNow();
    const auto count = static_cast<unsigned>(rate * core::toSeconds(TimePerRate));
    const auto gap = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1 / rate));
    std::vector<double> times;
    times.reserve(count);
    for (unsigned i = 0; i < count; ++i) {
        std::this_thread::sleep_until(begin + gap * i);
        times.push_back(caller.call());
    }
    return times;
}

/** As callAtRate(), with @p rate requests per second in total over all connections. The times are sorted. */
std::vector<double> load(const std::string &address, double rate)
{
    std::vector<std::vector<double>> timesPerConnection(Connections);
    std::vector<std::thread> threads;
    threads.reserve(timesPerConnection.size());
    for (auto &connectionTimes : timesPerConnection) {
        threads.emplace_back([&connectionTimes, &address, rate]() {
            connectionTimes = callAtRate(address, rate / Connections);
        });
    }
    std::vector<double> times;
    for (unsigned i = 0; i < Connections; ++i) {
        threads[i].join();
        times.insert(times.end(), timesPerConnection[i].begin(), timesPerConnection[i].end());
    }
    std::sort(times.begin(), times.end());
    return times;
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.at(static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1)));
}

double cpuMicrosOf(const std::string &address)
{
    const auto answer = processes::sendRequest(address, "/metrics");
    return core::ok(answer) ? sumSamples(core::value(answer).body, "process_cpu_seconds_total") * 1e6 : 0;
}

} // namespace

void measureHop(Results &results)
{
    processes::Fleet fleet(Subnet, 1);
    if (fleet.run({"apply", "--at=" + fleet.operatorAddress(), PIMENTOSHED_SOURCE "/examples/library.toml"}) != 0) {
        throw std::runtime_error("examples/library.toml could not be applied");
    }
    fleet.addTargets("catalogue", 3, {"--service-micros=500"});
    if (!fleet.waitUntilReady(3)) {
        throw std::runtime_error("the entry host did not receive its targets within 10 s");
    }
    const auto target = fmt::format("127.{}.2.1:9000", Subnet);
    for (const double rate : {100.0, 400.0, 1000.0, 2000.0}) {
        fmt::print("hop: {} requests/s\n", rate);
        std::fflush(stdout);
        const auto direct = load(target, rate);
        const auto before = cpuMicrosOf(fleet.platformAddress(0));
        const auto begin = core::steadyNow();
        const auto through = load(fleet.callerAddress(0), rate);
        const auto seconds = core::toSeconds(core::steadyNow() - begin);
        const auto reached = static_cast<double>(through.size()) / seconds;
        const auto used = cpuMicrosOf(fleet.platformAddress(0)) - before;
        results.add(Measure::EntryCpuByRate, reached, used / seconds);
        results.add(
            Measure::AddedMedianByRate, reached, quantile(through, MedianShare) - quantile(direct, MedianShare));
        results.add(Measure::AddedTailByRate, reached, quantile(through, TailShare) - quantile(direct, TailShare));
    }
}

} // namespace pimentoshed::bench
