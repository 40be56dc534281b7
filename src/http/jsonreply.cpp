#include "http/jsonreply.h"

#include <nlohmann/json.hpp>

namespace pimentoshed::http
{

Reply jsonReply(boost::beast::http::status status, const nlohmann::json &body)
{
    Reply reply;
    reply.status = status;
    // Input from outside may not be valid UTF-8. Invalid bytes are replaced, as dump() would throw on them.
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return reply;
}

Reply errorReply(boost::beast::http::status status, const core::Error &error)
{
    return jsonReply(
        status,
        {{"code", static_cast<unsigned>(error.code)}, {"name", core::errorName(error.code)}, {"detail", error.detail}});
}

Reply notFound()
{
    return errorReply(boost::beast::http::status::not_found, {core::ErrorCode::RequestMalformed, "no such path"});
}

} // namespace pimentoshed::http
