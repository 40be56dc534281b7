/**
 * @file
 * Maps each key of the operator's file to its member of the model.
 */
#pragma once

#include "configuration/keys.h"
#include "configuration/model.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoshed::configuration
{

/** The value of a key, already checked against the type, bounds and format of the key. */
using Value = std::variant<std::int64_t, double, bool, std::string, std::vector<std::string>>;

/** Stores the value of a key in the model; does nothing for keys without a binding. */
using ValueSetter = std::function<void(Key, const Value &)>;

/** Returns the default of @p row. The key must have one. */
Value defaultOf(const KeyRow &row);

/**
 * Returns a hook that stores the keys of Section::File in @p configuration, which must outlive it. The overloads do the
 * same for the keys of their own section.
 */
ValueSetter setterFor(Configuration &configuration);
ValueSetter setterFor(Limits &limits);
ValueSetter setterFor(Institution &institution);
ValueSetter setterFor(Workspace &workspace);
ValueSetter setterFor(ControlHost &host);
ValueSetter setterFor(Service &service);

} // namespace pimentoshed::configuration
