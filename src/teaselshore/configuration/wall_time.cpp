#include "teaselshore/configuration/wall_time.hpp"

#include <chrono>

#include <fmt/chrono.h>

namespace teaselshore {

namespace {

    constexpr std::string_view shape = "dddd-dd-ddTdd:dd:ddZ";

    bool hasShape(std::string_view text)
    {
        if (text.size() != shape.size())
            return false;
        for (std::size_t index = 0; index < shape.size(); ++index) {
            const bool digit = text[index] >= '0' && text[index] <= '9';
            if (shape[index] == 'd' ? !digit : text[index] != shape[index])
                return false;
        }
        return true;
    }

    /// Precondition: the characters are digits.
    int digits(std::string_view text, std::size_t first, std::size_t count)
    {
        int value = 0;
        for (const char digit : text.substr(first, count))
            value = value * 10 + (digit - '0');
        return value;
    }

} // namespace

std::optional<WallTime> parseWallTime(std::string_view text)
{
    if (!hasShape(text))
        return std::nullopt;
    const int year = digits(text, 0, 4);
    const std::chrono::year_month_day date { std::chrono::year(year),
        std::chrono::month(static_cast<unsigned>(digits(text, 5, 2))),
        std::chrono::day(static_cast<unsigned>(digits(text, 8, 2))) };
    const int hour = digits(text, 11, 2);
    const int minute = digits(text, 14, 2);
    const int second = digits(text, 17, 2);
    if (!date.ok() || year < 2000 || year > 2199 || hour > 23 || minute > 59 || second > 59)
        return std::nullopt;
    return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute)
        + std::chrono::seconds(second);
}

std::string formatWallTime(WallTime time)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

} // namespace teaselshore
