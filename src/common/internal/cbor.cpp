#include "common/cbor.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    /// Levels of arrays and objects; messages and records have at most six.
    constexpr int maxDepth = 32;

    /// The library parses CBOR recursively and would exhaust the stack.
    class DepthLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<json> {
    public:
        explicit DepthLimitedBuilder(json& document)
            : json_sax_dom_parser(document, false)
        {
        }

        bool start_object(std::size_t size) { return ++m_depth <= maxDepth && json_sax_dom_parser::start_object(size); }
        bool start_array(std::size_t size) { return ++m_depth <= maxDepth && json_sax_dom_parser::start_array(size); }

        bool end_object()
        {
            --m_depth;
            return json_sax_dom_parser::end_object();
        }

        bool end_array()
        {
            --m_depth;
            return json_sax_dom_parser::end_array();
        }

    private:
        int m_depth = 0;
    };

}

std::optional<json> parseCbor(const std::string& bytes)
{
    try {
        json document;
        DepthLimitedBuilder builder(document);
        if (json::sax_parse(bytes, &builder, json::input_format_t::cbor))
            return document;
    } catch (const json::exception&) {
        // Thrown for a stated size that no container can have.
        return std::nullopt;
    }
    return std::nullopt;
}

}
