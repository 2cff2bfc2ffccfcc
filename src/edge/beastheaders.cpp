#include "edge/beastheaders.h"

namespace Filbertmount {

Headers headersOf(const boost::beast::http::fields &fields)
{
    Headers headers;
    for (const auto &field : fields) {
        headers.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
    }
    return headers;
}

} // namespace Filbertmount
