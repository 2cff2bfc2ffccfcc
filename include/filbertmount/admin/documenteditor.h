#pragma once

#include <filbertmount/admin/documentedit.h>

#include <utility>

namespace Filbertmount {

/**
 * Applies edits to documents in the store by conditional updates. Thread-safe if the store is. Blocks for one read and up to
 * two store calls per attempt.
 */
template<ObjectStore Store>
class DocumentEditor
{
public:
    /** Number of writes whose outcome could not be determined after which an edit is reported as Unknown. */
    static constexpr int DefaultAttempts = 5;

    explicit DocumentEditor(Store &store, int attempts = DefaultAttempts)
        : m_store(&store)
        , m_attempts(attempts)
    {
    }

    EditReply apply(const DocumentEdit &edit)
    {
        const std::string key = documentKey(edit.service);
        EditPlan plan = planEdit(edit, m_store->read(key));
        if (plan.reply) {
            return *std::move(plan.reply);
        }
        bool uncertain = false;
        std::string reason;
        for (int attempt = 0; attempt < m_attempts; ++attempt) {
            const StoreReply written = m_store->update(key, plan.value, plan.expected);
            if (written.outcome == StoreOutcome::Done) {
                return {.outcome = EditOutcome::Accepted, .revision = written.object.revision, .value = plan.value};
            }
            if (written.outcome == StoreOutcome::Unavailable && !uncertain) {
                return {.outcome = EditOutcome::Unavailable, .reason = written.reason};
            }
            reason = written.reason;
            uncertain = uncertain || written.outcome == StoreOutcome::Unknown;
            if (std::optional<EditReply> resolved = resolveEdit(edit, plan, m_store->read(key))) {
                return *std::move(resolved);
            }
            if (!uncertain) {
                return {.outcome = EditOutcome::Conflict, .reason = reason};
            }
        }
        return {.outcome = EditOutcome::Unknown, .reason = reason};
    }

private:
    Store *m_store;
    int m_attempts;
};

} // namespace Filbertmount
