#pragma once

#include "admin/adminclient.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace Filbertmount {

/** Exit codes of filbertmountctl; docs/administration-api.md lists them. */
enum class ExitCode : int {
    Done = 0,
    Usage = 1,
    InvalidDocument = 2,
    Conflict = 3,
    /** The instance or the store could not be reached or refused the request; nothing was changed. */
    Unavailable = 4,
    Forbidden = 5,
    NotFound = 6,
    /** The change may have taken effect. */
    OutcomeUnknown = 7,
    /** Some members did not respond; the report is incomplete. */
    Partial = 8,
};

struct ControlOutput {
    std::ostream *out;
    std::ostream *err;
    /** Machine-readable output instead of text. */
    bool json = false;
};

/** Validates a document locally, without a request to an instance. */
ExitCode validateFile(const std::string &fileName, const ControlOutput &output);

/** The commands of filbertmountctl that send requests to instances. */
class ControlCommands
{
public:
    ControlCommands(AdminClient &client, ControlOutput output);

    /**
     * Creates or replaces a document. The change is based on @p revision if given, otherwise on the revision in the line that
     * get() writes above the document; with neither, the document must not exist yet.
     */
    ExitCode apply(const std::string &fileName, std::optional<Revision> revision);
    ExitCode get(const std::string &service);
    ExitCode list();
    ExitCode history(const std::string &service);
    ExitCode remove(const std::string &service, Revision revision);
    /** Collects the status from all members that the instance lists. */
    ExitCode status(const std::string &service);
    /** Merges the events of all members that the instance lists; either filter may be empty. */
    ExitCode timeline(const std::string &service, const std::string &request);

private:
    /** Writes the error of a reply and returns the exit code for it. */
    ExitCode fail(const AdminReply &reply, bool change = false);
    ExitCode reportConflict(const AdminReply &reply, const std::string &service, Revision baseRevision);
    /** Returns the address of the instance itself, followed by those of the other members in @p status. */
    std::vector<std::string> memberAddresses(const nlohmann::json &status) const;

    AdminClient *m_client;
    ControlOutput m_output;
};

} // namespace Filbertmount
