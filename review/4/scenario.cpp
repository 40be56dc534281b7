// Consumers cancel requests whose bodies are sent in chunks. The machines pass them on to endpoints all the same.
#include "../common/small.h"

using namespace harness;

namespace
{

constexpr unsigned Count = 20;
constexpr double Patience = 0.2;

struct Sent {
    std::string id;
    double closedAt = 0;
    int status = 0;
};

/** Sends an order with its body in chunks or with a length. Leaves after Patience if @p leaves, else awaits the answer. */
Sent order(const std::string &front, const std::string &id, bool inChunks, bool leaves)
{
    Sent sent;
    sent.id = id;
    auto connection = Connection::open(front, 1);
    const std::string body(1200, 'x');
    std::string bytes = "POST /b/" + id + " HTTP/1.1\r\nHost: loans.example\r\nX-Request-Id: " + id
                        + "\r\nX-Timeout-Ms: 3000\r\n";
    if (inChunks) {
        bytes += "Transfer-Encoding: chunked\r\n\r\n4b0\r\n" + body + "\r\n0\r\n\r\n";
    } else {
        bytes += "Content-Length: 1200\r\n\r\n" + body;
    }
    connection.send(bytes);
    if (leaves) {
        sleepFor(Patience);
        connection.close();
        sent.closedAt = now();
        return sent;
    }
    sent.status = readMessage(connection, now() + 4).status();
    return sent;
}

int scenario()
{
    Deployment deployment;
    Operator operators(controlAddresses(deployment, 3));
    configure(deployment, operators, configuration("00000001", "00000000", "5000ms", "800ms"));
    Runs runs;
    ServerOptions options;
    // Other programs are busy on the endpoints' machines: work takes 1.3 to 1.5 times as long as usual.
    options.slowness = []() {
        return 130 + static_cast<unsigned>(now() * 10) % 20;
    };
    const auto servers = startServers(deployment, 6, runs, options);
    const Lookups lookups(deployment, 20);
    sleepFor(4);
    std::vector<Sent> chunked(Count);
    std::vector<Sent> plain(Count);
    std::vector<std::thread> consumers;
    for (unsigned i = 0; i < Count; ++i) {
        for (const bool inChunks : {true, false}) {
            consumers.emplace_back([&, i, inChunks]() {
                auto &sent = (inChunks ? chunked : plain)[i];
                sent = order(deployment.frontAddress(i % deployment.entryCount()),
                             (inChunks ? "chunks" : "length") + std::to_string(i),
                             inChunks,
                             hasTrouble());
            });
        }
        sleepFor(0.25);
    }
    for (auto &each : consumers) {
        each.join();
    }
    sleepFor(4);
    unsigned late[2] = {0, 0};
    unsigned served = 0;
    for (const auto *group : {&chunked, &plain}) {
        for (const auto &sent : *group) {
            served += sent.status == 200 ? 1 : 0;
            for (const auto &run : runs.all()) {
                if (run.id != sent.id) {
                    continue;
                }
                const bool isLate = hasTrouble() && run.at > sent.closedAt + 0.5;
                late[group == &plain ? 1 : 0] += isLate ? 1 : 0;
                if (hasTrouble()) {
                    RECORD("%s: connection closed at %.3f, endpoint %s began to work on it %.3f s later%s",
                           sent.id.c_str(),
                           sent.closedAt,
                           run.server.c_str(),
                           run.at - sent.closedAt,
                           isLate ? ": GONE" : "");
                }
            }
        }
    }
    RECORD("look-ups beside them: sent %u, served %u", lookups.sent(), lookups.served());
    RECORD("bodies in chunks: %u of %u orders reached an endpoint over half a second after their consumer had left", late[0], Count);
    RECORD("bodies with a length: %u of %u", late[1], Count);
    if (!hasTrouble()) {
        RECORD("%u of %u orders were served", served, 2 * Count);
        if (served != 2 * Count) {
            throw Failure{"orders were not served without a disruption"};
        }
    }
    // "More than a few".
    return late[0] + late[1] > 5 ? Broken : Held;
}

} // namespace

int main()
{
    return run(scenario);
}
