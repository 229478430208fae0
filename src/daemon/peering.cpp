// The peer socket and the registration of this daemon.
#include "daemon/peering.h"

#include "adapters/hostlist/hostlist.h"

namespace tamarack {

namespace {

/// Lease renewals per lease lifetime, so that the lease survives two failed renewals.
constexpr int renewalsPerLease = 3;

Registration registrationOf(const Settings &settings, const HolderId &holder)
{
    return Registration {settings.host_, holder, settings.zone_, settings.peerAddress_, false};
}

PeerSettings peerSettings(const Settings &settings)
{
    PeerSettings peers;
    peers.host_ = settings.host_;
    peers.address_ = settings.peerAddress_;
    peers.maxMessageBytes_ = settings.peers_.maxMessageBytes_;
    peers.maxQueuedMessages_ = settings.peers_.maxQueuedMessages_;
    return peers;
}

bool openSocket(Peering &peering, const Settings &settings, const EventPort &events,
                const LogPort &log)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(socket, startPeerSocket(peerSettings(settings), events, log));
            peering.socket_ = std::move(socket);
            return true;
        },
        [&log](const Error &error) {
            log.write_(LogEvent {
                LogLevel::Error, "peers.failed", {{"id", error.id_}, {"message", error.message_}}});
            return false;
        },
        [] { return false; });
}

} // namespace

bool startPeering(Peering &peering, const Settings &settings, ControlState &state, StorePort store,
                  const EventPort &events, const LogPort &log)
{
    state.membership_.settings_ = settings.peers_.membership_;
    state.membership_.self_ = registrationOf(settings, state.settings_.holder_);
    state.home_.settings_ = settings.peers_.home_;
    if (settings.peerAddress_.empty())
        return true;
    if (!openSocket(peering, settings, events, log))
        return false;
    RegistrationThreads &threads = peering.registration_;
    threads.settings_.storePrefix_ = settings.storePrefix_;
    threads.settings_.leaseTtl_ = std::chrono::ceil<Seconds>(settings.peers_.lease_);
    threads.settings_.renewInterval_ = settings.peers_.lease_ / renewalsPerLease;
    threads.settings_.hostListInterval_ = settings.hostListInterval_;
    threads.self_ = state.membership_.self_;
    threads.store_ = std::move(store);
    if (!settings.hostListAddress_.empty()) {
        HostListSettings hostList;
        hostList.address_ = settings.hostListAddress_;
        threads.hostList_ = makeHostListPort(hostList);
    }
    threads.events_ = events;
    threads.log_ = log;
    startRegistration(threads);
    return true;
}

void connectPeering(Peering &peering, ControlLoop &loop)
{
    if (!peering.socket_)
        return;
    loop.peers_ = peerPort(*peering.socket_);
    loop.refreshMembers_ = [&peering] {
        requestRefresh(peering.registration_);
    };
}

void announceLeaving(Peering &peering)
{
    if (peering.socket_)
        announceLeaving(peering.registration_);
}

void stopPeering(Peering &peering)
{
    if (!peering.socket_)
        return;
    stopRegistration(peering.registration_);
    stopPeerSocket(*peering.socket_);
}

} // namespace tamarack
