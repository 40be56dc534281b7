/**
 * @file
 * The subcommands that operators use: check, apply, take-out, return, state, addresses.
 */
#pragma once

#include "cli/commands.h"

namespace CLI
{
class App;
}

namespace pimentoshed::cli
{

void addOperatorCommands(CLI::App &app, ExitCode &exitCode);

} // namespace pimentoshed::cli
