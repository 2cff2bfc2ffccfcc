#pragma once

#include <filbertmount/admin/adminport.h>
#include <filbertmount/admin/documenteditor.h>
#include <filbertmount/store/httpobjectstore.h>

#include "support/results.h"

#include <openssl/sha.h>

#include <atomic>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/** An administration port that serves the reports set by a test and edits documents in a store. */
class TestAdminPort
{
public:
    static constexpr const char *ShopToken = "shop-token";
    static constexpr const char *KayaToken = "kaya-token";

    /** @param storeAddress "IP:port" of the platform; empty for an instance without a store */
    explicit TestAdminPort(const std::string &storeAddress, const std::string &instance = "entry-1")
        : m_store({.address = storeAddress, .timeout = std::chrono::seconds(20)})
        , m_editor(m_store)
        , m_port({.ip = "127.0.0.1"},
                 {{TeamName("riga-shop"), {hashOf(ShopToken)}}, {TeamName("kaya"), {hashOf("old"), hashOf(KayaToken)}}},
                 sources(!storeAddress.empty(), instance))
    {
        requireSuccess([this]() {
            return m_port.start();
        });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port.port());
    }

    AdminPort &port()
    {
        return m_port;
    }

    static TokenHash hashOf(const std::string &token)
    {
        TokenHash hash{};
        SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), hash.data());
        return hash;
    }

    // Reports that the port serves; a test sets them before its first request.
    std::vector<MemberReport> members;
    std::vector<Event> events;
    std::vector<DocumentReport> documents;
    ServiceReport service;
    std::atomic<bool> ready = true;
    std::atomic<int> accepted = 0;

private:
    AdminSources sources(bool hasStore, const std::string &instance)
    {
        AdminSources result;
        result.instance = InstanceId(instance);
        result.readiness = [this]() {
            return ReadinessReport{.ready = ready, .reason = "draining"};
        };
        result.documents = [this]() {
            return documents;
        };
        result.service = [this](const ServiceName &name) {
            return name == service.service ? std::optional(service) : std::nullopt;
        };
        result.members = [this]() {
            return members;
        };
        result.events = [this](std::uint64_t /*after*/) {
            return events;
        };
        result.metrics = []() {
            return std::string("filbertmount_members 1\n");
        };
        result.onAccepted = [this](const ServiceName & /*name*/, Revision /*revision*/, const std::string & /*value*/) {
            ++accepted;
        };
        if (hasStore) {
            result.readStoredDocument = [this](const ServiceName &name) {
                return m_store.read(documentKey(name));
            };
            result.edit = [this](const DocumentEdit &edit) {
                return m_editor.apply(edit);
            };
        }
        return result;
    }

    HttpObjectStore m_store;
    DocumentEditor<HttpObjectStore> m_editor;
    AdminPort m_port;
};

} // namespace Filbertmount
