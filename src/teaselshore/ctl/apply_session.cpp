#include "teaselshore/ctl/apply_session.hpp"

#include <utility>

namespace teaselshore {

namespace {

    constexpr int maxWrites = 3;
    constexpr int maxFailedReads = 4;
    /// A write whose answer was lost can still be on its way.
    constexpr Duration readBackDelay = std::chrono::milliseconds(300);

    template <typename... Handlers> struct Visitor : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace

ApplySession::ApplySession(std::string text, std::optional<std::uint64_t> base)
    : text(std::move(text))
    , base(base)
{
}

ApplyStep ApplySession::onRead(const ReadResult& result)
{
    if (const auto* refused = std::get_if<CallRefused>(&result))
        return this->onReadFailed(refused->detail);

    std::optional<StoredConfiguration> current;
    if (const auto* stored = std::get_if<StoredConfiguration>(&result))
        current = *stored;
    if (this->firstReadDone)
        return this->onReadBack(current);
    this->firstReadDone = true;
    return this->onFirstRead(current);
}

ApplyStep ApplySession::onFirstRead(const std::optional<StoredConfiguration>& current)
{
    this->previous = current;
    if (current && current->text == this->text)
        return ApplyDone { current->version, current, false };
    if (this->base && this->base != this->expected().value_or(0))
        return ApplyLost { current.value_or(StoredConfiguration {}), false };
    ++this->writes;
    return WriteText { this->expected() };
}

ApplyStep ApplySession::onReadBack(const std::optional<StoredConfiguration>& current)
{
    // Without a lost answer, another operator wrote the same text.
    if (current && current->text == this->text)
        return ApplyDone { current->version, this->previous, this->answerLost };
    const bool unchanged = current.has_value() == this->previous.has_value()
        && (!current || current->version == this->previous->version);
    if (!unchanged)
        return ApplyLost { current.value_or(StoredConfiguration {}), this->answerLost };
    if (this->writes >= maxWrites)
        return ApplyFailed { this->lastDetail, this->answerLost };
    ++this->writes;
    return WriteText { this->expected() };
}

ApplyStep ApplySession::onReadFailed(const std::string& detail)
{
    // Without a write in doubt, nothing is lost by giving up at once.
    if (!this->answerLost || ++this->failedReads >= maxFailedReads)
        return ApplyFailed { detail, this->answerLost };
    return ReadCurrent { readBackDelay };
}

ApplyStep ApplySession::onWritten(const WriteResult& result)
{
    return std::visit(Visitor {
                          [this](const WriteDone& done) -> ApplyStep {
                              return ApplyDone { done.version, this->previous, true };
                          },
                          [this](const WriteConflict&) -> ApplyStep {
                              this->lastDetail = "reported a conflict, but no other version";
                              return ReadCurrent {};
                          },
                          [this](const WriteUnknown& unknown) -> ApplyStep {
                              this->answerLost = true;
                              this->lastDetail = unknown.detail;
                              return ReadCurrent { readBackDelay };
                          },
                          [this](const CallRefused& refused) -> ApplyStep {
                              return ApplyFailed { refused.detail, this->answerLost };
                          },
                      },
        result);
}

std::optional<std::uint64_t> ApplySession::expected() const
{
    if (!this->previous)
        return std::nullopt;
    return this->previous->version;
}

} // namespace teaselshore
