/**
 * @file
 * Entry hosts and leaders with clocks of their own, over a network that loses, delays and repeats messages.
 */
#pragma once

#include "core/random.h"
#include "quotas/allocator.h"
#include "quotas/leaseholder.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace pimentoshed::quotas::testing
{

/** What goes wrong in a schedule. */
struct Faults {
    double lost = 0;
    double late = 0;
    double repeated = 0;
    /** Seconds between two events of each kind, on average; 0 for none. */
    double leaderChange = 0;
    double cut = 0;
    double freeze = 0;
    double restart = 0;
    /** Clocks run up to this part faster or slower than the true one. */
    double clockDrift = 0;
};

class Fleet
{
public:
    static constexpr double Cycle = 12;
    using Workspaces = std::vector<configuration::Workspace>;

    Fleet(std::uint64_t seed, std::size_t hosts, Workspaces workspaces, Faults faults)
        : m_random(core::seededRandom(seed))
        , m_faults(faults)
        , m_workspaces(std::move(workspaces))
        , m_hosts(hosts)
        , m_leaders(3)
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            m_names.emplace_back("host-" + std::to_string(index));
        }
        for (std::size_t index = 0; index < hosts; ++index) {
            m_hosts[index].clock = randomClock();
            start(index);
        }
        for (auto &leader : m_leaders) {
            leader.clock = randomClock();
        }
        elect(0);
        startFaults();
    }

    /** In the first @p length seconds of each Cycle, callers send @p perSecond requests of a workspace to a host. */
    void ask(std::size_t host, std::size_t workspace, double perSecond, double length = Cycle)
    {
        after(exponential(1 / perSecond), [this, host, workspace, perSecond, length]() {
            if (std::fmod(m_now, Cycle) < length) {
                onHost(host, [this, host, workspace]() {
                    arrive(host, workspace);
                });
            }
            ask(host, workspace, perSecond, length);
        });
    }

    void runUntil(double seconds)
    {
        while (!m_events.empty() && m_events.top().at <= seconds) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            (*event.action)();
        }
        m_now = seconds;
    }

    /** Changes the limits: first at the leader, then within a second at each host. */
    void configure(const Workspaces &workspaces)
    {
        m_workspaces = workspaces;
        if (m_leader) {
            m_leaders[*m_leader].allocator.configure(m_workspaces, localTime(m_leaders[*m_leader].clock));
        }
        for (auto &host : m_hosts) {
            after(fraction(), [this, &host]() {
                host.workspaces = m_workspaces;
            });
        }
    }

    double now() const
    {
        return m_now;
    }

    /** The most requests of a workspace that ran in a Window that began within [from, to). */
    std::size_t mostInWindow(std::size_t workspace, double from = 0, double to = 1e9) const
    {
        const auto found = m_runs.find(workspace);
        std::size_t most = 0;
        if (found == m_runs.end()) {
            return most;
        }
        auto runs = found->second;
        std::sort(runs.begin(), runs.end());
        std::size_t end = 0;
        for (std::size_t begin = 0; begin < runs.size(); ++begin) {
            while (end < runs.size() && runs[end] <= runs[begin] + core::toSeconds(Window)) {
                ++end;
            }
            most = runs[begin] >= from && runs[begin] < to ? std::max(most, end - begin) : most;
        }
        return most;
    }

    std::size_t runCount(std::size_t workspace) const
    {
        const auto found = m_runs.find(workspace);
        return found == m_runs.end() ? 0 : found->second.size();
    }

    std::size_t asked = 0;
    std::size_t calls = 0;
    std::map<Verdict, std::size_t> verdicts;

private:
    struct Clock {
        double rate = 1;
        double offset = 0;
    };

    struct Host {
        Clock clock;
        Workspaces workspaces;
        std::unique_ptr<LeaseHolder> holder;
        CallNumber nextProcess = 1;
        unsigned process = 0;
        double cutUntil = 0;
        double frozenUntil = 0;
        bool isTicking = false;
    };

    struct Leader {
        Clock clock;
        Allocator allocator;
    };

    struct Event {
        double at;
        std::uint64_t number;
        std::shared_ptr<std::function<void()>> action;

        bool operator<(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    double fraction()
    {
        return core::randomFraction(m_random);
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - fraction());
    }

    bool happens(double probability)
    {
        return probability > 0 && fraction() < probability;
    }

    Clock randomClock()
    {
        return {1 + m_faults.clockDrift * (2 * fraction() - 1), 1000 * fraction()};
    }

    core::TimePoint localTime(const Clock &clock) const
    {
        const std::chrono::duration<double> time(clock.offset + clock.rate * m_now);
        return core::TimePoint(std::chrono::duration_cast<core::Duration>(time));
    }

    void after(double delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_lastEvent, std::make_shared<std::function<void()>>(std::move(action))});
    }

    /** Runs @p action on a host, at once or when it is no longer frozen; not after a restart. */
    void onHost(std::size_t index, std::function<void()> action)
    {
        const auto process = m_hosts[index].process;
        if (m_hosts[index].frozenUntil > m_now) {
            after(m_hosts[index].frozenUntil - m_now + fraction() / 1000, [this, index, process, action]() {
                if (m_hosts[index].process == process) {
                    onHost(index, action);
                }
            });
            return;
        }
        action();
        tickLater(index);
    }

    void tickLater(std::size_t index)
    {
        if (m_hosts[index].isTicking || !m_hosts[index].holder->needsTick()) {
            return;
        }
        m_hosts[index].isTicking = true;
        const auto process = m_hosts[index].process;
        after(0.02, [this, index, process]() {
            if (m_hosts[index].process == process) {
                onHost(index, [this, index]() {
                    m_hosts[index].isTicking = false;
                    m_hosts[index].holder->tick();
                });
            }
        });
    }

    void start(std::size_t index)
    {
        auto &host = m_hosts[index];
        ++host.process;
        host.isTicking = false;
        host.workspaces = m_workspaces;
        host.nextProcess += 1'000'000;
        host.holder =
            std::make_unique<LeaseHolder>(LeaseHolder::Dependencies{m_names[index],
                                                                    host.nextProcess,
                                                                    [this, index]() {
                                                                        return localTime(m_hosts[index].clock);
                                                                    },
                                                                    [this, index](const LeaseCall &call) {
                                                                        send(index, call);
                                                                    },
                                                                    nullptr});
        host.holder->setHosts(m_names);
    }

    void arrive(std::size_t index, std::size_t workspace)
    {
        ++asked;
        spend(index, workspace);
    }

    void spend(std::size_t index, std::size_t workspace)
    {
        const auto process = m_hosts[index].process;
        const auto latest = localTime(m_hosts[index].clock) + std::chrono::milliseconds(100);
        m_hosts[index].holder->spend(
            m_hosts[index].workspaces[workspace], latest, [this, index, workspace, process](const Decision &decision) {
                ++verdicts[decision.verdict];
                if (decision.verdict != Verdict::Admitted) {
                    return;
                }
                // It waits for a target, some of them for long.
                after(happens(0.1) ? 0.4 * fraction() : 0, [this, index, workspace, process, token = decision.token]() {
                    if (m_hosts[index].process == process) {
                        onHost(index, [this, index, workspace, token]() {
                            sendRequest(index, workspace, token);
                        });
                    }
                });
            });
    }

    void sendRequest(std::size_t index, std::size_t workspace, const Token &token)
    {
        if (localTime(m_hosts[index].clock) > token.validUntil) {
            spend(index, workspace);
        } else if (happens(0.02)) {
            m_hosts[index].holder->giveBack(m_hosts[index].workspaces[workspace], token);
        } else {
            m_runs[workspace].push_back(m_now);
        }
    }

    double delay()
    {
        return happens(m_faults.late) ? 3 * fraction() : 0.001 + 0.003 * fraction();
    }

    void send(std::size_t index, const LeaseCall &call)
    {
        ++calls;
        const auto process = m_hosts[index].process;
        const auto finish = [this, index, process, number = call.number](const core::Result<LeaseAnswer> &answer) {
            if (m_hosts[index].process == process) {
                onHost(index, [this, index, number, answer]() {
                    m_hosts[index].holder->receive(number, answer);
                });
            }
        };
        after(core::toSeconds(LeaseHolder::CallTimeout), [finish]() {
            finish(core::Error{core::ErrorCode::PeerUnreachable, "timeout"});
        });
        const int copies = happens(m_faults.lost) ? 0 : happens(m_faults.repeated) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            after(delay() + copy * 0.5 * fraction(), [this, index, call, finish, copy]() {
                if (m_hosts[index].cutUntil > m_now) {
                    return;
                }
                LeaseAnswer answer;
                if (m_leader) {
                    auto &leader = m_leaders[*m_leader];
                    answer = leader.allocator.answer(call, localTime(leader.clock));
                }
                if (copy > 0 || happens(m_faults.lost)) {
                    return;
                }
                after(delay(), [this, index, answer, finish]() {
                    if (m_hosts[index].cutUntil <= m_now) {
                        finish(answer);
                    }
                });
            });
        }
    }

    void elect(std::size_t leader)
    {
        m_leader = leader;
        const auto now = localTime(m_leaders[leader].clock);
        m_leaders[leader].allocator.restart(now);
        m_leaders[leader].allocator.configure(m_workspaces, now);
    }

    void repeat(double mean, const std::function<void()> &action)
    {
        if (mean > 0) {
            after(exponential(mean), [this, mean, action]() {
                action();
                repeat(mean, action);
            });
        }
    }

    void startFaults()
    {
        repeat(m_faults.leaderChange, [this]() {
            // A leader that hands over is replaced at once, a lost one after an election.
            m_leader.reset();
            after(happens(0.3) ? 0.005 : 0.6 + fraction(), [this]() {
                elect(core::randomBelow(m_random, m_leaders.size()));
            });
        });
        repeat(m_faults.cut, [this]() {
            // At times half of the hosts at once.
            const auto count = happens(0.3) ? m_hosts.size() / 2 : 1;
            const auto end = m_now + 8 * fraction();
            for (std::size_t cut = 0; cut < count; ++cut) {
                m_hosts[core::randomBelow(m_random, m_hosts.size())].cutUntil = end;
            }
        });
        repeat(m_faults.freeze, [this]() {
            m_hosts[core::randomBelow(m_random, m_hosts.size())].frozenUntil = m_now + 4 * fraction();
        });
        repeat(m_faults.restart, [this]() {
            start(core::randomBelow(m_random, m_hosts.size()));
        });
    }

    core::RandomSource m_random;
    const Faults m_faults;
    Workspaces m_workspaces;
    std::vector<Host> m_hosts;
    std::vector<core::HostId> m_names;
    std::vector<Leader> m_leaders;
    std::optional<std::size_t> m_leader;
    double m_now = 0;
    std::uint64_t m_lastEvent = 0;
    std::priority_queue<Event> m_events;
    std::map<std::size_t, std::vector<double>> m_runs;
};

} // namespace pimentoshed::quotas::testing
