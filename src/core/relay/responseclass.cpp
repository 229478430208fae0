// Classification of upstream responses.
#include "core/relay/responseclass.h"

namespace tamarack {

namespace {

constexpr int statusMisdirected = 421;

} // namespace

ResponseClass classifyResponse(const ResponseHead &head, const RequestId &request)
{
    if (head.echoedRequest_ && *head.echoedRequest_ != request)
        return ResponseClass::OtherRequest;
    // Not even a refusal may be believed: the request may be running.
    if (!head.echoedRequest_ && head.connectionReused_)
        return ResponseClass::Malformed;
    if (head.status_ == statusMisdirected)
        return ResponseClass::WrongInstance;
    if (head.notExecuted_)
        return ResponseClass::NotExecuted;
    if (head.contentEncoded_)
        return ResponseClass::Malformed;
    const bool isSuccess = head.status_ >= 200 && head.status_ < 300;
    // A success without request id or signature may belong to another request.
    if (isSuccess)
        return head.signed_ && head.echoedRequest_ ? ResponseClass::Deliver
                                                   : ResponseClass::Malformed;
    const bool isOwnResponse = head.status_ >= 300 && head.status_ < 500 && head.signed_;
    const bool isRefusal = head.status_ == 408 || head.status_ == 429;
    return isOwnResponse && !isRefusal ? ResponseClass::Deliver : ResponseClass::UpstreamFailure;
}

ResponseClass classifyPeerResponse(const ResponseHead &head, const RequestId &request)
{
    if (head.echoedRequest_ && *head.echoedRequest_ != request)
        return ResponseClass::OtherRequest;
    if (!head.echoedRequest_ && head.connectionReused_)
        return ResponseClass::Malformed;
    const bool isSuccess = head.status_ >= 200 && head.status_ < 300;
    if (isSuccess && (!head.signed_ || !head.echoedRequest_ || head.contentEncoded_))
        return ResponseClass::Malformed;
    const bool isRefusal = head.status_ == 408 || head.status_ == statusMisdirected
        || head.status_ == 429 || head.status_ == 503;
    return isRefusal ? ResponseClass::UpstreamFailure : ResponseClass::Deliver;
}

} // namespace tamarack
