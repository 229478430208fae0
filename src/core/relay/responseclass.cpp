// What an upstream's answer means.
#include "core/relay/responseclass.h"

namespace tamarack {

namespace {

constexpr int statusMisdirected = 421;

} // namespace

ResponseClass classifyResponse(const ResponseHead &facts, const RequestId &request)
{
    if (facts.echoedRequest_ && *facts.echoedRequest_ != request)
        return ResponseClass::OtherRequest;
    if (facts.status_ == statusMisdirected)
        return ResponseClass::WrongInstance;
    if (facts.notExecuted_)
        return ResponseClass::NotExecuted;
    if (facts.contentEncoded_)
        return ResponseClass::Malformed;
    const bool success = facts.status_ >= 200 && facts.status_ < 300;
    // An answer without id or signature may have been meant for anybody.
    if (success)
        return facts.signed_ && facts.echoedRequest_ ? ResponseClass::Deliver
                                                     : ResponseClass::Malformed;
    const bool ownAnswer = facts.status_ >= 300 && facts.status_ < 500 && facts.signed_;
    const bool promise = facts.status_ == 408 || facts.status_ == 429;
    return ownAnswer && !promise ? ResponseClass::Deliver : ResponseClass::UpstreamFailure;
}

} // namespace tamarack
