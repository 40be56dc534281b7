/**
 * @file
 * Up to twelve times, a core machine freezes for 1.2 s. Meanwhile the operator takes an evacuation back and then orders
 * it again. Both orders are acknowledged by the other core machines. Checks EVAC while consumers send requests.
 */
#include "../common-2/standins.h"

using namespace review;

namespace
{

constexpr auto FreezeTime = Millis(1200);
constexpr auto EvacuateBound = Millis(5000);
constexpr auto ContactWindow = Millis(3000);
constexpr auto CycleTime = Millis(8000);
constexpr unsigned Cycles = 12;
constexpr const char *Zone = "ravne";
constexpr unsigned Fronts = 3;

/** Consumers that send ten requests a second to each front machine. */
class Traffic
{
public:
    explicit Traffic(const Deployment &deployment)
    {
        for (unsigned front = 0; front < Fronts; ++front) {
            m_threads.emplace_back([this, address = deployment.front(front)]() {
                while (!m_isStopped) {
                    const auto seen = request(address, "loans");
                    ++m_sent;
                    m_served += seen.status == 200 ? 1 : 0;
                    sleepFor(Millis(75));
                }
            });
        }
    }
    ~Traffic()
    {
        m_isStopped = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
    }
    unsigned sent() const
    {
        return m_sent;
    }
    unsigned served() const
    {
        return m_served;
    }

private:
    std::atomic<bool> m_isStopped{false};
    std::atomic<unsigned> m_sent{0};
    std::atomic<unsigned> m_served{0};
    std::vector<std::thread> m_threads;
};

/** The requests that endpoints of the evacuated zone ran from @p start on. */
std::size_t runsInZone(const std::vector<std::unique_ptr<Endpoint>> &endpoints, Clock::time_point start)
{
    std::size_t count = 0;
    for (unsigned number = 0; number < endpoints.size(); ++number) {
        for (const auto &each : endpoints[number]->runs()) {
            count += Deployment::zone(number) == std::string(Zone) && each.at >= start ? 1 : 0;
        }
    }
    return count;
}

int run(Record &record)
{
    Deployment deployment(Fronts);
    const Operator oper(deployment.controls(), record);
    if (oper.order("PUT", "/config", document(7, 0, {{"loans", "alpha"}}, {"alpha"}), 0, Millis(15000)) != 200) {
        throw CannotRun{"the first configuration is not accepted"};
    }
    deployment.awaitReady(Millis(15000));
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (unsigned number = 0; number < 6; ++number) {
        endpoints.push_back(std::make_unique<Endpoint>("i-" + std::to_string(number),
                                                       "alpha",
                                                       Deployment::zone(number),
                                                       deployment.endpointAddress(number),
                                                       deployment.controls()));
    }
    sleepFor(Millis(2000));
    const std::string path = std::string("/evacuate/") + Zone;
    if (oper.order("POST", path, "", 0) != 200) {
        throw CannotRun{"the first evacuation is not confirmed"};
    }
    const Traffic traffic(deployment);
    sleepFor(Millis(1000));
    std::size_t broken = 0;
    unsigned cycle = 0;
    while (broken == 0 && ++cycle <= Cycles) {
        const auto start = Clock::now();
        const std::size_t frozen = 1 + cycle % 2;
        std::this_thread::sleep_until(start + Millis(500));
        if (hasTrouble()) {
            record.write("cycle %u: core %zu freezes (SIGSTOP)", cycle, frozen);
            deployment.cores[frozen]->signal(SIGSTOP);
        }
        std::thread thaw([&]() {
            std::this_thread::sleep_until(start + Millis(500) + FreezeTime);
            if (hasTrouble()) {
                deployment.cores[frozen]->signal(SIGCONT);
                record.write("cycle %u: core %zu wakes again (SIGCONT)", cycle, frozen);
            }
        });
        const bool isTakenBack = oper.order("DELETE", path, "", frozen) == 200;
        const bool isOrderedAgain = oper.order("POST", path, "", 0) == 200;
        const auto confirmed = Clock::now();
        thaw.join();
        const auto thawed = Clock::now();
        if (!isTakenBack || !isOrderedAgain) {
            throw CannotRun{"an order of the operator is not confirmed"};
        }
        // From then on every machine is in touch and the bound of EVAC has passed.
        const auto binds = std::max(confirmed + EvacuateBound, thawed + ContactWindow) + Millis(200);
        std::this_thread::sleep_until(std::max(start + CycleTime, binds + Millis(1000)));
        broken = runsInZone(endpoints, binds);
        record.write("cycle %u: %zu requests ran in %s later than %.1f s after the confirmation of its evacuation",
                     cycle,
                     broken,
                     Zone,
                     std::chrono::duration<double>(binds - confirmed).count());
    }
    record.write("%u of %u requests served", traffic.served(), traffic.sent());
    if (traffic.served() < traffic.sent() / 2) {
        throw CannotRun{"too few requests are served for a check"};
    }
    return broken > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main()
{
    return review::runCase("review/7/record.txt", run);
}
