#include "sent_echoes.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    constexpr std::size_t mostEchoes = 1024;

} // namespace

bool SentEchoes::canDistinguish(std::string_view value) const
{
    // Replies to a request without a value name none, as replies of a faulty peer may do.
    if (value.empty())
        return this->sent.empty();
    return std::find(this->sent.begin(), this->sent.end(), fingerprint(value)) == this->sent.end();
}

void SentEchoes::add(std::string_view value)
{
    this->sent.push_back(fingerprint(value));
    this->hasUnnamed = this->hasUnnamed || value.empty();
}

bool SentEchoes::mayTakeAnother() const { return !this->hasUnnamed && this->sent.size() < mostEchoes; }

} // namespace teaselshore
