#pragma once

namespace teaselshore {

/// @brief Visitor of a variant that is put together from a handler for each alternative.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace teaselshore
