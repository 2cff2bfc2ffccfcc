#pragma once

#include <filbertmount/settings/instancesettings.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <memory>

namespace Filbertmount {

/** Owns all modules of one filbertmountd process: creates them from the settings and connects them. */
class EntryInstance
{
public:
    /** Starts serving callers. Fails if a document file is invalid or a listen address cannot be bound. */
    static Result<std::unique_ptr<EntryInstance>> start(const InstanceSettings &settings);

    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

    /** Applies the settings that can change without a restart. */
    void reload(const ReloadableSettings &settings);

    /** Makes the readiness endpoint return 503; requests are still accepted. */
    void announceDrain();
    /** Stops accepting connections; requests in progress are completed. */
    void drain();
    [[nodiscard]] bool drained() const;

    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t adminPort() const;

private:
    class State;
    explicit EntryInstance(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/** Checks that all document files of @p settings are valid, without opening any port. */
Result<void> checkDocumentFiles(const InstanceSettings &settings);

} // namespace Filbertmount
