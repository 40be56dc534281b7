#include "processes/platformfleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace pimentoshed;
using namespace pimentoshed::processes;
using namespace std::chrono_literals;

namespace
{

bool isServed(const core::Result<http::ClientAnswer> &answer)
{
    return core::ok(answer) && core::value(answer).status == 200;
}

/** Replaces the file @p path at once by one with @p text. */
void replaceFile(const std::string &path, const std::string &text)
{
    const auto next = path + ".next";
    std::ofstream(next) << text;
    std::filesystem::rename(next, path);
}

/** A settings file at which the first host that reads it waits until it is given the text. */
class PendingSettings
{
public:
    PendingSettings()
    {
        constexpr mode_t OwnerMayUse = 0600;
        REQUIRE(mkfifo(path().c_str(), OwnerMayUse) == 0);
    }

    std::string path() const
    {
        return m_folder.path() / "settings.toml";
    }

    /** Waits until a host reads the file. Returns whether that happened within 5 s. */
    bool awaitReader()
    {
        return eventually(
            [this]() {
                m_descriptor = open(path().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
                return m_descriptor >= 0;
            },
            5s);
    }

    /** Gives @p text to the host that waits for it and to those that read the file later. */
    void give(const std::string &text)
    {
        replaceFile(path(), text);
        // A host that has ended can't take the text, which shows in its exit code.
        std::signal(SIGPIPE, SIG_IGN);
        [[maybe_unused]] const auto written = write(m_descriptor, text.data(), text.size());
        close(m_descriptor);
    }

private:
    const support::TemporaryFolder m_folder;
    int m_descriptor = -1;
};

/**
 * Ends @p host and starts it again in the role @p role with @p text as its settings. It gets SIGHUP while it reads
 * them.
 */
void restartWithEarlySignal(Process &host, const std::string &role, PendingSettings &settings, const std::string &text)
{
    host.signal(SIGKILL);
    host.wait();
    host = Process({"/usr/bin/env", "PIMENTOSHED_CONFIG=" + settings.path(), PIMENTOSHED_BINARY, "platform", role});
    REQUIRE(settings.awaitReader());
    host.signal(SIGHUP);
    settings.give(text);
}

} // namespace

// Guards against hosts that a changed settings file ends while they start.
TEST_CASE("SIGHUP while a host reads its settings for the first time doesn't end it")
{
    PlatformFleet fleet(160, 1);
    PlatformTarget target("i-fast", fleet.targetAddress(0), 1ms, succeed);
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    PendingSettings settings;
    SECTION("entry host")
    {
        restartWithEarlySignal(fleet.entry(0), "entry", settings, support::readFile(fleet.entrySettings(0)));
        CHECK(fleet.waitUntilServing());
    }
    SECTION("control host")
    {
        restartWithEarlySignal(fleet.control(), "control", settings, support::readFile(fleet.controlSettings(0)));
        CHECK(eventually(
            [&fleet]() {
                return isServed(sendRequest(fleet.controlAddress(), "/config"));
            },
            5s));
    }
}

// Guards against requests that end without an answer, and stops that come late, because of changed settings.
TEST_CASE("a series of SIGHUP with settings that are missing or half written costs no request and delays no stop")
{
    PlatformFleet fleet(161, 1, 3s);
    PlatformTarget target("i-slow", fleet.targetAddress(0), 150ms, succeed);
    REQUIRE(target.announce(fleet.controlAddress()) == 200);
    REQUIRE(fleet.waitUntilServing());
    std::atomic<bool> isOver{false};
    std::thread changes([&]() {
        const auto path = fleet.entrySettings(0);
        const auto text = support::readFile(path);
        for (std::size_t i = 0; !isOver; ++i) {
            if (i % 7 == 0) {
                std::filesystem::remove(path);
            } else {
                replaceFile(path, i % 7 == 1 ? text : text.substr(0, text.size() * (i % 7) / 7));
            }
            fleet.entry(0).signal(SIGHUP);
            fleet.control().signal(SIGHUP);
            std::this_thread::sleep_for(200us);
        }
    });
    const auto answers = fleet.load(20, 1s);
    CHECK(std::all_of(answers.begin(), answers.end(), isServed));
    std::vector<core::Result<http::ClientAnswer>> last(6, core::Error{});
    std::vector<std::thread> callers;
    const auto before = target.requests().size();
    for (std::size_t i = 0; i < last.size(); ++i) {
        callers.emplace_back([&fleet, &answer = last[i], i]() {
            answer = fleet.request(0, i % 2 == 0 ? "GET" : "POST");
        });
    }
    CHECK(eventually(
        [&]() {
            return target.requests().size() == before + last.size();
        },
        1s));
    const auto stopped = core::steadyNow();
    fleet.entry(0).signal(SIGTERM);
    fleet.entry(0).signal(SIGTERM);
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(std::all_of(last.begin(), last.end(), isServed));
    CHECK(eventually(
        [&fleet]() {
            return !core::ok(fleet.request(0));
        },
        PlatformFleet::GracePeriod));
    CHECK(core::steadyNow() - stopped < PlatformFleet::GracePeriod);
    isOver = true;
    changes.join();
    CHECK(fleet.entry(0).wait() == 0);
}
