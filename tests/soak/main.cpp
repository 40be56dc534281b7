#include "soak/soak.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

using namespace pimentoshed;

int main(int argc, char **argv)
{
    soak::SoakSettings settings;
    double minutes = 1;
    CLI::App app("Runs the system's processes under faults and checks what it promises");
    app.add_option("--seed", settings.seed, "Seed of the schedule")->capture_default_str();
    app.add_option("--minutes", minutes, "Length")->check(CLI::Range(0.2, 600.0))->capture_default_str();
    app.add_option("--processes", settings.processes, "Number of processes")
        ->check(CLI::Range(10, 250))
        ->capture_default_str();
    app.add_option("--subnet", settings.subnet, "Second number of the loopback addresses")
        ->check(CLI::Range(40, 250))
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    settings.length =
        std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::ratio<60>>(minutes));
    try {
        return soak::runSoak(settings).broken.empty() ? 0 : 1;
    } catch (const std::exception &failure) {
        fmt::print(stderr, "the soak can't run: {}\n", failure.what());
        constexpr int NotRun = 2;
        return NotRun;
    }
}
