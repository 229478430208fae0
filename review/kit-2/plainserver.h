// Stand-in for a server of a plain service: answers each request after some time.
#pragma once

#include "standins.h"

namespace review {

/// @brief What a server got.
struct ReceivedRequest
{
    std::string attempt_;
    Fields fields_;
    /// Seconds since the start of the record.
    double at_ = 0.0;
};

struct PlainServer
{
    std::string service_;
    std::string zone_;
    std::string address_;
    std::string id_;
    Store *store_ = nullptr;
    Record *record_ = nullptr;
    Millis workTime_ {20};
    std::size_t answerBytes_ = 800;
    /// Requests a second that the server takes from all machines together; it names no limit if
    /// this is negative.
    std::atomic<double> limit_ = -1.0;
    Listener listener_;
    std::mutex mutex_;
    /// The requests that the server ran.
    std::vector<ReceivedRequest> run_;

    /// Starts to listen and writes its entry in the store.
    bool start();
};

} // namespace review
