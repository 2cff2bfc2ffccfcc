#pragma once

#include <filbertmount/types/ids.h>

#include <functional>

namespace filbertmount::peer { // NOLINT(readability-identifier-naming): protoc derives the name from the package.
class Envelope;
} // namespace filbertmount::peer

namespace Filbertmount {

/** Namespace of the generated protobuf messages. */
namespace Wire = ::filbertmount::peer;

/** Queues a message to one peer. Never blocks; the message may be lost, duplicated, reordered or delayed. */
using PeerSender = std::function<void(const InstanceId &to, Wire::Envelope message)>;

} // namespace Filbertmount
