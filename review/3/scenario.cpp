// An endpoint has left once, as the pages ask, and has started again under the id that it had. The control machine that
// gets its pings is killed and is back. Then the endpoint leaves with DELETE. The confirmation is given at once, for the
// former lifetime, and the machines go on sending requests to the endpoint.
#include "../common/small.h"

using namespace harness;

namespace
{

constexpr double Drain = 2;         // bound `drain`
constexpr double ContactWindow = 3; // bound `contact_window`

int nodeOf(const Deployment &deployment, const std::string &address)
{
    for (unsigned i = 0; i < 3; ++i) {
        if (deployment.controlAddress(i) == address) {
            return static_cast<int>(i);
        }
    }
    throw Failure{"the endpoint has no node for its pings"};
}

/** Sends DELETE until it is confirmed; a node that gives no 2xx is left for the next one. Returns when. */
double leave(const Deployment &deployment, const Server &server, unsigned first)
{
    for (unsigned attempt = 0; attempt < 12; ++attempt) {
        const auto node = (first + attempt) % 3;
        const auto status = call(deployment.controlAddress(node), "DELETE", "/instances/" + server.id(), "", 1).status();
        RECORD("DELETE /instances/%s at node %u: %d", server.id().c_str(), node, status);
        if (status / 100 == 2) {
            return now();
        }
        sleepFor(0.05);
    }
    throw Failure{"the endpoint's DELETE was not confirmed"};
}

std::size_t runsAt(const Runs &runs, const Server &server, double from, double to)
{
    std::size_t count = 0;
    for (const auto &run : runs.all()) {
        count += run.server == server.id() && run.at >= from && run.at < to ? 1 : 0;
    }
    return count;
}

int scenario()
{
    Deployment deployment;
    Operator operators(controlAddresses(deployment, 3));
    configure(deployment, operators, configuration("00000001", "00000000"));
    Runs runs;
    auto servers = startServers(deployment, 6, runs);
    const Lookups lookups(deployment, 40);
    sleepFor(4);

    // The endpoint's first lifetime ends by the book: `draining`, `drain` and a little longer, DELETE, exit.
    auto &server = servers[1];
    const auto options = server->options();
    server->report("draining");
    RECORD("%s reports draining", options.id.c_str());
    sleepFor(Drain + 0.7);
    server->stopBeating();
    leave(deployment, *server, static_cast<unsigned>(nodeOf(deployment, server->home())));
    server.reset();
    sleepFor(2);
    const double reborn = now();
    server = std::make_unique<Server>(options, controlAddresses(deployment, 3), runs);
    RECORD("%s starts again under the same id", options.id.c_str());
    sleepFor(5);
    if (runsAt(runs, *server, reborn, now()) == 0) {
        throw Failure{"the second lifetime gets no requests"};
    }

    server->stopBeating();
    const double lastPing = now();
    const auto home = static_cast<unsigned>(nodeOf(deployment, server->home()));
    RECORD("%s has just sent a ping to node %u", options.id.c_str(), home);
    double started = now();
    if (hasTrouble()) {
        deployment.controls[home].kill();
        RECORD("node %u is killed", home);
        sleepFor(0.15);
        deployment.controls[home].start();
        started = now();
        RECORD("node %u starts again", home);
    }
    // Its next ping would be due 1.5 s after the last one. It leaves just before that.
    sleepUntil(lastPing + 1.4);
    const double confirmed = leave(deployment, *server, home);
    sleepUntil(confirmed + 12);
    const double from = std::max(confirmed + Drain, started + ContactWindow) + 0.3;
    const auto late = runsAt(runs, *server, from, confirmed + 12);
    unsigned others = 0;
    for (const auto &run : runs.all()) {
        if (run.at >= from && run.server == server->id()) {
            RECORD("request %s ran at %s %.3f s after the confirmation", run.id.c_str(), run.server.c_str(), run.at - confirmed);
        }
        others += run.at >= from && run.server != server->id() ? 1 : 0;
    }
    RECORD("look-ups sent %u, served %u", lookups.sent(), lookups.served());
    RECORD("later than %.1f s after the confirmation: %zu requests at the endpoint that left, %u at the others",
           from - confirmed,
           late,
           others);
    if (others == 0) {
        throw Failure{"no requests were served"};
    }
    return late > 0 ? Broken : Held;
}

} // namespace

int main()
{
    return run(scenario);
}
