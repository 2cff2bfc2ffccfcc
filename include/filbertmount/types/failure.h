#pragma once

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace Filbertmount {

/** The operation during which an error occurred. */
enum class Step {
    ReadSettings,
    ReadDocument,
    StoreRead,
    StoreWrite,
    StoreWatch,
    PeerSend,
    PeerReceive,
    Place,
    Claim,
    Connect,
    SendRequest,
    ReadAnswer,
    Probe,
    Administration,
};

/** Returns the name of @p step as it appears in logs and error messages, such as "store-write". */
std::string_view stepName(Step step);

/** An error with the operation that failed and the remote side or file involved. */
struct Failure {
    Step step = Step::Administration;
    /** Address or name of the remote side, or a file name; empty if neither is involved. */
    std::string peer;
    std::string reason;
};

/** Returns "step: peer: reason", or "step: reason" if the peer is empty. */
std::string describe(const Failure &failure);

template<class T>
using Result = boost::leaf::result<T>;

} // namespace Filbertmount
