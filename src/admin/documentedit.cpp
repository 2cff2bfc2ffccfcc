#include <filbertmount/admin/documentedit.h>

#include <filbertmount/document/documentvalue.h>

#include <absl/strings/escaping.h>
#include <boost/leaf/handle_errors.hpp>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace Filbertmount {

namespace {

std::optional<DocumentValue> decode(const StoreObject &object)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<DocumentValue>> {
            BOOST_LEAF_AUTO(value, decodeDocumentValue(object.value, object.key));
            return std::optional(std::move(value));
        },
        []() -> std::optional<DocumentValue> {
            return std::nullopt;
        });
}

EditPlan refuse(EditReply reply)
{
    return {.reply = std::move(reply)};
}

std::string encodeChanged(const DocumentEdit &edit, const DocumentValue &previous, const StoreReply &current)
{
    DocumentValue value{.document = edit.text,
                        .team = edit.team,
                        .author = edit.author,
                        .changeId = edit.changeId,
                        .deleted = edit.deleted,
                        .history = previous.history};
    value.history.push_back({.predecessor = current.object.revision,
                             .author = edit.author,
                             .time = current.time,
                             .changeId = edit.changeId,
                             .deleted = edit.deleted,
                             .text = edit.text});
    return encodeDocumentValue(value);
}

EditPlan planForAbsent(const DocumentEdit &edit, const StoreReply &current)
{
    if (edit.deleted) {
        return refuse({.outcome = EditOutcome::NotFound, .reason = "there is no such document"});
    }
    if (edit.expected != AbsentRevision) {
        return refuse({.outcome = EditOutcome::Conflict, .reason = "there is no such document, but the change is based on one"});
    }
    return {.value = encodeChanged(edit, {}, current), .expected = AbsentRevision};
}

EditPlan planForExisting(const DocumentEdit &edit, const DocumentValue &previous, const StoreReply &current)
{
    if (previous.team != edit.team) {
        const std::string owner = previous.team.value();
        return refuse({.outcome = EditOutcome::Forbidden, .reason = "the document belongs to team \"" + owner + "\""});
    }
    if (previous.deleted && edit.deleted) {
        return refuse({.outcome = EditOutcome::NotFound, .reason = "the document is already deleted"});
    }
    const bool created = previous.deleted && edit.expected == AbsentRevision;
    if (!created && edit.expected != current.object.revision) {
        return refuse({.outcome = EditOutcome::Conflict,
                       .revision = current.object.revision,
                       .author = previous.author,
                       .reason = "the document has another revision than the change is based on"});
    }
    return {.value = encodeChanged(edit, previous, current), .expected = current.object.revision};
}

// A later change keeps the history, so an edit that took effect is found there by its change id. Its revision is the predecessor
// of the next change.
std::optional<EditReply> findInHistory(const DocumentEdit &edit, const DocumentValue &value)
{
    for (std::size_t index = 0; index + 1 < value.history.size(); ++index) {
        if (value.history[index].changeId == edit.changeId) {
            return EditReply{.outcome = EditOutcome::Accepted, .revision = value.history[index + 1].predecessor};
        }
    }
    return std::nullopt;
}

} // namespace

std::string documentKey(const ServiceName &service)
{
    return DocumentKeyPrefix + service.value();
}

EditPlan planEdit(const DocumentEdit &edit, const StoreReply &current)
{
    if (current.outcome == StoreOutcome::Absent) {
        return planForAbsent(edit, current);
    }
    if (current.outcome != StoreOutcome::Done) {
        return refuse({.outcome = EditOutcome::Unavailable, .reason = current.reason});
    }
    const std::optional<DocumentValue> previous = decode(current.object);
    if (!previous) {
        return refuse({.outcome = EditOutcome::Damaged,
                       .revision = current.object.revision,
                       .reason = "the store's value of \"" + current.object.key + "\" is no document value"});
    }
    return planForExisting(edit, *previous, current);
}

std::optional<EditReply> resolveEdit(const DocumentEdit &edit, const EditPlan &plan, const StoreReply &readBack)
{
    const bool present = readBack.outcome == StoreOutcome::Done;
    if (!present || readBack.object.revision == plan.expected) {
        return std::nullopt;
    }
    const std::optional<DocumentValue> value = decode(readBack.object);
    if (!value) {
        return EditReply{.outcome = EditOutcome::Damaged, .revision = readBack.object.revision, .reason = "no document value"};
    }
    if (value->changeId == edit.changeId) {
        return EditReply{.outcome = EditOutcome::Accepted, .revision = readBack.object.revision, .value = readBack.object.value};
    }
    if (std::optional<EditReply> superseded = findInHistory(edit, *value)) {
        return superseded;
    }
    return EditReply{.outcome = EditOutcome::Conflict,
                     .revision = readBack.object.revision,
                     .author = value->author,
                     .reason = "the document has another revision than the change is based on"};
}

std::string randomChangeId()
{
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the random number generator of OpenSSL failed");
    }
    return absl::BytesToHexString(std::string(bytes.begin(), bytes.end()));
}

} // namespace Filbertmount
