#pragma once

#include <compare>
#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace teaselshore {

/// @brief Immutable bytes that all copies share, so that large ones are kept once.
///
/// A guard may come along, which is released together with the bytes, as a reservation of memory. Compared by content.
/// Copies may be used in different threads.
class SharedBytes {
public:
    SharedBytes() = default;
    SharedBytes(std::string bytes)
        : SharedBytes(std::move(bytes), nullptr)
    {
    }
    SharedBytes(const char* bytes)
        : SharedBytes(std::string(bytes))
    {
    }
    SharedBytes(std::string bytes, std::shared_ptr<const void> guard)
        : content(bytes.empty() && !guard
                ? nullptr
                : std::make_shared<const Content>(Content { std::move(guard), std::move(bytes) }))
    {
    }

    const std::string& text() const { return this->content ? this->content->bytes : noBytes(); }
    operator std::string_view() const { return this->text(); }
    const char* data() const { return this->text().data(); }
    std::size_t size() const { return this->text().size(); }
    bool empty() const { return this->text().empty(); }

    friend auto operator<=>(const SharedBytes& left, const SharedBytes& right) { return left.text() <=> right.text(); }
    friend bool operator==(const SharedBytes& left, const SharedBytes& right) { return left.text() == right.text(); }
    friend std::ostream& operator<<(std::ostream& stream, const SharedBytes& bytes) { return stream << bytes.text(); }

private:
    struct Content {
        /// Released after the bytes.
        std::shared_ptr<const void> guard;
        std::string bytes;
    };

    static const std::string& noBytes()
    {
        static const std::string none;
        return none;
    }

    std::shared_ptr<const Content> content;
};

} // namespace teaselshore
