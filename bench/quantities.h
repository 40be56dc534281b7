/**
 * @file
 * What a size needs of each role, worked out from the slopes.
 */
#pragma once

#include "measures.h"
#include "sizes.h"

#include <array>

namespace pimentoshed::bench
{

/** Both sizes with the entry hosts that each needs. */
std::array<Size, 2> bothSizes(const Results &results);

/** A request and an answer per host and hold. */
double followMessages(const Size &size);

double followMessagesOfOne(const Size &);

/** A renewal and its answer per target and second, at one of the entry hosts. */
double renewalMessages(const Size &size);

double reportMessages(const Size &size);

double newsMessages(const Size &size);

double standingMessages(const Size &size);

double standingMessagesOfOne(const Size &size);

/** What an entry host spends does not rise with their number; the largest fleet has the fewest renewals in it. */
double entryRestCpu(const Results &results);

/** The calls of @p size's entry hosts; services only count where the fit by services shows more than its residual. */
double controlCpu(const Results &results, const Size &size);

/** Bytes a second, where each change carries @p changeBytes to each entry host. */
double controlBytesAt(const Results &results, const Size &size, double changeBytes);

double controlBytes(const Results &results, const Size &size);

double controlMemory(const Results &results, const Size &size);

/** Renewals, follow calls and changes; requests are not control. */
double entryCpu(const Results &results, const Size &size);

/** Bytes a second, where each change carries @p changeBytes and targets renew every @p renewalSeconds. */
double entryBytesAt(const Results &results, const Size &size, double changeBytes, double renewalSeconds);

double entryBytes(const Results &results, const Size &size);

double entryMemory(const Results &results, const Size &size);

} // namespace pimentoshed::bench
