#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace guavaspan {

std::string toBase64(std::string_view bytes);
std::optional<std::string> fromBase64(std::string_view text);

/// Base64 without padding, in the alphabet that is safe in headers and URLs.
std::string toBase64Url(std::string_view bytes);
std::optional<std::string> fromBase64Url(std::string_view text);

}
