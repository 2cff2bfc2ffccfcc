#include <filbertmount/document/documentvalue.h>

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace Filbertmount {

namespace {

nlohmann::json encodeChange(const DocumentChange &change)
{
    return {{"predecessor", change.predecessor.value()},
            {"author", change.author},
            {"time", change.time.seconds},
            {"change_id", change.changeId},
            {"deleted", change.deleted},
            {"text", change.text}};
}

DocumentChange decodeChange(const nlohmann::json &json)
{
    // get<std::uint64_t>() would silently convert a negative number.
    if (!json.at("predecessor").is_number_unsigned()) {
        throw std::invalid_argument("predecessor is not an unsigned number");
    }
    return {.predecessor = Revision(json.at("predecessor").get<std::uint64_t>()),
            .author = json.at("author").get<std::string>(),
            .time = {json.at("time").get<std::int64_t>()},
            .changeId = json.at("change_id").get<std::string>(),
            .deleted = json.at("deleted").get<bool>(),
            .text = json.at("text").get<std::string>()};
}

DocumentValue decodeValue(const nlohmann::json &json)
{
    DocumentValue value{.document = json.at("document").get<std::string>(),
                        .team = TeamName(json.at("team").get<std::string>()),
                        .author = json.at("author").get<std::string>(),
                        .changeId = json.at("change_id").get<std::string>(),
                        .deleted = json.at("deleted").get<bool>()};
    for (const nlohmann::json &change : json.at("history")) {
        value.history.push_back(decodeChange(change));
    }
    return value;
}

std::string dump(const nlohmann::json &json)
{
    // Invalid UTF-8 is replaced instead of throwing an exception; the TOML parser has already rejected it in documents.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string encodeDocumentValue(const DocumentValue &value)
{
    nlohmann::json json{{"document", value.document},
                        {"team", value.team.value()},
                        {"author", value.author},
                        {"change_id", value.changeId},
                        {"deleted", value.deleted}};
    std::size_t kept = std::min(value.history.size(), MaxHistoryChanges);
    while (true) {
        json["history"] = nlohmann::json::array();
        for (std::size_t index = value.history.size() - kept; index < value.history.size(); ++index) {
            json["history"].push_back(encodeChange(value.history[index]));
        }
        std::string bytes = dump(json);
        if (bytes.size() <= MaxValueBytes || kept == 0) {
            return bytes;
        }
        --kept;
    }
}

Result<DocumentValue> decodeDocumentValue(const std::string &bytes, const std::string &peer)
{
    try {
        return decodeValue(nlohmann::json::parse(bytes));
    } catch (const std::exception &error) {
        return boost::leaf::new_error(
            Failure{.step = Step::ReadDocument, .peer = peer, .reason = "not a document value: " + std::string(error.what())});
    }
}

} // namespace Filbertmount
