#include "telemetry/exposition.h"

#include <utility>

namespace pimentoshed::telemetry
{

http::Handler withMetrics(Registry &registry, http::Handler next)
{
    return [&registry, next = std::move(next)](http::Exchange &exchange) {
        if (exchange.path() != "/metrics" || exchange.method() != "GET") {
            next(exchange);
            return;
        }
        http::Reply reply;
        reply.contentType = "text/plain; version=0.0.4; charset=utf-8";
        reply.body = registry.expose();
        exchange.send(reply);
    };
}

} // namespace pimentoshed::telemetry
