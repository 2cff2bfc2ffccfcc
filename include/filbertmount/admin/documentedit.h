#pragma once

#include <filbertmount/store/objectstore.h>
#include <filbertmount/types/ids.h>

#include <optional>
#include <string>

namespace Filbertmount {

/** A change of one service document that a team asks for. The text was checked before. */
struct DocumentEdit {
    ServiceName service;
    TeamName team;
    std::string author;
    bool deleted = false;
    /** TOML text; empty for a delete. */
    std::string text;
    /** Revision that the change was made from; AbsentRevision means that no document exists. */
    Revision expected;
    /** Random text by which a write whose answer was lost is found again. */
    std::string changeId;
};

enum class EditOutcome : std::uint8_t {
    /** The change is in the store. */
    Accepted,
    /** The document has another revision; the change had no effect. */
    Conflict,
    /** The document belongs to another team; the change had no effect. */
    Forbidden,
    /** There is no document to delete. */
    NotFound,
    /** The store's value is no document value; the change had no effect. */
    Damaged,
    /** The store was not reached or refused; the change had no effect. */
    Unavailable,
    /** The answer was lost and could not be read back; the change may take effect. */
    Unknown,
};

struct EditReply {
    EditOutcome outcome = EditOutcome::Unavailable;
    /** When Accepted, the revision of the change; for a Conflict, the one in the store, or 0 if there is none. */
    Revision revision;
    /** For a Conflict: who made the change that came first. */
    std::string author;
    /** When Accepted: the store value, which can be pushed to the members. Empty if a later change followed already. */
    std::string value;
    std::string reason;
};

/** What an edit has to write, or its reply if nothing is to be written. */
struct EditPlan {
    std::optional<EditReply> reply;
    std::string value;
    /** Condition of the write. */
    Revision expected;
};

std::string documentKey(const ServiceName &service);

/** Checks the edit against the object that was read and prepares the write. */
EditPlan planEdit(const DocumentEdit &edit, const StoreReply &current);

/**
 * Judges what a later read says of a write whose answer was lost or that met a conflict.
 *
 * @return nothing as long as the object still has the revision of the plan's condition, or could not be read: the write
 *         may take effect later
 */
std::optional<EditReply> resolveEdit(const DocumentEdit &edit, const EditPlan &plan, const StoreReply &readBack);

/** Returns 128 random bits as hexadecimal digits. */
std::string randomChangeId();

} // namespace Filbertmount
