#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/routes/routeset.h>

#include <absl/container/flat_hash_map.h>

namespace Filbertmount {

/** Determines the priority of a request from the ranks of its account and its route. */
class RequestRanks
{
public:
    RequestRanks() = default;
    explicit RequestRanks(const RouteSet &routes);

    /**
     * Returns the priority of a request to @p service, which is a target of @p route. It is urgent if no request of the service
     * can have a lower rank. The rank of an account takes precedence; @p account is null if the request needs none.
     */
    [[nodiscard]] Priority priorityOf(const ForwardRoute &route, const ClientAccount *account, const ServiceName &service) const;
    /** Returns the rank of such a request among those of the service; 0 if it is urgent. */
    [[nodiscard]] std::uint8_t rankOf(const ForwardRoute &route, const ClientAccount *account, const ServiceName &service) const;

private:
    /** Lowest rank of the requests of each service. */
    absl::flat_hash_map<ServiceName, int> m_mostUrgent;
};

} // namespace Filbertmount
