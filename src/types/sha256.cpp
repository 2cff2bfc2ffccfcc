#include <filbertmount/types/sha256.h>

#include <openssl/sha.h>

namespace Filbertmount {

Sha256Digest sha256(std::string_view text)
{
    static_assert(std::tuple_size_v<Sha256Digest> == SHA256_DIGEST_LENGTH);
    Sha256Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return digest;
}

} // namespace Filbertmount
