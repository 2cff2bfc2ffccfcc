#pragma once

#include <filbertmount/proxy/httpmessage.h>

#include <boost/beast/http/fields.hpp>

namespace Filbertmount {

/** Returns the header fields of a parsed message in their order. */
Headers headersOf(const boost::beast::http::fields &fields);

} // namespace Filbertmount
