/**
 * @file
 * Digests of callers' keys.
 */
#pragma once

#include "configuration/model.h"

#include <string_view>

namespace pimentoshed::configuration
{

/**
 * Returns the SHA-256 digest (FIPS 180-4) of @p key. It needs no salt: keys are long and random, unlike passwords, and
 * a salt for each key would make a look-up try every key.
 */
KeyDigest digestOfKey(std::string_view key);

} // namespace pimentoshed::configuration
