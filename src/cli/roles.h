/**
 * @file
 * The subcommands that run a host until it is told to stop.
 */
#pragma once

#include "cli/commands.h"

namespace CLI
{
class App;
}

namespace pimentoshed::cli
{

void addControl(CLI::App &app, ExitCode &exitCode);
void addEntry(CLI::App &app, ExitCode &exitCode);

} // namespace pimentoshed::cli
