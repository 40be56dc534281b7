#include "chain.h"

#include "core/time.h"
#include "core/workerpool.h"
#include "http/server.h"
#include "processes/harness.h"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>

namespace pimentoshed::bench
{

namespace
{

constexpr unsigned Subnet = 181;
constexpr std::array<unsigned, 4> Depths{1, 7, 14, 21};
/** More than the deepest chain, because each call of a chain blocks one worker. */
constexpr std::size_t Workers = 24;
/** Number of ids under which the one target announces itself, so that the entry host counts enough slots. */
constexpr unsigned TargetIds = 8;
constexpr unsigned Calls = 100;
constexpr std::string_view Prefix = "/catalogue/";

/** A target that answers a call of depth n after its own call of depth n - 1 has been answered. */
class ChainTarget
{
public:
    explicit ChainTarget(std::string address)
        : m_address(std::move(address))
        , m_pool(Workers)
    {
        auto server = http::Server::Builder(m_pool.context())
                          .address(m_address)
                          .handler([this](http::Exchange &exchange) {
                              answer(exchange);
                          })
                          .start();
        if (!core::ok(server)) {
            throw std::runtime_error(core::describe(core::error(server)));
        }
        m_server = core::value(server);
    }

    ~ChainTarget()
    {
        m_server->drain();
        m_pool.stop();
    }
    ChainTarget(const ChainTarget &) = delete;
    ChainTarget &operator=(const ChainTarget &) = delete;

    /** Sets the address that every call of the next chains is sent to. */
    void setNextAddress(const std::string &address)
    {
        m_next = address;
    }

    /** Announces the target, under every id, at the platform address of an entry host. */
    void announceAt(const std::string &platform) const
    {
        for (unsigned i = 0; i < TargetIds; ++i) {
            processes::sendRequest(platform,
                                   "/pimentoshed/v1/targets",
                                   "POST",
                                   fmt::format(R"({{"id":"chain-{}","service":"catalogue","failure_domain":"ravne",)"
                                               R"("address":"{}","incarnation":1,"sequence":1,"condition":"warm"}})",
                                               i,
                                               m_address));
        }
    }

    /** Runs a chain of @p depth calls. Returns its duration in milliseconds. */
    double time(unsigned depth) const
    {
        const auto begin = core::steadyNow();
        if (!call(depth)) {
            throw std::runtime_error("a call of a chain failed");
        }
        return core::toSeconds(core::steadyNow() - begin) * 1e3;
    }

private:
    bool call(unsigned depth) const
    {
        constexpr unsigned Ok = 200;
        const auto answer = processes::sendRequest(m_next, fmt::format("{}{}", Prefix, depth));
        return core::ok(answer) && core::value(answer).status == Ok;
    }

    void answer(http::Exchange &exchange) const
    {
        const auto depth = std::stoul(std::string(exchange.path().substr(Prefix.size())));
        http::Reply reply;
        if (depth > 1 && !call(static_cast<unsigned>(depth - 1))) {
            reply.status = boost::beast::http::status::bad_gateway;
        }
        exchange.send(reply);
    }

    const std::string m_address;
    std::string m_next;
    core::WorkerPool m_pool;
    std::shared_ptr<http::Server> m_server;
};

double medianOf(const ChainTarget &target, unsigned depth)
{
    std::vector<double> times;
    for (unsigned i = 0; i < Calls; ++i) {
        times.push_back(target.time(depth));
    }
    std::sort(times.begin(), times.end());
    return times[Calls / 2];
}

} // namespace

void measureChains(Results &results)
{
    const auto address = fmt::format("127.{}.2.1:9000", Subnet);
    processes::Fleet fleet(Subnet, 1);
    if (fleet.run({"apply", "--at=" + fleet.operatorAddress(), PIMENTOSHED_SOURCE "/examples/library.toml"}) != 0) {
        throw std::runtime_error("examples/library.toml could not be applied");
    }
    ChainTarget target(address);
    target.announceAt(fleet.platformAddress(0));
    if (!fleet.waitUntilReady(TargetIds)) {
        throw std::runtime_error("the entry host did not receive the chain's targets within 10 s");
    }
    for (const auto depth : Depths) {
        fmt::print("chain: {} deep\n", depth);
        std::fflush(stdout);
        target.setNextAddress(address);
        results.add(Measure::ChainDirectByDepth, depth, medianOf(target, depth));
        target.announceAt(fleet.platformAddress(0));
        target.setNextAddress(fleet.callerAddress(0));
        results.add(Measure::ChainByDepth, depth, medianOf(target, depth));
    }
}

} // namespace pimentoshed::bench
