/**
 * @file
 * Decides whether a request is taken on: the host is configured, and the body of the request has arrived.
 */
#pragma once

#include "entry/activerequest.h"
#include "entry/callerhandlerdependencies.h"

namespace pimentoshed::entry
{

/** What a request passes before it competes for targets. */
class RequestAdmission
{
public:
    explicit RequestAdmission(const CallerHandlerDependencies &dependencies);

    /**
     * On a host that has just started, lets a request wait for the first configuration: refused, it would come back
     * later than that. Returns whether the caller is still connected.
     */
    bool awaitConfiguration(http::Exchange &exchange) const;

    /**
     * Reads a small body, or the start of a long one, before a target is chosen, so that a slow caller doesn't occupy
     * one, and one that leaves while its request waits is noticed. Errors: those of http::RequestBody, CallerTooSlow.
     */
    core::Status prefetchBody(const ActiveRequest &request) const;

private:
    const CallerHandlerDependencies &m_dependencies;
};

} // namespace pimentoshed::entry
