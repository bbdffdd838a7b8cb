#include "streams/resumehandle.h"

#include "common/cbor.h"
#include "common/encoding.h"

#include <array>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace guavaspan {

namespace {

    constexpr std::size_t nonceBytes = 12;
    constexpr std::size_t tagBytes = 16;

    using CipherContext = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

    unsigned char* bytesOf(std::string& text)
    {
        return reinterpret_cast<unsigned char*>(text.data());
    }

    const unsigned char* bytesOf(const std::string& text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

    std::string encode(const ResumeHandle& handle)
    {
        nlohmann::json fields = { handle.identity.target, handle.identity.incarnation, handle.identity.generation, handle.organisation, handle.service, handle.model, handle.requestId, handle.promptTokens, handle.chat };
        auto bytes = nlohmann::json::to_cbor(fields);
        return { bytes.begin(), bytes.end() };
    }

    std::optional<ResumeHandle> decode(const std::string& bytes)
    {
        auto document = parseCbor(bytes);
        if (!document || !document->is_array() || document->size() != 9)
            return std::nullopt;
        const auto& fields = *document;
        try {
            return ResumeHandle { .identity = { .target = fields[0], .incarnation = fields[1], .generation = fields[2] }, .organisation = fields[3], .service = fields[4], .model = fields[5], .requestId = fields[6], .promptTokens = fields[7], .chat = fields[8] };
        } catch (const nlohmann::json::exception&) {
            return std::nullopt;
        }
    }

}

HandleSealer::HandleSealer(const std::string& key)
    : m_key(SHA256_DIGEST_LENGTH, '\0')
{
    SHA256(bytesOf(key), key.size(), bytesOf(m_key));
}

std::string HandleSealer::seal(const ResumeHandle& handle, const std::string& nonceSeed) const
{
    auto plaintext = encode(handle);
    std::string nonce(nonceBytes, '\0');
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    RAND_bytes(bytesOf(nonce), static_cast<int>(nonce.size()));
    // Mixing in the request id keeps nonces distinct even if the system's random source is poor.
    SHA256(bytesOf(nonceSeed), nonceSeed.size(), bytesOf(digest));
    for (std::size_t i = 0; i < nonceBytes; ++i)
        nonce[i] = static_cast<char>(nonce[i] ^ digest[i]);

    std::string ciphertext(plaintext.size(), '\0');
    std::string tag(tagBytes, '\0');
    CipherContext context(EVP_CIPHER_CTX_new(), &EVP_CIPHER_CTX_free);
    int length = 0;
    EVP_EncryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, bytesOf(m_key), bytesOf(nonce));
    EVP_EncryptUpdate(context.get(), bytesOf(ciphertext), &length, bytesOf(plaintext), static_cast<int>(plaintext.size()));
    EVP_EncryptFinal_ex(context.get(), bytesOf(ciphertext) + length, &length);
    EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_GET_TAG, tagBytes, bytesOf(tag));
    return toBase64Url(nonce + tag + ciphertext);
}

std::optional<ResumeHandle> HandleSealer::open(const std::string& sealedHandle) const
{
    auto bytes = fromBase64Url(sealedHandle);
    if (!bytes || bytes->size() < nonceBytes + tagBytes)
        return std::nullopt;
    auto nonce = bytes->substr(0, nonceBytes);
    auto tag = bytes->substr(nonceBytes, tagBytes);
    auto ciphertext = bytes->substr(nonceBytes + tagBytes);
    std::string plaintext(ciphertext.size(), '\0');
    CipherContext context(EVP_CIPHER_CTX_new(), &EVP_CIPHER_CTX_free);
    int length = 0;
    EVP_DecryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, bytesOf(m_key), bytesOf(nonce));
    EVP_DecryptUpdate(context.get(), bytesOf(plaintext), &length, bytesOf(ciphertext), static_cast<int>(ciphertext.size()));
    EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, tagBytes, bytesOf(tag));
    if (EVP_DecryptFinal_ex(context.get(), bytesOf(plaintext) + length, &length) != 1)
        return std::nullopt;
    return decode(plaintext);
}

std::string eventIdOf(const std::string& sealedHandle, int offset)
{
    return sealedHandle + "." + std::to_string(offset);
}

std::optional<EventId> parseEventId(const std::string& text)
{
    auto dot = text.rfind('.');
    if (dot == std::string::npos)
        return std::nullopt;
    EventId id { .sealedHandle = text.substr(0, dot) };
    const char* end = text.data() + text.size();
    auto [position, error] = std::from_chars(text.data() + dot + 1, end, id.offset);
    if (error != std::errc {} || position != end || id.offset < 0)
        return std::nullopt;
    return id;
}

}
