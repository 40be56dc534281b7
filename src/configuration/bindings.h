/**
 * @file
 * Where the value of each key goes in the model.
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

/** A value of a type that its key takes, within its bounds. */
using Value = std::variant<std::int64_t, double, bool, std::string, std::vector<std::string>>;

/** Stores the value of one key. */
using ValueSetter = std::function<void(Key, const Value &)>;

/** The default of @p row, which must not be required. */
Value defaultOf(const KeyRow &row);

/** A store into @p configuration for the keys of Section::File. */
ValueSetter storeInto(Configuration &configuration);
ValueSetter storeInto(Limits &limits);
ValueSetter storeInto(Institution &institution);
ValueSetter storeInto(ControlHost &host);
ValueSetter storeInto(Service &service);

} // namespace pimentoshed::configuration
