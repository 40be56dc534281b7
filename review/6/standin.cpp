/**
 * @file
 * A ping of another writer has bytes in its path that can't be read. Later the operator adds a route to a new service,
 * and the front machines are stopped and started in turn (CONFIG).
 */
#include "../common-2/addedroute.h"

using namespace review;

namespace
{

/** The ping of the other writer. Everything but its id is as in a ping of an endpoint. */
void sendForeignPing(const Deployment &deployment, Record &record)
{
    const char *way = std::getenv("BAD");
    const bool isVersion = way != nullptr && std::string(way) == "version";
    // An "é" takes two bytes; the 128th byte is the first one of such a pair.
    std::string version = isVersion ? "v" + std::string(126, '1') : "v1";
    version += isVersion ? "\xc3\xa9" : "";
    const std::string id = isVersion ? "i-foreign" : "i-\xff\xfe\x80";
    const auto body = "{\"service\":\"gamma\",\"address\":\"" + deployment.endpointAddress(20)
                      + "\",\"zone\":\"ravne\",\"version\":\"" + version
                      + "\",\"slots\":6,\"state\":\"ready\",\"cold_left\":\"0ms\",\"seq\":1,\"born\":1765000000000}";
    const auto answer = call(deployment.control(0), "PUT", "/instances/" + id, body, Millis(1000));
    record.write("another writer: PUT /instances/%s%s at core 0 -> %d",
                 printable(id).c_str(),
                 isVersion ? " (with a long version)" : "",
                 answer ? answer->status() : 0);
}

} // namespace

int main()
{
    Disruption disruption;
    disruption.beforeAddition = sendForeignPing;
    return runCase("review/6/record.txt", [&](Record &record) {
        return runAddedRoute(record, disruption);
    });
}
