// Parts of the relay's state machine that its source files share. Internal to the library.
#pragma once

#include "core/relay/relaycontrol.h"

#include <string>
#include <vector>

namespace tamarack::relaydetail {

/// @brief Appends a log line.
void logLine(RelayCommands &out, LogLevel level, std::string name, std::vector<LogField> fields);

/// @brief Returns the fields that begin each line about a request.
std::vector<LogField> requestFields(const RelayedRequest &active);

/// @brief Sets the next time at which a request needs attention.
void rescheduleTimer(RelayState &state, RelayedRequest &active);

/// @brief Refuses a request that no upstream has seen, then forgets it.
void refuse(RelayState &state, RelayedRequest &active, int status, const std::string &reason,
            MonoTime now, RelayCommands &out);

/// @brief Settles the tokens of a request and forgets it.
void finish(RelayState &state, RelayedRequest &active, const std::string &outcome, MonoTime now,
            RelayCommands &out);

/// @brief Chooses an instance and sends the request there, or waits for one.
void dispatch(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

/// @brief Reserves tokens for a new request, then dispatches it.
void admit(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

/// @brief Goes on with requests that wait for tokens of an account.
void resumeWaitingForTokens(RelayState &state, const AccountId &account, MonoTime now,
                            RelayCommands &out);

/// @brief Goes on with requests that wait for an instance.
void resumeWaitingForInstance(RelayState &state, MonoTime now, RelayCommands &out);

/// @brief Returns this daemon's part of the retry limit that all daemons share.
RetrySettings retrySettings(const RelayState &state);

/// @brief Hands the messages about loans over and logs those that decide something.
void sendLoanMessages(RelayState &state, RelayCommands &out);

/// @brief Handles the end of an attempt: passes its answer on, repeats the request or fails it.
void onAttemptEnded(RelayState &state, RelayedRequest &active, const RelayAttemptEnded &ended,
                    MonoTime now, RelayCommands &out);

/// @brief Handles a timer of a request.
void onTimer(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

} // namespace tamarack::relaydetail
