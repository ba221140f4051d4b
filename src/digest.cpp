#include <agatespread/digest.h>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <xxhash.h>

#include <array>
#include <memory>

namespace agatespread {

namespace {

// Fetching an algorithm takes longer than hashing a short text, so each is fetched once.
const EVP_MD* sha256_algorithm()
{
    static const EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return algorithm;
}

struct mac_context_deleter {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};

using mac_context = std::unique_ptr<EVP_MAC_CTX, mac_context_deleter>;

mac_context make_hmac_context()
{
    static EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    char digest_name[] = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest_name, 0),
        OSSL_PARAM_construct_end()};
    mac_context context(EVP_MAC_CTX_new(algorithm));
    EVP_MAC_CTX_set_params(context.get(), parameters.data());
    return context;
}

std::string_view as_view(const sha256_bytes& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

} // namespace

sha256_bytes sha256(std::string_view bytes)
{
    sha256_bytes result{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), result.data(), &size, sha256_algorithm(), nullptr);
    return result;
}

std::string sha256_hex(std::string_view bytes)
{
    return to_hex(as_view(sha256(bytes)));
}

sha256_bytes hmac_sha256(std::string_view key, std::string_view bytes)
{
    sha256_bytes result{};
    std::size_t size = 0;
    thread_local const mac_context context = make_hmac_context();
    // EVP_MAC_init keeps the key of the previous call if the key pointer is null.
    const char* key_bytes = key.empty() ? "" : key.data();
    EVP_MAC_init(context.get(), reinterpret_cast<const unsigned char*>(key_bytes), key.size(),
                 nullptr);
    EVP_MAC_update(context.get(), reinterpret_cast<const unsigned char*>(bytes.data()),
                   bytes.size());
    EVP_MAC_final(context.get(), result.data(), &size, result.size());
    return result;
}

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const unsigned int value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4]);
        text.push_back(digits[value & 0x0f]);
    }
    return text;
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvous_rank(std::string_view role, std::string_view member)
{
    return hash64(member, hash64(role));
}

} // namespace agatespread
