#include <filbertmount/types/failure.h>

namespace Filbertmount {

std::string_view stepName(Step step)
{
    switch (step) {
    case Step::ReadSettings:
        return "read-settings";
    case Step::ReadDocument:
        return "read-document";
    case Step::StoreRead:
        return "store-read";
    case Step::StoreWrite:
        return "store-write";
    case Step::StoreWatch:
        return "store-watch";
    case Step::PeerSend:
        return "peer-send";
    case Step::PeerReceive:
        return "peer-receive";
    case Step::Place:
        return "place";
    case Step::Claim:
        return "claim";
    case Step::Connect:
        return "connect";
    case Step::SendRequest:
        return "send-request";
    case Step::ReadAnswer:
        return "read-answer";
    case Step::Probe:
        return "probe";
    case Step::Administration:
        return "administration";
    }
    return "unknown";
}

std::string describe(const Failure &failure)
{
    // No absl::StrCat: Debian builds Abseil with its own string_view, so StrCat does not accept std::string_view.
    std::string text(stepName(failure.step));
    if (!failure.peer.empty()) {
        text.append(": ").append(failure.peer);
    }
    return text.append(": ").append(failure.reason);
}

} // namespace Filbertmount
