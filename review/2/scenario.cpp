// A machine is stopped with SIGTERM. Look-ups that reach it later than 3 s after the signal are passed on to an endpoint
// that answers well within their time, but the process ends first.
#include "../common/small.h"

using namespace harness;

namespace
{

constexpr double Grace = 6;
constexpr double LongWork = 2.4;

struct Outcome {
    unsigned number = 0;
    double sentAt = 0;
    double endedAt = 0;
    int status = 0;
    bool complete = false;
    bool connected = false;
};

/** Sends one look-up on a connection that has been used before, and waits for what comes of it. */
Outcome lookUpOnKept(Connection connection, unsigned number, double timeout)
{
    Outcome outcome;
    outcome.number = number;
    outcome.connected = connection.isOpen();
    outcome.sentAt = now();
    connection.send(requestBytes("GET",
                                 "/a/report/" + std::to_string(number),
                                 {{"Host", "loans.example"},
                                  {"X-Request-Id", "report" + std::to_string(number)},
                                  {"X-Timeout-Ms", std::to_string(static_cast<int>(timeout * 1000))}}));
    const auto answer = readMessage(connection, now() + timeout + 1);
    outcome.endedAt = now();
    outcome.status = answer.status();
    outcome.complete = answer.complete;
    return outcome;
}

int scenario()
{
    Deployment deployment;
    Operator operators(controlAddresses(deployment, 3));
    configure(deployment, operators, configuration("00000001", "00000000", "4000ms", "600ms"));
    Runs runs;
    ServerOptions options;
    // Most look-ups take 40 ms; reports take longer. Every answer comes well within the route's time-out of 4 s.
    options.workSeconds = [](const Message &request) {
        return request.target().starts_with("/a/report/") ? LongWork : 0.04;
    };
    const auto servers = startServers(deployment, 6, runs, options);
    const auto lookups = std::make_unique<Lookups>(deployment, 60);
    sleepFor(5);

    // Connections that the consumers keep, each used once.
    constexpr unsigned Count = 4;
    const auto front = deployment.frontAddress(0);
    std::vector<Connection> kept;
    for (unsigned i = 0; i < Count; ++i) {
        auto connection = Connection::open(front, 1);
        connection.send(requestBytes("GET",
                                     "/a/first",
                                     {{"Host", "loans.example"},
                                      {"X-Request-Id", "first" + std::to_string(i)},
                                      {"X-Timeout-Ms", "4000"}}));
        if (readMessage(connection, now() + 4).status() != 200) {
            throw Failure{"the machine did not serve before the disruption"};
        }
        kept.push_back(std::move(connection));
    }
    const double stopped = now();
    if (hasTrouble()) {
        deployment.entries[0].signal(SIGTERM);
        RECORD("SIGTERM to the machine that has the connections; SIGKILL would follow after %.0f s", Grace);
    }
    std::vector<Outcome> outcomes(Count);
    std::vector<std::thread> calls;
    for (unsigned i = 0; i < Count; ++i) {
        calls.emplace_back([&, i]() {
            sleepUntil(stopped + 3.4 + 0.15 * i);
            outcomes[i] = lookUpOnKept(std::move(kept[i]), i, 4);
        });
    }
    for (auto &each : calls) {
        each.join();
    }
    sleepUntil(stopped + Grace + 1);
    unsigned lost = 0;
    for (const auto &outcome : outcomes) {
        double ranAt = 0;
        for (const auto &run : runs.all()) {
            if (run.id == "report" + std::to_string(outcome.number)) {
                ranAt = run.at;
            }
        }
        const bool isLost = ranAt > 0 && !outcome.complete;
        RECORD("report %u sent %.3f s after the signal; endpoint began %.3f s after it; %s %.3f s after it%s",
               outcome.number,
               outcome.sentAt - stopped,
               ranAt == 0 ? 0.0 : ranAt - stopped,
               outcome.complete ? ("answer " + std::to_string(outcome.status)).c_str()
                                : "connection ended without an answer",
               outcome.endedAt - stopped,
               isLost ? ": LOST" : "");
        lost += isLost ? 1 : 0;
    }
    RECORD("look-ups beside them: sent %u, served %u", lookups->sent(), lookups->served());
    RECORD("%u of %u requests were passed on to an endpoint at work and ended without an answer", lost, Count);
    return lost > 0 ? Broken : Held;
}

} // namespace

int main()
{
    return run(scenario);
}
