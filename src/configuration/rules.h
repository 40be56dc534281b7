/**
 * @file
 * Rules between keys: names that must exist, values that must differ or bound each other.
 */
#pragma once

#include "configuration/model.h"
#include "configuration/parser.h"
#include "configuration/toml.h"

#include <vector>

namespace pimentoshed::configuration
{

/** Adds to @p mistakes what @p configuration, read from @p root, breaks. */
void checkRules(const toml::table &root, const Configuration &configuration, std::vector<Mistake> &mistakes);

} // namespace pimentoshed::configuration
