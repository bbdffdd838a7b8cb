#include "common/encoding.h"

#include <algorithm>
#include <openssl/evp.h>

namespace guavaspan {

std::string toBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3), '\0');
    // The library also writes a terminating zero, which the buffer of std::string always has space for.
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    if (text.empty())
        return std::string();
    std::string bytes(text.size() / 4 * 3, '\0');
    int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    auto padding = static_cast<std::size_t>(text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0));
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string toBase64Url(std::string_view bytes)
{
    auto text = toBase64(bytes);
    while (text.ends_with('='))
        text.pop_back();
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    std::string padded(text);
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    while (padded.size() % 4 != 0)
        padded += '=';
    return fromBase64(padded);
}

}
