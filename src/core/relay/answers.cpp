// Classification of upstream responses.
#include "core/relay/answers.h"

namespace tamarack {

namespace {

constexpr int statusMisdirected = 421;

} // namespace

AnswerMeaning judgeAnswer(const AnswerFacts &facts, const RequestId &request)
{
    if (facts.echoed_ && *facts.echoed_ != request)
        return AnswerMeaning::Foreign;
    if (facts.status_ == statusMisdirected)
        return AnswerMeaning::WrongInstance;
    if (facts.notExecuted_)
        return AnswerMeaning::NotExecuted;
    if (facts.encoded_)
        return AnswerMeaning::Malformed;
    const bool isSuccess = facts.status_ >= 200 && facts.status_ < 300;
    // A success without request id or signature may belong to another request.
    if (isSuccess)
        return facts.signed_ && facts.echoed_ ? AnswerMeaning::Deliver : AnswerMeaning::Malformed;
    const bool isOwnResponse = facts.status_ >= 300 && facts.status_ < 500 && facts.signed_;
    const bool isRefusal = facts.status_ == 408 || facts.status_ == 429;
    return isOwnResponse && !isRefusal ? AnswerMeaning::Deliver : AnswerMeaning::HoldFailure;
}

} // namespace tamarack
