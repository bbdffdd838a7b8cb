#include "common/cbor.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace guavaspan;

/// Guards against LOST: a deeply nested message exhausted the stack and ended the process.
Test(ParseCbor, deeplyNestedArraysOrObjects_areRejected)
{
    constexpr std::size_t levels = 200000;
    constexpr char arrayOfOne = '\x81';
    cr_expect(!parseCbor(std::string(levels, arrayOfOne)));
    std::string objects;
    for (std::size_t level = 0; level < levels; ++level)
        objects += "\xa1\x61k";
    cr_expect(!parseCbor(objects));
}

Test(ParseCbor, impossibleSizes_areRejected)
{
    cr_expect(!parseCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"));
    cr_expect(!parseCbor("\xbb\xff\xff\xff\xff\xff\xff\xff\xff"));
    cr_expect(!parseCbor("\x5b\xff\xff\xff\xff\xff\xff\xff\xff"));
}

Test(ParseCbor, document_isParsedAsWritten)
{
    nlohmann::json document { { "a", { 1, 2.5, nullptr, { true } } }, { "b", "text" } };
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    auto parsed = parseCbor(bytes);
    cr_assert(parsed.has_value());
    cr_expect(*parsed == document);
    cr_expect(!parseCbor(bytes.substr(0, bytes.size() - 1)), "a part of it");
    cr_expect(!parseCbor(bytes + "x"), "more than it");
    cr_expect(!parseCbor(""));
}
