#pragma once

#include "edge/clientconnection.h"

#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/routing/placement.h>

namespace Filbertmount {

/**
 * Reads what @p response states about further requests.
 *
 * @param incarnation of the upstream that the request was sent to
 */
UpstreamSignals readSignals(const ClientResponse &response, const HttpDialect &dialect, Incarnation incarnation);

} // namespace Filbertmount
