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
    /** The instance or the store was not reached or refused; nothing was changed. */
    Unavailable = 4,
    Forbidden = 5,
    NotFound = 6,
    /** The change may have taken effect. */
    OutcomeUnknown = 7,
    /** Some members did not answer; the report is in part. */
    Partial = 8,
};

struct ControlOutput {
    std::ostream *out;
    std::ostream *err;
    /** Machine-readable output instead of text. */
    bool json = false;
};

/** Checks a document without an instance. */
ExitCode validateFile(const std::string &fileName, const ControlOutput &output);

/** The commands of filbertmountctl that ask instances. */
class ControlCommands
{
public:
    ControlCommands(AdminClient &client, ControlOutput output);

    /**
     * Puts a document. The revision that it was made from comes from @p revision, otherwise from the line that get()
     * writes above the document; with neither, the document must not exist yet.
     */
    ExitCode apply(const std::string &fileName, std::optional<Revision> revision);
    ExitCode get(const std::string &service);
    ExitCode list();
    ExitCode history(const std::string &service);
    ExitCode remove(const std::string &service, Revision revision);
    /** Asks all members that the instance lists. */
    ExitCode status(const std::string &service);
    /** Merges the events of all members that the instance lists; either filter may be empty. */
    ExitCode timeline(const std::string &service, const std::string &request);

private:
    ExitCode fail(const AdminReply &reply, bool change = false);
    ExitCode reportConflict(const AdminReply &reply, const std::string &service, Revision baseRevision);
    /** Addresses of the members that @p service's status lists; the instance itself if it lists none. */
    std::vector<std::string> memberAddresses(const nlohmann::json &status) const;

    AdminClient *m_client;
    ControlOutput m_output;
};

} // namespace Filbertmount
