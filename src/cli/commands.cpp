#include "cli/commands.h"

#include "cli/hostcommands.h"
#include "cli/operatorcommands.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace pimentoshed::cli
{

int run(int argc, const char *const *argv, const CommandAdder &addMore)
{
    CLI::App app("pimentoshed: a load balancer for servers whose load shifts in milliseconds");
    app.require_subcommand(1);
    auto exitCode = ExitCode::Success;
    addInitCommand(app, exitCode);
    addControlCommand(app, exitCode);
    addEntryCommand(app, exitCode);
    addOperatorCommands(app, exitCode);
    if (addMore) {
        addMore(app, exitCode);
    }
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success &success) {
        return app.exit(success);
    } catch (const CLI::ParseError &failure) {
        fmt::print(stderr, "E1001 setting-invalid: {}\n", failure.what());
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(exitCode);
}

} // namespace pimentoshed::cli
