#pragma once

namespace guavaspan {

/// Joins lambdas into one visitor of a variant.
template <typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}
