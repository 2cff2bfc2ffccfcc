#pragma once

#include <filbertmount/store/objectstore.h>
#include <filbertmount/types/ids.h>

#include <optional>
#include <string>

namespace Filbertmount {

/** A change of one service document, requested by a team. The text has already been validated. */
struct DocumentEdit {
    ServiceName service;
    TeamName team;
    std::string author;
    bool deleted = false;
    /** TOML text; empty for a deletion. */
    std::string text;
    /** Revision that the change is based on; AbsentRevision if the document must not exist yet. */
    Revision expected;
    /** Random identifier, by which a write whose response was lost is found again. */
    std::string changeId;
};

enum class EditOutcome : std::uint8_t {
    /** The change is in the store. */
    Accepted,
    /** The current revision is not the expected one; the change had no effect. */
    Conflict,
    /** The document belongs to another team; the change had no effect. */
    Forbidden,
    /** There is no document to delete. */
    NotFound,
    /** The value in the store is not a valid document value; the change had no effect. */
    Damaged,
    /** The store could not be reached or refused the request; the change had no effect. */
    Unavailable,
    /** The response of the store was lost and reading back did not show the outcome; the change may have taken effect or still do
       so. */
    Unknown,
};

struct EditReply {
    EditOutcome outcome = EditOutcome::Unavailable;
    /** If Accepted, the revision of the change; for a Conflict, the revision in the store, or 0 if there is none. */
    Revision revision;
    /** For a Conflict: author of the current revision. */
    std::string author;
    /** If Accepted: the store value, to be sent to the members. Empty if a later change has already replaced it. */
    std::string value;
    std::string reason;
};

/** The conditional write of an edit, or the reply if the edit is refused without a write. */
struct EditPlan {
    std::optional<EditReply> reply;
    std::string value;
    /** Revision that the object must have for the write to succeed. */
    Revision expected;
};

std::string documentKey(const ServiceName &service);

/** Checks the edit against the current object and prepares the write. */
EditPlan planEdit(const DocumentEdit &edit, const StoreReply &current);

/**
 * Determines the outcome of a write from a later read, after the response was lost or reported a conflict.
 *
 * @return nothing if the object still has the revision that the write expects, or could not be read, because the write may
 *         still take effect
 */
std::optional<EditReply> resolveEdit(const DocumentEdit &edit, const EditPlan &plan, const StoreReply &readBack);

/** Returns 128 random bits as 32 hexadecimal digits. */
std::string randomChangeId();

} // namespace Filbertmount
