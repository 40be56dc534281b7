/**
 * @file
 * Messages, processor time, bytes and memory of each role at a given size, computed from the fitted lines.
 */
#pragma once

#include "measures.h"
#include "sizes.h"

#include <array>

namespace pimentoshed::bench
{

/** Today's size and the expected one, whose entry hosts follow from the measured processor time of a request. */
std::array<Size, 2> bothSizes(const Results &results);

/** Messages a second of all entry hosts' follow calls: a request and a response for each long poll. */
double followMessages(const Size &size);

/** As followMessages(), for one entry host. */
double followMessagesPerEntryHost(const Size &);

/** Messages a second of the renewals at one entry host: a request and a response per target and second. */
double renewalMessages(const Size &size);

/** Messages a second that report changes of targets to a control host, with their responses. */
double reportMessages(const Size &size);

/** Messages a second that notify the entry hosts of changes of targets. */
double targetChangeMessages(const Size &size);

/** Messages a second that notify the entry hosts of changes of the configuration. */
double configurationMessages(const Size &size);

/** As configurationMessages(), for one entry host. */
double configurationMessagesPerEntryHost(const Size &size);

/**
 * Processor time of an entry host at rest, in us/s. It does not rise with the number of entry hosts; the value at the
 * largest fleet is used because it includes the fewest renewals.
 */
double entryIdleCpu(const Results &results);

/**
 * Processor time of a control host for the calls of all entry hosts, in us/s. The number of services counts only if its
 * effect is more than twice the residual of its fit.
 */
double controlCpu(const Results &results, const Size &size);

/** Bytes a second of a control host, if each change sends @p changeBytes to each entry host. */
double controlBytesAt(const Results &results, const Size &size, double changeBytes);

/** As controlBytesAt(), if each change sends the whole configuration. */
double controlBytes(const Results &results, const Size &size);

/** Resident memory of a control host, in bytes. */
double controlMemory(const Results &results, const Size &size);

/** Processor time of an entry host for renewals, follow calls and changes, in us/s, without callers' requests. */
double entryCpu(const Results &results, const Size &size);

/** Bytes a second of an entry host, if each change sends @p changeBytes and targets renew every @p renewalSeconds. */
double entryBytesAt(const Results &results, const Size &size, double changeBytes, double renewalSeconds);

/** As entryBytesAt(), if each change sends the whole configuration and targets renew every second. */
double entryBytes(const Results &results, const Size &size);

/** Resident memory of an entry host, in bytes. */
double entryMemory(const Results &results, const Size &size);

} // namespace pimentoshed::bench
