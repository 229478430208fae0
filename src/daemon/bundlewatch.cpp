// Watches the store for accepted bundle versions.
#include "daemon/bundlewatch.h"

namespace tamarack {

namespace {

/// The head is read again after this time because a watch can stop without an error. A version must
/// be applied by every daemon within 15 s, which leaves 5 s for a failed read and for reading the
/// parts.
constexpr Millis watchTimeout {10'000};
/// Delay after a failed read or a watch that ended early, so that the thread doesn't spin.
constexpr Millis retryInterval {500};

void logLoadError(const LogPort &log, const Error &error)
{
    log.write_(LogEvent {LogLevel::Warning,
                         "bundle.load_failed",
                         {{"error", error.id_}, {"message", error.message_}}});
}

/// Loads the accepted bundle and posts it.
/// @return the revision of its head, or nothing if it could not be loaded
std::optional<Revision> loadAndPost(const BundleStore &store, const EventPort &events,
                                    const LogPort &log)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Revision>> {
            BOOST_LEAF_AUTO(loaded, loadBundle(store));
            if (loaded.bundle_) {
                events.post_(BundleLoaded {loaded.bundle_});
                events.post_(BundleConfirmed {loaded.bundle_->version_});
            }
            return std::optional<Revision> {loaded.revision_};
        },
        [&log](const Error &error) {
            logLoadError(log, error);
            return std::optional<Revision> {};
        },
        [] { return std::optional<Revision> {}; });
}

} // namespace

void watchBundles(const BundleStore &store, const EventPort &events, const LogPort &log)
{
    while (!isStopRequested(*store.stop_)) {
        const std::optional<Revision> seen = loadAndPost(store, events, log);
        if (!seen) {
            waitForStop(*store.stop_, retryInterval);
            continue;
        }
        const MonoTime start = std::chrono::steady_clock::now();
        const bool changed
            = store.store_.waitForChange_(bundleHeadKey(store.prefix_), *seen, watchTimeout);
        const bool early = std::chrono::steady_clock::now() - start < retryInterval;
        if (!changed && early)
            waitForStop(*store.stop_, retryInterval);
    }
}

void stopWatchingBundles(const BundleStore &store)
{
    requestStop(*store.stop_);
    store.store_.cancelWaits_();
}

} // namespace tamarack
