// The message in which daemons exchange what they know of crashed instances and of the prompt parts
// or requests that were waiting on them.
#pragma once

#include "core/ids.h"
#include "core/instanceprocess.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief What may crash instances: hash of the id of a prompt part, or of a whole request.
using SuspectId = NumericId<struct SuspectTag>;

/// @brief What a quarantine keeps away from instances.
enum class QuarantineScope {
    /// Parts of prompts, which different requests share.
    PromptParts,
    /// Requests with the same account, target and body.
    Requests,
};

struct ReportedCrash
{
    InstanceProcess id_;
    std::string address_;
    /// A duration, because the clocks of hosts differ.
    Millis age_ {};
    /// Parts, or requests, that may be the cause.
    std::vector<SuspectId> suspects_;
    /// Those that were waiting on the instance but have been seen in responses.
    std::vector<SuspectId> cleared_;
    /// Set if the process is known to have been running this long ago, after it had been presumed
    /// to have ended.
    std::optional<Millis> survivedAge_;
    /// One in 2^sampling_ of the parts that were waiting on no other crash is reported.
    std::uint32_t sampling_ = 0;
};

/// @brief What the receiver should do after merging a report.
enum class ReportPurpose {
    /// Nothing.
    Inform,
    /// Reply with all crashes, as an Exchange, if its digest differs.
    Compare,
    /// Reply with all crashes, to Inform, if its digest still differs.
    Exchange,
};

struct QuarantineReport
{
    /// "IP:port" that the response is sent to.
    std::string replyAddress_;
    ReportPurpose purpose_ = ReportPurpose::Inform;
    /// Hash of all crashes that the sender knows.
    std::uint64_t digest_ = 0;
    std::vector<ReportedCrash> crashes_;
    QuarantineScope scope_ = QuarantineScope::PromptParts;
};

} // namespace tamarack
