// What the files of the document reader share. Internal to relayd.
#pragma once

#include "relayd/documents.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::relayddetail {

inline constexpr const char *configFeed = "store.config";
inline constexpr const char *instanceFeed = "store.instances";

/// @brief Returns the size of documents as they are sent.
std::uint64_t sentBytes(const PeerDocument &document);
std::uint64_t sentBytes(const FeedChanges &changes);

/// @brief Stores a document and posts its change, unless this or a newer version is known.
void readDocument(DocumentReader &reader, const PeerDocument &document, ChangeSource source);

/// @brief Posts the era of the store if it is newer than the known one.
void noteEra(DocumentReader &reader, StoreEra era);

/// @brief Reads a listing of the feed of the instances.
void readInstanceListing(DocumentReader &reader, const std::vector<PeerDocument> &documents,
                         StorePosition position, ChangeSource source);

/// @brief Reads a listing of the feed of the configuration. The evacuations come first: with the
/// configuration, the daemon may become ready.
void readConfigListing(DocumentReader &reader, const std::vector<PeerDocument> &documents,
                       StorePosition position, ChangeSource source);

/// @brief Advances the position of a feed, which never goes back.
void advancePosition(FeedState &feed, StorePosition position);

/// @brief Records that a full listing of a feed was read.
void recordListing(DocumentReader &reader, const std::string &feed, StorePosition position);

} // namespace tamarack::relayddetail
