#include "configuration/keydigest.h"

#include <memory>
#include <openssl/evp.h>
#include <stdexcept>

namespace pimentoshed::configuration
{

KeyDigest digestOfKey(std::string_view key)
{
    // Fetched once, because a look-up of the algorithm takes longer than the digest of a key.
    static const std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)> algorithm(EVP_MD_fetch(nullptr, "SHA256", nullptr),
                                                                           &EVP_MD_free);
    KeyDigest digest{};
    if (EVP_Digest(key.data(), key.size(), digest.data(), nullptr, algorithm.get(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available in libcrypto");
    }
    return digest;
}

} // namespace pimentoshed::configuration
