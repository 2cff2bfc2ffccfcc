#pragma once

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace Filbertmount {

/** The step of the work in which an error arose. */
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

/** An error with the step and the peer at which it arose. */
struct Failure {
    Step step = Step::Administration;
    /** Address or name of the other side; empty when no other side is involved. */
    std::string peer;
    std::string reason;
};

/** Returns "step: peer: reason", leaving an empty peer out. */
std::string describe(const Failure &failure);

template<class T>
using Result = boost::leaf::result<T>;

} // namespace Filbertmount
