#pragma once

namespace ospreystage::impl {

/// Variant visitor composed of one lambda per alternative.
template <typename... Lambdas>
struct overloaded : Lambdas... {
    using Lambdas::operator()...;
};

template <typename... Lambdas>
overloaded(Lambdas...) -> overloaded<Lambdas...>;

} // namespace ospreystage::impl
