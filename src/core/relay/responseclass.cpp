// Classification of upstream responses.
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
    const bool isSuccess = facts.status_ >= 200 && facts.status_ < 300;
    // A success without request id or signature may belong to another request.
    if (isSuccess)
        return facts.signed_ && facts.echoedRequest_ ? ResponseClass::Deliver
                                                     : ResponseClass::Malformed;
    const bool isOwnResponse = facts.status_ >= 300 && facts.status_ < 500 && facts.signed_;
    const bool isRefusal = facts.status_ == 408 || facts.status_ == 429;
    return isOwnResponse && !isRefusal ? ResponseClass::Deliver : ResponseClass::UpstreamFailure;
}

} // namespace tamarack
