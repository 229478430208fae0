// Stand-in for a model server: registers itself in the store, reads a prompt for some time and
// streams events. A part of a prompt may crash it when it begins to write.
#pragma once

#include "standins.h"

#include <optional>

namespace review {

struct ModelServer;

/// @brief What all model servers of a service have in common.
struct ModelService
{
    std::string name_;
    Store *store_ = nullptr;
    Record *record_ = nullptr;
    Millis readTime_ {150};
    Millis eventInterval_ {30};
    int events_ = 6;
    /// The part that crashes servers; empty if there is none.
    std::string crashingPart_;
    /// How long a server is down after a crash.
    Millis downTime_ {3000};
    std::mutex mutex_;
    /// Ids of the requests that servers began to work on, with the time.
    std::map<std::string, double> begun_;
    /// When servers crashed.
    std::vector<double> crashes_;
};

/// @brief One model server. Each start has a new id at the same address.
struct ModelServer
{
    ModelService *service_ = nullptr;
    std::string zone_;
    std::string address_;
    std::string id_;
    /// The entry of the running process.
    std::string entry_;
    std::unique_ptr<Listener> listener_;
    std::mutex mutex_;
    bool down_ = true;
    Clock::time_point upAt_ {};
    /// When the entry of the crashed process lapses: three intervals without a check-in.
    std::optional<std::pair<std::string, Clock::time_point>> lapse_;

    bool start();
    void crash(const std::string &id);
    /// Starts the server again and removes the entry that has lapsed, when it is time.
    void tend();
    /// Writes its entry in the store, again if the store has lost it.
    void checkIn();
    void stop();
};

/// @brief Returns the ids of the parts in a list "ID:TOKENS,ID:TOKENS".
std::vector<std::string> partsOf(const std::string &list);

} // namespace review
