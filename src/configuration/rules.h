/**
 * @file
 * Rules that concern several keys: names that must exist, values that must differ or limit each other.
 */
#pragma once

#include "configuration/model.h"
#include "configuration/parser.h"
#include "configuration/toml.h"

#include <vector>

namespace pimentoshed::configuration
{

/** Adds a mistake for each violation by @p configuration, at its position in @p root, which it was read from. */
void checkRules(const toml::table &root, const Configuration &configuration, std::vector<Mistake> &mistakes);

} // namespace pimentoshed::configuration
