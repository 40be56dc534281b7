// One configuration moves a route to another service and drops the service that no route needs any more. Orders that wait
// for an endpoint at that moment are ended with 404, though both configurations allow them.
#include "../common/small.h"

using namespace harness;

namespace
{

constexpr unsigned Count = 60;

std::string document(const std::string &version, const std::string &base, const std::string &service)
{
    auto text = configuration(version, base, "5000ms", "800ms");
    for (std::size_t at = 0; (at = text.find("\"loans\"", at)) != std::string::npos; at += service.size() + 2) {
        text.replace(at, 7, "\"" + service + "\"");
    }
    return text;
}

int scenario()
{
    Deployment deployment;
    Operator operators(controlAddresses(deployment, 3));
    configure(deployment, operators, document("00000001", "00000000", "loans"));
    Runs runs;
    ServerOptions options;
    // Other programs are busy on the endpoints' machines: work takes 1.3 to 1.5 times as long as usual.
    options.slowness = []() {
        return 130 + static_cast<unsigned>(now() * 10) % 20;
    };
    const auto controls = controlAddresses(deployment, 3);
    std::vector<std::unique_ptr<Server>> servers;
    for (unsigned i = 0; i < 12; ++i) {
        options.service = i < 6 ? "loans" : "loans-new";
        options.id = "i-" + options.service + std::to_string(i);
        options.address = deployment.serverAddress(i);
        options.zone = deployment.zoneOf(i);
        servers.push_back(std::make_unique<Server>(options, controls, runs));
    }
    const auto lookups = std::make_unique<Lookups>(deployment, 20);
    sleepFor(6);

    std::vector<int> statuses(Count, 0);
    std::vector<std::thread> consumers;
    const double started = now();
    for (unsigned i = 0; i < Count; ++i) {
        consumers.emplace_back([&, i]() {
            // A consumer's second attempt: 3 s are left of the 5 s that the route gives.
            statuses[i] = call(deployment.frontAddress(i % deployment.entryCount()),
                               "POST",
                               "/b/" + std::to_string(i),
                               "order " + std::to_string(i),
                               4,
                               {{"Host", "loans.example"},
                                {"X-Request-Id", "order" + std::to_string(i)},
                                {"X-Timeout-Ms", "3000"}})
                              .status();
        });
        sleepFor(0.01);
    }
    if (hasTrouble()) {
        sleepUntil(started + 0.8);
        if (operators.order("PUT", "/config", document("00000003", "00000001", "loans-new"), 0, 4) != 200) {
            throw Failure{"the second configuration was not accepted"};
        }
    }
    for (auto &each : consumers) {
        each.join();
    }
    sleepFor(3);
    std::map<int, unsigned> counts;
    for (unsigned i = 0; i < Count; ++i) {
        ++counts[statuses[i]];
        if (statuses[i] != 200) {
            RECORD("order %u was ended with %d", i, statuses[i]);
        }
    }
    std::map<std::string, unsigned> ran;
    for (const auto &run : runs.all()) {
        ++ran[run.service];
    }
    for (const auto &[service, count] : ran) {
        RECORD("%u requests ran at %s", count, service.c_str());
    }
    const unsigned total = lookups->sent() + Count;
    const double allowed = 5 + total / 500.0;
    RECORD("look-ups beside them: sent %u, served %u", lookups->sent(), lookups->served());
    for (const auto &[status, count] : counts) {
        RECORD("orders: %u with status %d", count, status);
    }
    RECORD("%u of %u requests were ended with 404, %.1f are allowed", counts[404], total, allowed);
    if (counts[200] + counts[404] == 0) {
        throw Failure{"no order was answered"};
    }
    return counts[404] > allowed ? Broken : Held;
}

} // namespace

int main()
{
    return run(scenario);
}
