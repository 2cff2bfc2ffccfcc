#pragma once

#include <filbertmount/settings/instancesettings.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <memory>

namespace Filbertmount {

/** One running filbertmountd: builds all modules from the settings and connects them. */
class EntryInstance
{
public:
    /** Starts to serve. Fails when a document file is invalid or an address cannot be taken. */
    static Result<std::unique_ptr<EntryInstance>> start(const InstanceSettings &settings);

    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

    /** Applies the settings that may change in a running instance. */
    void reload(const ReloadableSettings &settings);

    /** Readiness changes to 503; everything else goes on. */
    void announceDrain();
    /** Stops accepting connections; requests in progress go on. */
    void drain();
    [[nodiscard]] bool drained() const;

    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t adminPort() const;

private:
    class State;
    explicit EntryInstance(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/** Checks the settings as far as that is possible without taking an address: the document files must be valid. */
Result<void> checkInstance(const InstanceSettings &settings);

} // namespace Filbertmount
