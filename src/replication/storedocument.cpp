#include <filbertmount/replication/storedocument.h>

#include <filbertmount/document/documentvalue.h>
#include <filbertmount/document/parseservicedocument.h>

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace Filbertmount {

Result<DecodedDocument> decodeStoreDocument(const ServiceName &service, const std::string &value)
{
    BOOST_LEAF_AUTO(stored, decodeDocumentValue(value, service.value()));
    DecodedDocument decoded;
    decoded.deleted = stored.deleted;
    if (stored.deleted) {
        return decoded;
    }
    BOOST_LEAF_AUTO(document, parseServiceDocument(stored.document, service.value()));
    decoded.document = std::move(document);
    return decoded;
}

std::string withoutHistory(const std::string &value)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(stored, decodeDocumentValue(value, {}));
            stored.history.clear();
            return encodeDocumentValue(stored);
        },
        [&] {
            return value;
        });
}

} // namespace Filbertmount
